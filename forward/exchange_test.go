// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// funcRelay opens connections with a function.
type funcRelay func(ctx context.Context, e *topology.Endpoint) (net.Conn, error)

// Dial implements Relay.
func (f funcRelay) Dial(ctx context.Context, e *topology.Endpoint) (net.Conn, error) {
	return f(ctx, e)
}

// dialTCP opens a connection of this process.
func dialTCP(ctx context.Context, e *topology.Endpoint) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", e.Address())
}

// brokenConn breaks at its first write, after it has passed on a part of it. No byte of a response comes through: it could come before
// the write has returned.
type brokenConn struct {
	net.Conn

	pass  func(n int) int // how many of n bytes it passes on
	onEnd func()          // called before the write fails; may be nil
}

var errBroken = errors.New("the box that carries the connection has ended")

// Read implements net.Conn.
func (c brokenConn) Read([]byte) (int, error) {
	_, _ = io.Copy(io.Discard, c.Conn)
	return 0, errBroken
}

// Write implements net.Conn.
func (c brokenConn) Write(b []byte) (int, error) {
	n, _ := c.Conn.Write(b[:c.pass(len(b))])
	if c.onEnd != nil {
		c.onEnd()
	}
	_ = c.Conn.(interface{ CloseWrite() error }).CloseWrite()
	return n, errBroken
}

func all(n int) int  { return n }
func half(n int) int { return n / 2 }
func none(int) int   { return 0 }

// breaks returns a relay whose connections break at the first write.
func breaks(pass func(int) int) Relay {
	return funcRelay(func(ctx context.Context, e *topology.Endpoint) (net.Conn, error) {
		conn, err := dialTCP(ctx, e)
		return brokenConn{Conn: conn, pass: pass}, err
	})
}

// fails returns a relay that opens no connection.
func fails(err error) Relay {
	return funcRelay(func(context.Context, *topology.Endpoint) (net.Conn, error) { return nil, err })
}

// Guards against a request that is refused, or sent once more, though the other box may have got bytes of it.
func TestOnlyAConnectionThatWasNotOpenedThroughABoxLeavesARequestUnsent(t *testing.T) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	for _, x := range []struct {
		name    string
		relay   Relay
		unsent  bool
		reaches int64 // requests at endpoints
	}{
		{name: "no box helps", relay: fails(ErrNoRelay), unsent: true},
		{name: "the endpoint refuses", relay: fails(refused), unsent: true},
		{name: "the endpoint does not answer", relay: fails(&net.OpError{Op: "dial", Net: "tcp", Err: errBroken}), unsent: true},
		{name: "the box takes nothing", relay: breaks(none)},
		{name: "the box takes a part", relay: breaks(half)},
		{name: "the box takes all", relay: breaks(all), reaches: 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			relay := &testRelay{}
			s, dials := cutOffSite(t, relay)
			s.probe()
			dials.Store(0)
			if !x.unsent { // the box's own link works again, which it does not know yet
				s.forgetFailedDials()
				s.gateway.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					dials.Add(1)
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
			}
			var opened atomic.Int64
			s.gateway.Relay = funcRelay(func(ctx context.Context, e *topology.Endpoint) (net.Conn, error) {
				opened.Add(1)
				return x.relay.Dial(ctx, e)
			})
			resp, _, err := s.ask("/")
			s.c.Assert(err, quicktest.IsNil)
			if x.unsent {
				s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
				s.c.Check(resp.Header.Get("Test-Retry-After"), quicktest.Not(quicktest.Equals), "")
			} else {
				s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway)
				s.c.Check(opened.Load(), quicktest.Equals, int64(1))
			}
			s.eventually(func() bool { return s.reached() == x.reaches })
			s.c.Check(dials.Load(), quicktest.Equals, int64(0))
		})
	}
}

// forgetFailedDials has the gateway forget which endpoints accepted no connection; a request that no other box can carry is sent
// directly to the others.
func (s *testSite) forgetFailedDials() {
	l := &s.gateway.links
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.serviceLocked("app").failed)
}

// reached returns how many requests have reached endpoints.
func (s *testSite) reached() (count int64) {
	for _, n := range s.calls {
		count += n.Load()
	}
	return count
}

// Guards against a request that goes through another box after this box's own link broke under it, with bytes of it on their way.
func TestRequestThatWasSentDirectlyDoesNotGoThroughAnotherBox(t *testing.T) {
	for name, pass := range map[string]func(int) int{"nothing was taken": none, "a part was taken": half, "all was taken": all} {
		t.Run(name, func(t *testing.T) {
			s, _ := cutOffSite(t, &testRelay{})
			relay := &testRelay{}
			s.gateway.Relay = relay
			s.gateway.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return brokenConn{Conn: conn, pass: pass, onEnd: s.cutOff}, err
			}
			resp, _, err := s.ask("/")
			s.c.Assert(err, quicktest.IsNil)
			s.c.Check(s.gateway.links.isCutOff("app"), quicktest.IsTrue)
			s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway)
			s.c.Check(relay.dials.Load(), quicktest.Equals, int64(0))
		})
	}
}

// cutOff has the gateway find that it can connect to no endpoint.
func (s *testSite) cutOff() {
	now, list := time.Now(), s.gateway.View.Endpoints("app")
	for _, e := range list {
		s.gateway.links.recordConnect("app", e.ID(), false, now)
	}
	s.gateway.links.recordProbesFailed("app", len(list), now)
}

// Guards against a request that runs twice since the first way to its endpoint failed late.
func TestRequestRunsOnceWhenItsFirstWayFails(t *testing.T) {
	for name, byRelay := range map[string]bool{"directly first": false, "through another box first": true} {
		t.Run(name, func(t *testing.T) {
			s, _ := cutOffSite(t, &testRelay{})
			var mu sync.Mutex
			var bodies []string
			for _, e := range s.gateway.View.Endpoints("app") {
				s.gateway.View.RemoveEndpoint(e.ID())
			}
			s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				mu.Lock()
				bodies = append(bodies, string(body))
				mu.Unlock()
				answerOK(w, r)
			})
			s.gateway.Relay = &testRelay{}
			s.gateway.Dial = func(context.Context, string, string) (net.Conn, error) {
				s.cutOff()
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			if byRelay {
				s.cutOff()
				s.forgetFailedDials()
				s.gateway.Relay = fails(ErrNoRelay)
				s.gateway.Dial = nil
			}
			resp, _, err := s.ask("/")
			s.c.Assert(err, quicktest.IsNil)
			s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
			s.c.Check(bodies, quicktest.DeepEquals, []string{"the body"})
		})
	}
}
