// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"cairnwick.example/backoff"
	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
)

// Notice is what an endpoint says of itself in the head of an answer, besides answering. Nobody but the
// box that asked hears it.
type Notice struct {
	IdleTimeout time.Duration   // after which it closes an unused connection; zero: not said
	Limit       ratelimit.Limit // the requests a second that it takes from all boxes together
	LimitErr    error           // it names a limit that can't be read; Limit says nothing then
	Draining    bool            // this life of it ends soon
	// Backoff is for how long it wants nothing from this box; zero: it does not ask for that. Only an
	// answer that turns the request away asks.
	Backoff    time.Duration
	BackoffErr error // it asks for a time that can't be read; Backoff is zero then
}

// takeNotice takes in what the head of an answer says of the endpoint. What another endpoint at the
// address says is none of it.
func (g *Gateway) takeNotice(q *request, u *upstream, t target, v Response) {
	u.heardIdle(v.IdleTimeout)
	if v.WrongEndpoint {
		return
	}
	g.hearLimit(q, t, v)
	n := v.Notice
	n.Draining = n.Draining && v.MatchesCall // it ends all use of this life, so only an answer to this very request says so
	g.ObserveNotice(t.endpoint.ID(), n)
}

// ObserveNotice takes in what an answer of an endpoint says of leaving and of back-offs: to a request, or to
// another call that the box made.
func (g *Gateway) ObserveNotice(endpoint string, n Notice) {
	if n.Draining {
		g.hearLeaving(endpoint)
	}
	if n.BackoffErr != nil && g.notices.mayLogUnread(endpoint, clock.Now()) {
		g.Log.Info("Endpoint's back-off can't be read", "endpoint", endpoint, "err", n.BackoffErr.Error())
	}
	if n.Backoff > 0 && g.notices.asks(endpoint, n.Backoff, clock.Now()) {
		g.Log.Info("Endpoint asks for a back-off", "endpoint", endpoint, "backoff_ms", n.Backoff.Milliseconds())
	}
}

// hearLeaving takes in that an endpoint says that it leaves. Its entry at the source may say so much later,
// or never.
func (g *Gateway) hearLeaving(endpoint string) {
	if !g.notices.leaves(endpoint) {
		return
	}
	g.Log.Info("Endpoint announced draining", "endpoint", endpoint)
	if g.View.Leave(endpoint) && g.OnDraining != nil {
		g.OnDraining(endpoint)
	}
}

// takes tells whether an endpoint may be sent new requests from this box: it is known, does not leave, and
// asked for no back-off.
func (g *Gateway) takes(id string, now time.Time) bool {
	e := g.View.Endpoint(id)
	return e != nil && g.isOpen(e, now)
}

// isOpen is takes for an endpoint that is known.
func (g *Gateway) isOpen(e *topology.Endpoint, now time.Time) bool {
	return !e.Draining() && g.BackoffRemaining(e.ID(), now) == 0
}

// BackoffRemaining returns for how long an endpoint wants nothing more from this box; zero: it may be used. One
// that turns requests away runs nothing of this box, so without it the endpoint would look the emptiest
// and be asked first.
func (g *Gateway) BackoffRemaining(endpoint string, now time.Time) time.Duration {
	return g.notices.backoffs.Left(endpoint, now)
}

// soonest returns when the first of the endpoints takes requests from this box again, as a caller is told;
// known is false where none is there that does not leave.
func (g *Gateway) soonest(list []*topology.Endpoint, now time.Time) (after time.Duration, known bool) {
	for _, e := range list {
		if e.Draining() {
			continue
		}
		if left := g.BackoffRemaining(e.ID(), now); !known || left < after {
			after, known = left, true
		}
	}
	return backoff.ComeBack(after), known
}

// notices is what endpoints told this box of leaving and of back-offs. Its lock is taken before that of
// the back-offs.
type notices struct {
	backoffs backoff.Table

	mu         sync.Mutex
	byEndpoint map[string]*notice
}

// notice is what one life of an endpoint told this box.
type notice struct {
	leaving  bool
	unread   time.Time // when a line last told that what it asks for can't be read
	backoffs int64
	ignored  int64 // requests sent since it said that it leaves, or before a back-off was over
}

// NoticeCounts is what an endpoint told this box of leaving and of back-offs, for the metrics.
type NoticeCounts struct {
	Draining         bool  `json:"leaving"`
	Backoffs         int64 `json:"backoffs"`        // answers that asked for one
	BackoffRemaining int64 `json:"backoff_left_ms"` // of the latest one
	Ignored          int64 `json:"ignored"`         // requests sent all the same
}

func (n *notices) ofLocked(endpoint string) *notice {
	if n.byEndpoint == nil {
		n.byEndpoint = make(map[string]*notice)
	}
	if n.byEndpoint[endpoint] == nil {
		n.byEndpoint[endpoint] = new(notice)
	}
	return n.byEndpoint[endpoint]
}

// leaves notes that an endpoint says that it leaves; it tells whether that is news.
func (n *notices) leaves(endpoint string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.ofLocked(endpoint)
	news := !k.leaving
	k.leaving = true
	return news
}

// asks notes that an endpoint asks for a back-off; it tells whether the endpoint was used until now.
func (n *notices) asks(endpoint string, d time.Duration, now time.Time) bool {
	n.mu.Lock()
	n.ofLocked(endpoint).backoffs++
	n.mu.Unlock()
	return n.backoffs.Ask(endpoint, d, now)
}

// unreadLine is between two lines that what one endpoint asks for can't be read: each answer may ask.
const unreadLine = time.Second

// mayLogUnread tells whether a line may tell that what an endpoint asks for can't be read.
func (n *notices) mayLogUnread(endpoint string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.ofLocked(endpoint)
	if !k.unread.IsZero() && now.Sub(k.unread) < unreadLine {
		return false
	}
	k.unread = now
	return true
}

// sent notes a request to an endpoint.
func (n *notices) sent(endpoint string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if k := n.byEndpoint[endpoint]; k != nil && (k.leaving || n.backoffs.Left(endpoint, now) > 0) {
		k.ignored++
	}
}

// keep forgets what endpoints that are gone said. Back-offs stay: an entry may lapse and come back.
func (n *notices) keep(known func(id string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.byEndpoint {
		if !known(id) {
			delete(n.byEndpoint, id)
		}
	}
}

// Notices returns what endpoints told this box, by endpoint.
func (g *Gateway) Notices() map[string]NoticeCounts {
	now := clock.Now()
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	list := make(map[string]NoticeCounts, len(g.notices.byEndpoint))
	for id, k := range g.notices.byEndpoint {
		list[id] = NoticeCounts{
			Draining:         k.leaving,
			Backoffs:         k.backoffs,
			BackoffRemaining: g.BackoffRemaining(id, now).Milliseconds(),
			Ignored:          k.ignored,
		}
	}
	return list
}
