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

// observeResponse takes in what the head of an answer says of the endpoint. What another endpoint at the
// address says is none of it.
func (g *Gateway) observeResponse(q *request, u *upstream, t target, v Response) {
	u.setIdleTimeout(v.IdleTimeout)
	if v.WrongEndpoint {
		return
	}
	g.observeLimit(q, t, v)
	n := v.Notice
	n.Draining = n.Draining && v.MatchesCall // it ends all use of this life, so only an answer to this very request says so
	g.ObserveNotice(t.endpoint.ID(), n)
}

// ObserveNotice takes in what an answer of an endpoint says of leaving and of back-offs: to a request, or to
// another call that the box made.
func (g *Gateway) ObserveNotice(endpoint string, n Notice) {
	if n.Draining {
		g.observeDraining(endpoint)
	}
	if n.BackoffErr != nil && g.notices.mayLogInvalid(endpoint, clock.Now()) {
		g.Log.Info("Endpoint's back-off can't be read", "endpoint", endpoint, "err", n.BackoffErr.Error())
	}
	if n.Backoff > 0 && g.notices.setBackoff(endpoint, n.Backoff, clock.Now()) {
		g.Log.Info("Endpoint asks for a back-off", "endpoint", endpoint, "backoff_ms", n.Backoff.Milliseconds())
	}
}

// observeDraining takes in that an endpoint says that it leaves. Its entry at the source may say so much later,
// or never.
func (g *Gateway) observeDraining(endpoint string) {
	if !g.notices.setDraining(endpoint) {
		return
	}
	g.Log.Info("Endpoint announced draining", "endpoint", endpoint)
	if g.View.Leave(endpoint) && g.OnDraining != nil {
		g.OnDraining(endpoint)
	}
}

// accepts tells whether an endpoint may be sent new requests from this box: it is known, does not leave, and
// asked for no back-off.
func (g *Gateway) accepts(id string, now time.Time) bool {
	e := g.View.Endpoint(id)
	return e != nil && g.isAvailable(e, now)
}

// isAvailable is takes for an endpoint that is known.
func (g *Gateway) isAvailable(e *topology.Endpoint, now time.Time) bool {
	return !e.Draining() && g.BackoffRemaining(e.ID(), now) == 0
}

// BackoffRemaining returns for how long an endpoint wants nothing more from this box; zero: it may be used. One
// that turns requests away runs nothing of this box, so without it the endpoint would look the emptiest
// and be asked first.
func (g *Gateway) BackoffRemaining(endpoint string, now time.Time) time.Duration {
	return g.notices.backoffs.Left(endpoint, now)
}

// earliestAvailable returns when the first of the endpoints takes requests from this box again, as a caller is told;
// known is false where none is there that does not leave.
func (g *Gateway) earliestAvailable(list []*topology.Endpoint, now time.Time) (after time.Duration, known bool) {
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

// noticeTable is what endpoints told this box of leaving and of back-offs. Its lock is taken before that of
// the back-offs.
type noticeTable struct {
	backoffs backoff.Table

	mu         sync.Mutex
	byEndpoint map[string]*endpointNotice
}

// endpointNotice is what one life of an endpoint told this box.
type endpointNotice struct {
	draining        bool
	invalidLoggedAt time.Time // when a line last told that what it asks for can't be read
	backoffs        int64
	ignored         int64 // requests sent since it said that it leaves, or before a back-off was over
}

// NoticeCounts is what an endpoint told this box of leaving and of back-offs, for the metrics.
type NoticeCounts struct {
	Draining         bool  `json:"leaving"`
	Backoffs         int64 `json:"backoffs"`        // answers that asked for one
	BackoffRemaining int64 `json:"backoff_left_ms"` // of the latest one
	Ignored          int64 `json:"ignored"`         // requests sent all the same
}

func (n *noticeTable) entryLocked(endpoint string) *endpointNotice {
	if n.byEndpoint == nil {
		n.byEndpoint = make(map[string]*endpointNotice)
	}
	if n.byEndpoint[endpoint] == nil {
		n.byEndpoint[endpoint] = new(endpointNotice)
	}
	return n.byEndpoint[endpoint]
}

// setDraining notes that an endpoint says that it leaves; it tells whether that is news.
func (n *noticeTable) setDraining(endpoint string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.entryLocked(endpoint)
	news := !k.draining
	k.draining = true
	return news
}

// setBackoff notes that an endpoint asks for a back-off; it tells whether the endpoint was used until now.
func (n *noticeTable) setBackoff(endpoint string, d time.Duration, now time.Time) bool {
	n.mu.Lock()
	n.entryLocked(endpoint).backoffs++
	n.mu.Unlock()
	return n.backoffs.Ask(endpoint, d, now)
}

// invalidLogInterval is between two lines that what one endpoint asks for can't be read: each answer may ask.
const invalidLogInterval = time.Second

// mayLogInvalid tells whether a line may tell that what an endpoint asks for can't be read.
func (n *noticeTable) mayLogInvalid(endpoint string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.entryLocked(endpoint)
	if !k.invalidLoggedAt.IsZero() && now.Sub(k.invalidLoggedAt) < invalidLogInterval {
		return false
	}
	k.invalidLoggedAt = now
	return true
}

// recordSent notes a request to an endpoint.
func (n *noticeTable) recordSent(endpoint string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if k := n.byEndpoint[endpoint]; k != nil && (k.draining || n.backoffs.Left(endpoint, now) > 0) {
		k.ignored++
	}
}

// prune forgets what endpoints that are gone said. Back-offs stay: an entry may lapse and come back.
func (n *noticeTable) prune(known func(id string) bool) {
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
			Draining:         k.draining,
			Backoffs:         k.backoffs,
			BackoffRemaining: g.BackoffRemaining(id, now).Milliseconds(),
			Ignored:          k.ignored,
		}
	}
	return list
}
