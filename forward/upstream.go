// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/topology"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 300 * time.Millisecond // endpoints are a few ms away
	// tcpUserTimeout closes a connection on which sent data stays unacknowledged for that time, so
	// that a dead one takes no more of its callers' time. It leaves room for three retransmissions,
	// 0.2, 0.6 and 1.4 s after the first transmission at the kernel's minimum timeout, and for two
	// keep-alive probes, 1 and 2 s after the last byte.
	tcpUserTimeout = 2500 * time.Millisecond
	// keepAliveIdle is how long a connection is idle, or its response pauses, before the kernel sends
	// a keep-alive probe, and the interval between probes. A probe takes 52 bytes each way; the kernel
	// counts in whole seconds. A dead connection is closed after tcpUserTimeout, which leaves room for
	// a second probe, so that a single lost packet closes nothing.
	keepAliveIdle     = time.Second
	maxIdleConns      = 64                     // per endpoint
	idleTimeout       = 20 * time.Second       // until the endpoint announces its own
	idleTimeoutFactor = 0.6                    // of the endpoint's idle timeout: it must not close a connection first
	minDownTime       = 500 * time.Millisecond // how long an endpoint is avoided after a failed connect
	maxDownTime       = 4 * time.Second        // limit of that time, which doubles with each further failure
	failureRateWeight = 0.1                    // weight of one outcome in the moving average

	shedThreshold = 2                      // rejections in a row that show more than a momentarily full endpoint
	minShedTime   = 100 * time.Millisecond // how long such an endpoint is avoided if others serve; doubles with each further rejection
	maxShedTime   = time.Second            // limit of that time, so that it is soon noticed when the endpoint serves again
)

// upstream holds the connections to one incarnation of an endpoint, and its health.
type upstream struct {
	endpoint *topology.Endpoint
	dial     engine.DialFunc // opens connections to the endpoint
	relayed  *http.Transport // for connections through other boxes, each for one request
	single   *http.Transport // for connections that are used for one request each

	mu             sync.Mutex
	transport      *http.Transport
	idleTimeout    time.Duration // of transport
	inFlight       int
	unreadTokens   int       // prompt tokens of inFlight that the endpoint has not read
	silentRequests int       // of inFlight, those without a response for longer than silentAfter
	lastActivity   time.Time // when data last came from the endpoint
	failureRate    float64   // moving average, 0 to 1
	outcomes       int       // number of outcomes in failureRate, up to minOutcomes
	downUntil      time.Time // avoided until then
	downTime       time.Duration
	refusalsInRow  int       // rejections in a row, not counting those before sheddingUntil
	sheddingUntil  time.Time // avoided until then
}

func newUpstream(e *topology.Endpoint, dial, dialRelay engine.DialFunc) *upstream {
	u := &upstream{endpoint: e, dial: dial, relayed: engine.NewTransport(dialRelay, 0), single: engine.NewTransport(dial, 0)}
	u.relayed.DisableKeepAlives = true // the next request may go directly again, or through another box
	u.single.DisableKeepAlives = true
	u.reconnect(idleTimeout)
	return u
}

// reconnect replaces the transport by one with the idle timeout.
func (u *upstream) reconnect(idle time.Duration) {
	t := engine.NewTransport(u.dial, maxIdleConns)
	t.IdleConnTimeout = idle
	old := u.transport
	u.transport, u.idleTimeout = t, idle
	if old != nil {
		old.CloseIdleConnections()
	}
}

// newDialer returns a dialer whose connections are closed when the peer goes silent.
func newDialer() *net.Dialer {
	keep := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: 2}
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keep, Control: setUserTimeout}
}

// setUserTimeout sets TCP_USER_TIMEOUT, which closes a connection whose peer no longer acknowledges data.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

func (u *upstream) client() *http.Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &http.Client{Transport: u.transport, CheckRedirect: noRedirect}
}

// singleUseClient returns the client for a request's further attempts at the endpoint. Responses to them have the ID of the
// first one, of which a copy may still come on its connection.
func (u *upstream) singleUseClient() *http.Client {
	return &http.Client{Transport: u.single, CheckRedirect: noRedirect}
}

// relayClient returns the client for requests through other boxes.
func (u *upstream) relayClient() *http.Client {
	return &http.Client{Transport: u.relayed, CheckRedirect: noRedirect}
}

// noRedirect relays redirects to the caller instead of following them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// setIdleTimeout adopts the idle timeout that the endpoint announced, if it is shorter.
func (u *upstream) setIdleTimeout(d time.Duration) {
	if d <= 0 {
		return
	}
	use := time.Duration(float64(d) * idleTimeoutFactor)
	u.mu.Lock()
	defer u.mu.Unlock()
	if use < u.idleTimeout {
		u.reconnect(use)
	}
}

// resetConnections closes idle connections: one may hold a response that no request asked for.
func (u *upstream) resetConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reconnect(u.idleTimeout)
}

// startRequest counts a request in flight, and returns how many prompt tokens the endpoint has not read
// then.
func (u *upstream) startRequest(tokens int) (unread int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	u.unreadTokens += tokens
	return u.unreadTokens
}

