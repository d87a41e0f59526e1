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
	dialTimeout = 300 * time.Millisecond // an endpoint a few ms away that takes longer does not answer
	// tcpUserTimeout ends a connection whose bytes the other side has not acknowledged for so
	// long: a silent one takes no more of what its callers wait for. It leaves room for four
	// sends, 0.2, 0.6 and 1.4 s after the first, by the system's least retransmission time,
	// and for two questions after a rest, 1 and 2 s after the last byte.
	tcpUserTimeout = 2500 * time.Millisecond
	// keepAliveIdle is how long a connection rests, or its answer pauses, until the system asks
	// the other side whether it is there, and how long it waits for that, by a packet of 52
	// bytes each way; the system knows whole seconds. One that is silent ends after
	// userTimeout, which leaves room for a second question: a packet that is lost ends nothing.
	keepAliveIdle     = time.Second
	maxIdleConns      = 64                     // kept for each endpoint
	idleTimeout       = 20 * time.Second       // until the endpoint says how long it keeps connections
	idleTimeoutFactor = 0.6                    // of what the endpoint says: it must not close first
	minDownTime       = 500 * time.Millisecond // how long an endpoint that could not be reached is avoided
	maxDownTime       = 4 * time.Second        // the longest, after some refusals in a row
	failureRateWeight = 0.1                    // weight of one outcome in the failure rate

	shedThreshold = 2                      // requests turned away in a row that say more than that the endpoint is full just now
	minShedTime   = 100 * time.Millisecond // how long it is passed over then, where others serve; twice as long with each further one
	maxShedTime   = time.Second            // the longest: it must show soon that it serves again
)

// upstream is the connections to one life of an endpoint and how it did.
type upstream struct {
	endpoint *topology.Endpoint

	mu             sync.Mutex
	transport      *http.Transport
	idleTimeout    time.Duration // of transport
	inFlight       int
	unreadTokens   int       // tokens of the prompts of inFlight that the endpoint has not read
	silentRequests int       // of inFlight, those sent over silentAfter ago without any answer
	lastActivity   time.Time // when anything came from it
	failureRate    float64   // share of requests that failed lately, 0 to 1
	outcomes       int       // outcomes counted, up to enoughOutcomes
	downUntil      time.Time // it is avoided until then
	downTime       time.Duration
	refusalsInRow  int       // requests turned away in a row, of those that were sent after fullUntil
	sheddingUntil  time.Time // it is passed over until then
}

func newUpstream(e *topology.Endpoint) *upstream {
	u := &upstream{endpoint: e}
	u.reconnect(idleTimeout)
	return u
}

// reconnect replaces the connections by ones that are closed after idle.
func (u *upstream) reconnect(idle time.Duration) {
	t := engine.NewTransport(newDialer().DialContext, maxIdleConns)
	t.IdleConnTimeout = idle
	old := u.transport
	u.transport, u.idleTimeout = t, idle
	if old != nil {
		old.CloseIdleConnections()
	}
}

// newDialer returns what opens connections that end when they are silent.
func newDialer() *net.Dialer {
	keep := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: 2}
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keep, Control: setUserTimeout}
}

// setUserTimeout makes connections end whose peer says nothing any more.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func (u *upstream) client() *http.Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &http.Client{Transport: u.transport, CheckRedirect: noRedirect}
}

// noRedirect passes redirects on instead of following them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// setIdleTimeout takes what the endpoint says of its connections.
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

// resetConnections closes the unused connections, after an answer that was not asked for.
func (u *upstream) resetConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reconnect(u.idleTimeout)
}

// startRequest counts one request more, and returns how many tokens of prompts the endpoint has
// not read then.
func (u *upstream) startRequest(tokens int) (reading int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	u.unreadTokens += tokens
	return u.unreadTokens
}

// promptRead notes that the endpoint has read a prompt of so many tokens, or will not.
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

// addSilent notes that one request more or less has waited long for its answer.
func (u *upstream) addSilent(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silentRequests += n
}

// recordActivity notes that something came from the endpoint.
func (u *upstream) recordActivity(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastActivity = now
}

// closeIdleIfSilent closes the connections that rest, where nothing at all came from the endpoint since
// sent: they may be as silent as the one that a request has waited on in vain. Those in use
// may still answer.
func (u *upstream) closeIdleIfSilent(sent time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.lastActivity.After(sent) {
		u.transport.CloseIdleConnections()
	}
}

const minOutcomes = 8 // before the failure rate says anything

// recordOutcome notes how one request went.
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

// recordRefusal notes that the endpoint turned a request away and did not say for how long it takes none. What
// turns requests away works on none of them, so without this it looks emptier than the others and is asked
// first.
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

// markDown avoids the endpoint for a while, longer each time.
func (u *upstream) markDown(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.downUntil) {
		return
	}
	u.downTime = min(max(2*u.downTime, minDownTime), maxDownTime)
	u.downUntil = now.Add(u.downTime)
}

// health is what placement must know of an upstream.
type health struct {
	inFlight       int
	unreadTokens   int // tokens of prompts
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

// upstreams keeps one for each endpoint that was used.
type upstreams struct {
	mu   sync.Mutex
	byID map[string]*upstream
}

func (t *upstreams) get(e *topology.Endpoint) *upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[string]*upstream)
	}
	u := t.byID[e.ID()]
	if u == nil {
		u = newUpstream(e)
		t.byID[e.ID()] = u
	}
	return u
}

// prune forgets the upstreams of endpoints that are gone; what they still answer
// goes on.
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

// pruneInterval is between two looks for endpoints that are gone: where thousands change, each change
// alone would cost a look at all that this box has used. A connection at rest to one that is gone does
// no harm meanwhile.
const pruneInterval = 250 * time.Millisecond

// pruneLoop forgets gone endpoints as the view changes, until ctx ends.
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
