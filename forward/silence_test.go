// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/standin"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// addProxy moves the site's latest endpoint behind a proxy that can silence its
// connections.
func (s *testSite) addProxy(t *testing.T) *standin.BlackholeProxy {
	e := s.gateway.View.All()[0]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	p := &standin.BlackholeProxy{Target: e.Address()}
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		s.c.Check(<-ended, quicktest.IsNil)
	})
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID:         "behind-proxy",
		Service:    "app",
		Address:    l.Addr().String(),
		DataCentre: "dc",
		Software:   "v1", Slots: 4,
	}))
	s.gateway.View.RemoveEndpoint(e.ID())
	return p
}

// All idle connections to an endpoint went dead without a reset, while new ones worked. A request waited on one
// until its deadline, and so did later ones on the others.
func TestSilentConnectionClosesIdleOnes(t *testing.T) {
	const kept = 3
	s := newSite(t, onceRoute(4*silenceTimeout))
	var together sync.WaitGroup // gives each of the first requests its own connection
	together.Add(kept)
	var count atomic.Int64
	s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if count.Add(1) <= kept {
			together.Done()
			together.Wait()
		}
		answerOK(w, r)
	})
	p := s.addProxy(t)
	status := make(chan int, kept)
	ask := func() {
		resp, _, err := s.ask("/")
		s.c.Check(err, quicktest.IsNil)
		status <- resp.StatusCode
	}
	for range kept {
		go ask()
	}
	for range kept {
		s.c.Assert(<-status, quicktest.Equals, http.StatusOK)
	}
	p.Blackhole()
	go ask()
	time.Sleep(2 * silenceTimeout)
	ask() // finishes before the one on the dead connection
	s.c.Assert(<-status, quicktest.Equals, http.StatusOK)
	s.c.Assert(<-status, quicktest.Equals, http.StatusGatewayTimeout)
}

// The stand-in proxy acknowledges the data that it drops, so it can't trigger the kernel's timeouts. This test
// checks the socket options instead: the limit for unacknowledged data, and keep-alive probes on idle
// connections.
func TestTCPTimeouts(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	conn, err := newDialer().DialContext(context.Background(), "tcp", l.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, quicktest.IsNil)
	option := func(level, name int) (value int) {
		c.Assert(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }), quicktest.IsNil)
		c.Assert(err, quicktest.IsNil)
		return value
	}
	c.Assert(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), quicktest.Equals, int(tcpUserTimeout.Milliseconds()))
	c.Assert(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), quicktest.Equals, 1)
	c.Assert(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), quicktest.Equals, int(keepAliveIdle.Seconds()))
	c.Assert(option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), quicktest.Equals, int(keepAliveIdle.Seconds()))
}
