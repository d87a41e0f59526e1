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

// Notice is what an endpoint announces of itself in the head of a response, besides the response. Only the
// box that sent the request receives it.
type Notice struct {
	IdleTimeout time.Duration   // after which it closes an idle connection; zero: not announced
	Limit       ratelimit.Limit // requests a second that it accepts from all boxes together
	LimitErr    error           // the announced limit cannot be parsed; Limit is zero then
	Draining    bool            // this incarnation shuts down soon
	// Backoff is how long this box should send it no requests; zero: not announced. Only a rejection
	// announces one.
	Backoff    time.Duration
	BackoffErr error // the announced back-off cannot be parsed; Backoff is zero then
}

// observeResponse applies what the head of a response to this very request announces of the endpoint. It ignores a response
// of another endpoint at the address.
func (g *Gateway) observeResponse(q *request, u *upstream, t target, head Response) {
	if !head.MatchesCall {
		return
	}
	u.setIdleTimeout(head.IdleTimeout)
	if head.WrongEndpoint {
		return
	}
	g.observeLimit(q, t, head)
	g.ObserveNotice(t.endpoint.ID(), head.Notice)
}

// ObserveNotice applies the draining and back-off of a notice, from the response to a request or to
// another call of this box.
func (g *Gateway) ObserveNotice(endpoint string, n Notice) {
	if n.Draining {
		g.observeDraining(endpoint)
	}
	if n.BackoffErr != nil && g.notices.mayLogInvalid(endpoint, clock.Now()) {
		g.Log.Info("Failed to parse the endpoint's back-off", "endpoint", endpoint, "err", n.BackoffErr.Error())
	}
	if n.Backoff > 0 && g.notices.setBackoff(endpoint, n.Backoff, clock.Now()) {
		g.Log.Info("Endpoint asks for a back-off", "endpoint", endpoint, "backoff_ms", n.Backoff.Milliseconds())
	}
}

// recordSurplus records that an endpoint sent a response to another request in the place of a response.
func (g *Gateway) recordSurplus(endpoint string) {
	if g.notices.recordSurplus(endpoint, clock.Now()) {
		g.Log.Info("Endpoint sent a response to another request", "endpoint", endpoint)
	}
}

// observeDraining records that an endpoint announced draining. Its entry in the source may follow much
// later, or never.
func (g *Gateway) observeDraining(endpoint string) {
	if !g.notices.setDraining(endpoint) {
		return
	}
	g.Log.Info("Endpoint announced draining", "endpoint", endpoint)
	if g.View.MarkDraining(endpoint) && g.OnDraining != nil {
		g.OnDraining(endpoint)
	}
}

// accepts reports whether this box may send new requests to an endpoint: it is known, not draining, and not in
// a back-off.
func (g *Gateway) accepts(id string, now time.Time) bool {
	e := g.View.Endpoint(id)
	return e != nil && g.isAvailable(e, now)
}

// isAvailable is accepts for a known endpoint.
func (g *Gateway) isAvailable(e *topology.Endpoint, now time.Time) bool {
	return !e.Draining() && g.BackoffRemaining(e.ID(), now) == 0
}

// BackoffRemaining returns how long an endpoint stays in a back-off for this box; zero: it may be used. An
// endpoint that rejects requests has none of this box in flight, so without the back-off it would look the
// least loaded and be preferred.
func (g *Gateway) BackoffRemaining(endpoint string, now time.Time) time.Duration {
	return g.notices.backoffs.Remaining(endpoint, now)
}

// earliestAvailable returns the Retry-After for callers until the first of the endpoints may be used again;
// known is false if all of them are draining.
func (g *Gateway) earliestAvailable(list []*topology.Endpoint, now time.Time) (after time.Duration, known bool) {
	for _, e := range list {
		if e.Draining() {
			continue
		}
		if left := g.BackoffRemaining(e.ID(), now); !known || left < after {
			after, known = left, true
		}
	}
	return backoff.RetryAfter(after), known
}

