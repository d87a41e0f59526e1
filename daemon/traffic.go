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

// Traffic counts a daemon's network traffic with its peers, the endpoints and the platform.
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

// countingDialer returns a dial function whose connections are counted in t. They are
// opened from the IP address source, or from any if source is empty.
func countingDialer(t *metrics.Traffic, timeout time.Duration, source string) engine.DialFunc {
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

// EndpointClient returns an HTTP client for endpoints that keeps up to idle unused
// connections to each. While this box is cut off from the endpoints, requests go through other boxes.
func (n *Node) EndpointClient(idle int) *http.Client {
	return &http.Client{Transport: &linkTransport{links: n.links, direct: engine.NewTransport(n.EndpointDial(), idle)}}
}

// EndpointDial returns the function that opens connections to endpoints.
func (n *Node) EndpointDial() engine.DialFunc {
	return countingDialer(&n.traffic.Endpoints, n.values.Duration(EndpointDial), n.values.Text(Source))
}