// promptRead records that the endpoint has read a prompt of the given length, or won't read it.
func (u *upstream) promptRead(tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unreadTokens -= tokens
}

func (u *upstream) endRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// addSilent changes the number of silent requests.
func (u *upstream) addSilent(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silentRequests += n
}

// recordActivity records that data came from the endpoint.
func (u *upstream) recordActivity(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastActivity = now
}

// closeIdleIfSilent closes the idle connections if no data at all came from the endpoint since sent: they
// may be as dead as the one that a request has been waiting on. Those in use may still deliver a
// response.
func (u *upstream) closeIdleIfSilent(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.lastActivity.After(since) {
		u.transport.CloseIdleConnections()
	}
}

const minOutcomes = 8 // before the failure rate is used

// recordOutcome updates the failure rate.
func (u *upstream) recordOutcome(failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	value := 0.0
	if failed {
		value = 1
	} else {
		u.downTime = 0
	}
	u.refusalsInRow = 0
	u.failureRate += (value - u.failureRate) * failureRateWeight
	u.outcomes = min(u.outcomes+1, minOutcomes)
}

// recordRefusal records that the endpoint rejected a request without a back-off. Such an endpoint has no
// requests in flight, so it would otherwise look less loaded than the others and be preferred.
func (u *upstream) recordRefusal(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.sheddingUntil) {
		return
	}
	u.refusalsInRow++
	if u.refusalsInRow >= shedThreshold {
		u.sheddingUntil = now.Add(min(minShedTime<<min(u.refusalsInRow-shedThreshold, 8), maxShedTime))
	}
}

// markDown avoids the endpoint for a while, longer with each failure in a row.
func (u *upstream) markDown(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.downUntil) {
		return
	}
	u.downTime = min(max(2*u.downTime, minDownTime), maxDownTime)
	u.downUntil = now.Add(u.downTime)
}

// forgiveFailures clears the endpoint's failures.
func (u *upstream) forgiveFailures() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failureRate, u.outcomes = 0, 0
	u.downUntil, u.downTime = time.Time{}, 0
}

// health is what the selection of endpoints uses of an upstream.
type health struct {
	inFlight       int
	unreadTokens   int // of prompts
	down           bool
	shedding       bool
	silentRequests int
	failureRate    float64
}

func (u *upstream) health(now time.Time) health {
	u.mu.Lock()
	defer u.mu.Unlock()
	h := health{inFlight: u.inFlight, unreadTokens: u.unreadTokens, down: now.Before(u.downUntil), shedding: now.Before(u.sheddingUntil), silentRequests: u.silentRequests}
	if u.outcomes >= minOutcomes {
		h.failureRate = u.failureRate
	}
	return h
}

// upstreams holds one upstream for each endpoint that was used.
type upstreams struct {
	mu   sync.Mutex
	byID map[string]*upstream
}

// upstream returns the upstream of an endpoint.
func (g *Gateway) upstream(e *topology.Endpoint) *upstream {
	return g.upstreams.get(e, func() *upstream {
		direct := func(ctx context.Context, _, _ string) (net.Conn, error) { return g.DialEndpoint(ctx, e) }
		relayed := func(ctx context.Context, _, _ string) (net.Conn, error) { return g.dialRelay(ctx, e) }
		return newUpstream(e, direct, relayed)
	})
}

// get returns the upstream of an endpoint, which create returns if the endpoint was not used before.
func (t *upstreams) get(e *topology.Endpoint, create func() *upstream) *upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[string]*upstream)
	}
	u := t.byID[e.ID()]
	if u == nil {
		u = create()
		t.byID[e.ID()] = u
	}
	return u
}

// forgiveFailures clears the failures of all endpoints of a service.
func (t *upstreams) forgiveFailures(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.byID {
		if u.endpoint.Service() == service {
			u.forgiveFailures()
		}
	}
}

// at returns the endpoint in use at an address; nil if there is none.
func (t *upstreams) at(address string) *topology.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.byID {
		if u.endpoint.Address() == address {
			return u.endpoint
		}
	}
	return nil
}

// prune drops the upstreams of removed endpoints; requests in flight there
// continue.
func (t *upstreams) prune(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, u := range t.byID {
		if !known(id) {
			u.client().CloseIdleConnections()
			delete(t.byID, id)
		}
	}
}

// pruneInterval is the minimum time between two scans for removed endpoints: a scan covers all endpoints
// that this box has used, and thousands may change at once. Until then an idle connection to a removed
// endpoint does no harm.
const pruneInterval = 250 * time.Millisecond

// pruneLoop drops state of removed endpoints as the view changes, until ctx ends.
func (g *Gateway) pruneLoop(ctx context.Context) {
	known := func(id string) bool { return g.View.Endpoint(id) != nil }
	for ctx.Err() == nil {
		changed := g.View.Changed()
		g.upstreams.prune(known)
		g.notices.prune(known)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		select {
		case <-ctx.Done():
		case <-time.After(pruneInterval):
		}
	}
}