// noticeTable holds the announcements of endpoints to this box. Its lock is taken before that of
// backoffs.
type noticeTable struct {
	backoffs backoff.Table

	mu         sync.Mutex
	byEndpoint map[string]*endpointNotice
}

// endpointNotice holds the announcements of one incarnation of an endpoint.
type endpointNotice struct {
	draining        bool
	invalidLoggedAt time.Time // when an invalid back-off was last logged
	backoffs        int64
	rejections      int64 // requests of this box that it rejected
	ignored         int64 // requests sent after it announced draining, or during a back-off
	surplus         int64 // responses to other requests of this box in the place of a response
	surplusLoggedAt time.Time
}

// NoticeCounts counts the announcements of an endpoint to this box, for the metrics.
type NoticeCounts struct {
	Draining         bool  `json:"leaving"`
	Backoffs         int64 `json:"backoffs"`        // responses that asked for one
	BackoffRemaining int64 `json:"backoff_left_ms"` // of the current one
	Rejections       int64 `json:"rejections"`      // requests that it rejected for any other reason than a missing adapter
	Ignored          int64 `json:"ignored"`         // requests sent nevertheless
	Surplus          int64 `json:"surplus"`         // responses with the ID of another request, in the place of a response
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

// setDraining records that an endpoint announced draining; it reports whether that is new.
func (n *noticeTable) setDraining(endpoint string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry := n.entryLocked(endpoint)
	isNew := !entry.draining
	entry.draining = true
	return isNew
}

// setBackoff records a back-off; it reports whether the endpoint was in use before.
func (n *noticeTable) setBackoff(endpoint string, d time.Duration, now time.Time) bool {
	n.mu.Lock()
	n.entryLocked(endpoint).backoffs++
	n.mu.Unlock()
	return n.backoffs.Extend(endpoint, d, now)
}

// invalidLogInterval is the minimum time between two log lines about invalid back-offs, or about surplus responses, of one
// endpoint: every response may have one.
const invalidLogInterval = time.Second

// mayLogInvalid reports whether an invalid back-off of the endpoint may be logged now.
func (n *noticeTable) mayLogInvalid(endpoint string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry := n.entryLocked(endpoint)
	if !entry.invalidLoggedAt.IsZero() && now.Sub(entry.invalidLoggedAt) < invalidLogInterval {
		return false
	}
	entry.invalidLoggedAt = now
	return true
}

// recordRejection records that an endpoint rejected a request.
func (n *noticeTable) recordRejection(endpoint string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entryLocked(endpoint).rejections++
}

// recordSurplus records that an endpoint sent a response to another request. It reports whether that may be logged now.
func (n *noticeTable) recordSurplus(endpoint string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry := n.entryLocked(endpoint)
	entry.surplus++
	if !entry.surplusLoggedAt.IsZero() && now.Sub(entry.surplusLoggedAt) < invalidLogInterval {
		return false
	}
	entry.surplusLoggedAt = now
	return true
}

// recordSent records a request to an endpoint.
func (n *noticeTable) recordSent(endpoint string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if entry := n.byEndpoint[endpoint]; entry != nil && (entry.draining || n.backoffs.Remaining(endpoint, now) > 0) {
		entry.ignored++
	}
}

// prune drops removed endpoints. Back-offs stay, since an entry may expire and come back.
func (n *noticeTable) prune(known func(id string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.byEndpoint {
		if !known(id) {
			delete(n.byEndpoint, id)
		}
	}
}

// Notices returns counts of the endpoints' announcements to this box, by endpoint.
func (g *Gateway) Notices() map[string]NoticeCounts {
	now := clock.Now()
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	list := make(map[string]NoticeCounts, len(g.notices.byEndpoint))
	for id, entry := range g.notices.byEndpoint {
		list[id] = NoticeCounts{
			Draining:         entry.draining,
			Backoffs:         entry.backoffs,
			BackoffRemaining: g.BackoffRemaining(id, now).Milliseconds(),
			Rejections:       entry.rejections,
			Ignored:          entry.ignored,
			Surplus:          entry.surplus,
		}
	}
	return list
}
