// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRate is the number of requests per second that are sent to an endpoint that accepts fewer, or none:
	// only a response tells boxes that its overload is over. Two in 4 s are below the five that may be in
	// flight to any endpoint.
	minRate = 0.5
	// burstWindow sets the burst: the requests that the limit allows in this time. Callers do not send at
	// an even rate, but an endpoint may not accept the requests of a second within a tenth of it.
	burstWindow = 250 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of a refused caller: few callers wait longer, and limits are
	// temporary.
	maxRetryAfter = 2 * time.Second
)

// Observation is the limit that a response of an endpoint announced, or its absence.
type Observation struct {
	Limit Limit
	// At is when the response was received if it announces a limit, and when its request was sent if
	// it announces none. So a response that announces no limit does not end a limit that a faster
	// response announced in the meantime.
	At time.Time
}

// NewObservation returns the observation of a response to a request that was sent and received at these times.
// See Observation.At.
func NewObservation(l Limit, sent, received time.Time) Observation {
	if !l.IsSet() {
		return Observation{At: sent}
	}
	return Observation{Limit: l, At: received}
}

// Limiter enforces the limits of endpoints. One box at a time runs the limiter of an endpoint, and the other
// boxes ask it before each request, so the total stays below the limit for any number of boxes. A new
// limiter starts empty, since its predecessor may just have used up the limit. It is safe for concurrent
// use; the zero value has no limits.
type Limiter struct {
	mu        sync.Mutex
	endpoints map[string]*endpointLimiter
}

// endpointLimiter enforces the limit of one endpoint.
type endpointLimiter struct {
	observed    Observation
	bucket      *rate.Limiter // nil if there is no limit
	lastRetryAt time.Time     // latest time at which a refused caller was told to retry
	latestNow   time.Time     // latest time that was passed in
}

// monotonic returns now, or the latest time that was passed in if that is later. A call may wait for a lock
// or for the CPU after it has read the clock, and a token bucket that is asked for an earlier time than before
// counts the time in between twice.
func (n *endpointLimiter) monotonic(now time.Time) time.Time {
	if now.After(n.latestNow) {
		n.latestNow = now
	}
	return n.latestNow
}

// Observe applies an observation, and reports whether the limit changed. It ignores observations that are
// older than the latest one.
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

// applyLimit updates the bucket to the observed limit.
func (n *endpointLimiter) applyLimit(now time.Time) {
	if !n.observed.Limit.IsSet() {
		n.bucket = nil
		return
	}
	perSecond := n.rate()
	burst := max(1, int(math.Ceil(perSecond*burstWindow.Seconds())))
	if n.bucket == nil {
		n.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		n.bucket.ReserveN(now, burst) // starts empty
		return
	}
	n.bucket.SetLimitAt(now, rate.Limit(perSecond))
	n.bucket.SetBurstAt(now, burst)
}

// rate returns the requests per second that are permitted.
func (n *endpointLimiter) rate() float64 { return max(n.observed.Limit.Rate(), minRate) }

// Request is a request that a box would send to an endpoint.
type Request struct {
	Rank    int           // 0 is the highest priority
	MaxWait time.Duration // how long it can wait
	// SpareOnly marks a request that another endpoint without a limit can serve. It only uses capacity
	// that would be lost otherwise. So the capacity of a limited endpoint goes to adapters that are
	// loaded nowhere else, and those need no copy.
	SpareOnly bool
}

// Before reports whether a request has precedence over another one.
func (a Request) Before(o Request) bool {
	if a.SpareOnly != o.SpareOnly {
		return o.SpareOnly
	}
	return a.Rank < o.Rank
}

// Result is the answer to a Request.
type Result struct {
	Limited bool          // the endpoint announces a limit; otherwise OK is true
	OK      bool          // it may be sent after Wait
	Wait    time.Duration // if not OK: time until such a request is likely permitted
}

// Take permits or refuses a request to an endpoint. The higher the priority, the larger the part of MaxWait for
// which a request may wait, so a scarce limit goes to the highest priority.
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

// hasSpare reports whether the bucket is full, so that further tokens would be lost.
func (n *endpointLimiter) hasSpare(now time.Time) bool {
	return n.waitFor(float64(n.bucket.Burst()), now) <= 0
}

// waitFor returns the time until that many tokens are available.
func (n *endpointLimiter) waitFor(requests float64, now time.Time) time.Duration {
	missing := requests - n.bucket.TokensAt(now)
	return time.Duration(max(missing, 0) / n.rate() * float64(time.Second))
}

// retryAfter returns the Retry-After of a refused caller. Each caller gets a time of its own, one interval after
// the previous one: if they all retried at once, all but one would be refused again.
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

// Headroom is what an endpoint accepts at a moment.
type Headroom struct {
	Limited  bool          // it announces a limit
	Wait     time.Duration // until it accepts another request
	HasSpare bool          // it accepts more requests than it receives
}

// Headroom returns what an endpoint accepts at now.
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

// TimeFor returns the time in which an endpoint accepts that many requests.
func (c *Limiter) TimeFor(endpoint string, requests int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.endpoints[endpoint]
	if n == nil || n.bucket == nil {
		return 0
	}
	return time.Duration(float64(requests) / n.rate() * float64(time.Second))
}

// Limit returns the limit that is enforced; the zero value if there is none.
func (c *Limiter) Limit(endpoint string) Limit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.endpoints[endpoint]; n != nil {
		return n.observed.Limit
	}
	return Limit{}
}

// Forget removes an endpoint that no longer exists.
func (c *Limiter) Forget(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.endpoints, endpoint)
}
