// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/metrics"
)

// Traffic counts what a daemon exchanges, by the other side.
type Traffic struct {
	Peers     metrics.Traffic
	Endpoints metrics.Traffic
	Platform  metrics.Traffic
}

func (t *Traffic) publish() {
	expvar.Publish("cairn_traffic_peers", &t.Peers)
	expvar.Publish("cairn_traffic_endpoints", &t.Endpoints)
	expvar.Publish("cairn_traffic_platform", &t.Platform)
}

// counted returns a dial function that counts what passes. Connections are made
// from the source, an IP number, unless it is empty.
func counted(t *metrics.Traffic, timeout time.Duration, source string) engine.DialFunc {
	d := &net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(source); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.WrapConn(c), nil
	}
}

// EndpointClient returns the client that reaches endpoints and keeps so many idle
// connections to each.
func (n *Node) EndpointClient(idle int) *http.Client {
	return &http.Client{Transport: engine.NewTransport(n.EndpointDial(), idle)}
}

// EndpointDial returns what opens connections to endpoints.
func (n *Node) EndpointDial() engine.DialFunc {
	return counted(&n.traffic.Endpoints, n.values.Duration(EndpointDial), n.values.Text(Source))
}
