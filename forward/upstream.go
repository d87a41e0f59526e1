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
	// userTimeout ends a connection whose bytes the other side has not acknowledged for so
	// long: a silent one takes no more of what its callers wait for. It leaves room for four
	// sends, 0.2, 0.6 and 1.4 s after the first, by the system's least retransmission time,
	// and for two questions after a rest, 1 and 2 s after the last byte.
	userTimeout = 2500 * time.Millisecond
	// keepIdle is how long a connection rests, or its answer pauses, until the system asks
	// the other side whether it is there, and how long it waits for that, by a packet of 52
	// bytes each way; the system knows whole seconds. One that is silent ends after
	// userTimeout, which leaves room for a second question: a packet that is lost ends nothing.
	keepIdle     = time.Second
	idleConns    = 64                     // kept for each endpoint
	idleTimeout  = 20 * time.Second       // until the endpoint says how long it keeps connections
	idleMargin   = 0.6                    // of what the endpoint says: it must not close first
	downFirst    = 500 * time.Millisecond // how long an endpoint that could not be reached is avoided
	downMost     = 4 * time.Second        // the longest, after some refusals in a row
	failureShare = 0.1                    // weight of one outcome in the failure rate

	shedLeast = 2                      // requests turned away in a row that say more than that the endpoint is full just now
	shedFirst = 100 * time.Millisecond // how long it is passed over then, where others serve; twice as long with each further one
	shedMost  = time.Second            // the longest: it must show soon that it serves again
)

// upstream is the connections to one life of an endpoint and how it did.
type upstream struct {
	endpoint *topology.Endpoint

	mu        sync.Mutex
	transport *http.Transport
	idle      time.Duration // of transport
	inFlight  int
	reading   int       // tokens of the prompts of inFlight that the endpoint has not read
	silent    int       // of inFlight, those sent over silentAfter ago without any answer
	heard     time.Time // when anything came from it
	failures  float64   // share of requests that failed lately, 0 to 1
	seen      int       // outcomes counted, up to enoughOutcomes
	downUntil time.Time // it is avoided until then
	downFor   time.Duration
	full      int       // requests turned away in a row, of those that were sent after fullUntil
	fullUntil time.Time // it is passed over until then
}

func newUpstream(e *topology.Endpoint) *upstream {
	u := &upstream{endpoint: e}
	u.reconnect(idleTimeout)
	return u
}

// reconnect replaces the connections by ones that are closed after idle.
func (u *upstream) reconnect(idle time.Duration) {
	t := engine.NewTransport(newDialer().DialContext, idleConns)
	t.IdleConnTimeout = idle
	old := u.transport
	u.transport, u.idle = t, idle
	if old != nil {
		old.CloseIdleConnections()
	}
}

// newDialer returns what opens connections that end when they are silent.
func newDialer() *net.Dialer {
	keep := net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepIdle, Count: 2}
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keep, Control: setUserTimeout}
}

// setUserTimeout makes connections end whose peer says nothing any more.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
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

// heardIdle takes what the endpoint says of its connections.
func (u *upstream) heardIdle(d time.Duration) {
	if d <= 0 {
		return
	}
	use := time.Duration(float64(d) * idleMargin)
	u.mu.Lock()
	defer u.mu.Unlock()
	if use < u.idle {
		u.reconnect(use)
	}
}

// dropIdle closes the unused connections, after an answer that was not asked for.
func (u *upstream) dropIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reconnect(u.idle)
}

// begin counts one request more, and returns how many tokens of prompts the endpoint has
// not read then.
func (u *upstream) begin(tokens int) (reading int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	u.reading += tokens
	return u.reading
}

// read notes that the endpoint has read a prompt of so many tokens, or will not.
func (u *upstream) read(tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reading -= tokens
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// quiet notes that one request more or less has waited long for its answer.
func (u *upstream) quiet(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent += n
}

// hear notes that something came from the endpoint.
func (u *upstream) hear(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heard = now
}

// closeResting closes the connections that rest, where nothing at all came from the endpoint since
// sent: they may be as silent as the one that a request has waited on in vain. Those in use
// may still answer.
func (u *upstream) closeResting(sent time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.heard.After(sent) {
		u.transport.CloseIdleConnections()
	}
}

const enoughOutcomes = 8 // before the failure rate says anything

// outcome notes how one request went.
func (u *upstream) outcome(failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	value := 0.0
	if failed {
		value = 1
	} else {
		u.downFor = 0
	}
	u.full = 0
	u.failures += (value - u.failures) * failureShare
	u.seen = min(u.seen+1, enoughOutcomes)
}

// turnedAway notes that the endpoint turned a request away and did not say for how long it takes none. What
// turns requests away works on none of them, so without this it looks emptier than the others and is asked
// first.
func (u *upstream) turnedAway(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.fullUntil) {
		return
	}
	u.full++
	if u.full >= shedLeast {
		u.fullUntil = now.Add(min(shedFirst<<min(u.full-shedLeast, 8), shedMost))
	}
}

// unreachable avoids the endpoint for a while, longer each time.
func (u *upstream) unreachable(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.downUntil) {
		return
	}
	u.downFor = min(max(2*u.downFor, downFirst), downMost)
	u.downUntil = now.Add(u.downFor)
}

// health is what placement must know of an upstream.
type health struct {
	inFlight int
	reading  int // tokens of prompts
	down     bool
	full     bool
	silent   int
	failures float64
}

func (u *upstream) health(now time.Time) health {
	u.mu.Lock()
	defer u.mu.Unlock()
	h := health{inFlight: u.inFlight, reading: u.reading, down: now.Before(u.downUntil), full: now.Before(u.fullUntil), silent: u.silent}
	if u.seen >= enoughOutcomes {
		h.failures = u.failures
	}
	return h
}

// upstreams keeps one for each endpoint that was used.
type upstreams struct {
	mu   sync.Mutex
	byID map[string]*upstream
}

func (t *upstreams) of(e *topology.Endpoint) *upstream {
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

// keep forgets the upstreams of endpoints that are gone; what they still answer
// goes on.
func (t *upstreams) keep(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, u := range t.byID {
		if !known(id) {
			u.client().CloseIdleConnections()
			delete(t.byID, id)
		}
	}
}

// forgetPause is between two looks for endpoints that are gone: where thousands change, each change
// alone would cost a look at all that this box has used. A connection at rest to one that is gone does
// no harm meanwhile.
const forgetPause = 250 * time.Millisecond

// forget forgets gone endpoints as the view changes, until ctx ends.
func (g *Gateway) forget(ctx context.Context) {
	known := func(id string) bool { return g.View.Endpoint(id) != nil }
	for ctx.Err() == nil {
		changed := g.View.Changed()
		g.upstreams.keep(known)
		g.notices.keep(known)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		select {
		case <-ctx.Done():
		case <-time.After(forgetPause):
		}
	}
}
