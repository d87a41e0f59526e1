// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRate is how many requests a second go to an endpoint that takes fewer, or none: only by
	// an answer do boxes hear that its need is over. Two in 4 s are below the five that may be under
	// way to any endpoint.
	minRate = 0.5
	// burstWindow is the time of the rate whose requests may come at once: callers do not come evenly,
	// and what an endpoint takes in a second it need not take in a tenth of it.
	burstWindow = 250 * time.Millisecond
	// maxRetryAfter bounds when a refused caller is told to come back: few wait longer, and a limit ends.
	maxRetryAfter = 2 * time.Second
)

// Observation is what an answer of an endpoint said of its limit.
type Observation struct {
	Limit Limit
	// At is when a limit was named at the latest, or when none was at the earliest: when the answer
	// that names one came, or when the request was sent whose answer names none. So an answer that
	// was overtaken by one that names a limit does not end it.
	At time.Time
}

// NewObservation returns what an answer says that came at came, to a request sent at sent. That a limit is named
// holds from the answer on; that none is, from the request on: what another answer named meanwhile is newer.
func NewObservation(l Limit, sent, received time.Time) Observation {
	if !l.IsSet() {
		return Observation{At: sent}
	}
	return Observation{Limit: l, At: received}
}

// Limiter hands out the requests that endpoints take which name limits. For each endpoint one box
// counts at a time, and boxes ask it before each send, so the sum over all boxes keeps to the limit,
// however many there are. A box that begins to count hands out nothing for a moment: the one before
// may just have handed out all that there was. It is safe for concurrent use; the zero value knows
// no limit.
type Limiter struct {
	mu        sync.Mutex
	endpoints map[string]*endpointLimiter
}

// endpointLimiter is what is handed out for one endpoint.
type endpointLimiter struct {
	observed    Observation
	bucket      *rate.Limiter // nil while no limit is named
	lastRetryAt time.Time     // when the last of the refused callers was told to come back
	latestNow   time.Time     // of the times that were passed in
}

// monotonic returns now, or the latest time that was passed in before: calls may wait for a lock or for the
// processor after they have read the clock, and a bucket that is asked for an older time counts the time
// in between twice.
func (n *endpointLimiter) monotonic(now time.Time) time.Time {
	if now.After(n.latestNow) {
		n.latestNow = now
	}
	return n.latestNow
}

// Observe takes in a word of an endpoint; it tells whether the limit is another one now. An older word
// than the latest one changes nothing, by whatever way it comes.
func (c *Limiter) Observe(endpoint string, w Observation, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.endpoints[endpoint]
	if n == nil {
		if !w.Limit.IsSet() {
			return false
		}
		if c.endpoints == nil {
			c.endpoints = make(map[string]*endpointLimiter)
		}
		n = new(endpointLimiter)
		c.endpoints[endpoint] = n
	}
	if !w.At.After(n.observed.At) {
		return false
	}
	changed := n.observed.Limit != w.Limit
	n.observed = w
	if changed {
		n.applyLimit(n.monotonic(now))
	}
	return changed
}

// applyLimit makes the bucket one of the limit.
func (n *endpointLimiter) applyLimit(now time.Time) {
	if !n.observed.Limit.IsSet() {
		n.bucket = nil
		return
	}
	perSecond := n.rate()
	burst := max(1, int(math.Ceil(perSecond*burstWindow.Seconds())))
	if n.bucket == nil {
		n.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		n.bucket.ReserveN(now, burst) // it begins empty
		return
	}
	n.bucket.SetLimitAt(now, rate.Limit(perSecond))
	n.bucket.SetBurstAt(now, burst)
}

// rate is how many requests a second are handed out.
func (n *endpointLimiter) rate() float64 { return max(n.observed.Limit.Rate(), minRate) }

// Request is a request that would go to an endpoint.
type Request struct {
	Rank    int           // 0 is the most urgent
	MaxWait time.Duration // how long it can wait
	// SpareOnly says that another endpoint without a limit can serve it: it takes only what others leave.
	// So what an endpoint takes goes to the adapters that no other one holds, and those need no copy.
	SpareOnly bool
}

// Before tells whether a request may get what another one did not.
func (a Request) Before(o Request) bool {
	if a.SpareOnly != o.SpareOnly {
		return o.SpareOnly
	}
	return a.Rank < o.Rank
}

// Result is the answer to one request that would go to an endpoint.
type Result struct {
	Limited bool          // the endpoint names a limit; else all requests may go
	OK      bool          // it may be sent, after Wait
	Wait    time.Duration // not OK: until such a request is likely granted
}

// Take answers a request that would go to an endpoint. Of a more urgent rank more of the time that it can
// wait counts: what is scarce for all goes to the most urgent.
func (c *Limiter) Take(endpoint string, a Request, now time.Time) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.endpoints[endpoint]
	if n == nil || n.bucket == nil {
		return Result{OK: true}
	}
	now = n.monotonic(now)
	if a.SpareOnly && !n.hasSpare(now) {
		return Result{Limited: true, Wait: n.waitFor(float64(n.bucket.Burst()), now)}
	}
	r := n.bucket.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait <= max(a.MaxWait, 0)/time.Duration(1+max(a.Rank, 0)) {
		return Result{Limited: true, OK: true, Wait: wait}
	}
	r.CancelAt(now)
	return Result{Limited: true, Wait: n.retryAfter(wait, now)}
}

// hasSpare tells whether nobody took anything for a while: what comes now would be lost.
func (n *endpointLimiter) hasSpare(now time.Time) bool {
	return n.waitFor(float64(n.bucket.Burst()), now) <= 0
}

// waitFor returns how long it takes until so many may be taken at once.
func (n *endpointLimiter) waitFor(requests float64, now time.Time) time.Duration {
	missing := requests - n.bucket.TokensAt(now)
	return time.Duration(max(missing, 0) / n.rate() * float64(time.Second))
}

// retryAfter tells a refused caller when to come back, each one a turn after the one before: told the
// same moment, all but one would be refused again.
func (n *endpointLimiter) retryAfter(wait time.Duration, now time.Time) time.Duration {
	interval := time.Duration(float64(time.Second) / n.rate())
	at := now.Add(wait)
	if next := n.lastRetryAt.Add(interval); next.After(at) {
		at = next
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	n.lastRetryAt = at
	return at.Sub(now)
}

// Headroom is what an endpoint takes just now.
type Headroom struct {
	Limited  bool          // it names a limit; else it takes all
	Wait     time.Duration // until it takes one more request
	HasSpare bool          // it takes more than it is sent
}

// Headroom returns what an endpoint takes at now.
func (c *Limiter) Headroom(endpoint string, now time.Time) Headroom {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.endpoints[endpoint]
	if n == nil || n.bucket == nil {
		return Headroom{HasSpare: true}
	}
	now = n.monotonic(now)
	return Headroom{Limited: true, Wait: n.waitFor(1, now), HasSpare: n.hasSpare(now)}
}

// TimeFor returns how long an endpoint takes for so many requests.
func (c *Limiter) TimeFor(endpoint string, requests int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.endpoints[endpoint]
	if n == nil || n.bucket == nil {
		return 0
	}
	return time.Duration(float64(requests) / n.rate() * float64(time.Second))
}

// Limit returns the limit that is counted by; the zero value where the endpoint names none.
func (c *Limiter) Limit(endpoint string) Limit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.endpoints[endpoint]; n != nil {
		return n.observed.Limit
	}
	return Limit{}
}

// Forget drops what is known of an endpoint that is gone.
func (c *Limiter) Forget(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.endpoints, endpoint)
}
