// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
)

// Notice is what an endpoint says of itself in the head of an answer, besides answering. Nobody but the
// box that asked hears it.
type Notice struct {
	IdleTimeout time.Duration   // after which it closes an unused connection; zero: not said
	Limit       ratelimit.Limit // the requests a second that it takes from all boxes together
	LimitUnread error           // it names a limit that can't be read; Limit says nothing then
	Leaving     bool            // this life of it ends soon
	// Backoff is for how long it wants nothing from this box; zero: it does not ask for that. Only an
	// answer that turns the request away asks.
	Backoff       time.Duration
	BackoffUnread error // it asks for a time that can't be read; Backoff is zero then
}

// takeNotice takes in what the head of an answer says of the endpoint. What another endpoint at the
// address says is none of it.
func (g *Gateway) takeNotice(q *request, u *upstream, t target, v Answer) {
	u.heardIdle(v.IdleTimeout)
	if v.Elsewhere {
		return
	}
	g.hearLimit(q, t, v)
	n := v.Notice
	n.Leaving = n.Leaving && v.Own // it ends all use of this life, so only an answer to this very request says so
	g.HearNotice(t.endpoint.ID(), n)
}

// HearNotice takes in what an answer of an endpoint says of leaving and of back-offs: to a request, or to
// another call that the box made.
func (g *Gateway) HearNotice(endpoint string, n Notice) {
	if n.Leaving {
		g.hearLeaving(endpoint)
	}
	if n.BackoffUnread != nil && g.notices.mayLog(endpoint, clock.Now()) {
		g.Log.Info("Endpoint's back-off can't be read", "endpoint", endpoint, "err", n.BackoffUnread.Error())
	}
	if n.Backoff > 0 && g.notices.asks(endpoint, n.Backoff, clock.Now()) {
		g.Log.Info("Endpoint asks for a back-off", "endpoint", endpoint, "backoff_ms", n.Backoff.Milliseconds())
	}
}

// hearLeaving takes in that an endpoint says that it leaves. Its entry at the source may say so much later:
// with the source away, requests and loads went there for 13 s more.
func (g *Gateway) hearLeaving(endpoint string) {
	if !g.notices.leaves(endpoint) {
		return
	}
	g.Log.Info("Endpoint says that it leaves", "endpoint", endpoint)
	if g.View.Leave(endpoint) && g.Leaving != nil {
		g.Leaving(endpoint)
	}
}

// notices is what endpoints told this box of leaving and of back-offs.
type notices struct {
	mu         sync.Mutex
	byEndpoint map[string]*notice
}

// notice is what one life of an endpoint told this box.
type notice struct {
	leaving  bool
	unread   time.Time // when a line last told that what it asks for can't be read
	until    time.Time // of the latest back-off; zero: none was asked for
	backoffs int64
	ignored  int64 // requests sent since it said that it leaves, or before a back-off was over
}

// NoticeCounts is what an endpoint told this box of leaving and of back-offs, for the metrics.
type NoticeCounts struct {
	Leaving     bool  `json:"leaving"`
	Backoffs    int64 `json:"backoffs"`        // answers that asked for one
	BackoffLeft int64 `json:"backoff_left_ms"` // of the latest one
	Ignored     int64 `json:"ignored"`         // requests sent all the same
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

// asks notes that an endpoint asks for a back-off; it tells whether none is under way.
func (n *notices) asks(endpoint string, d time.Duration, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.ofLocked(endpoint)
	k.backoffs++
	news := !now.Before(k.until)
	if until := now.Add(d); until.After(k.until) {
		k.until = until
	}
	return news
}

// unreadLine is between two lines that what one endpoint asks for can't be read: each answer may ask.
const unreadLine = time.Second

// mayLog tells whether a line may tell that what an endpoint asks for can't be read.
func (n *notices) mayLog(endpoint string, now time.Time) bool {
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
	if k := n.byEndpoint[endpoint]; k != nil && (k.leaving || now.Before(k.until)) {
		k.ignored++
	}
}

// keep forgets endpoints that are gone.
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
			Leaving:     k.leaving,
			Backoffs:    k.backoffs,
			BackoffLeft: max(k.until.Sub(now), 0).Milliseconds(),
			Ignored:     k.ignored,
		}
	}
	return list
}
