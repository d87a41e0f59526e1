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
	// only a response shows boxes that its overload is over. Two in 4 s are below the five that may be in
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
	bucket      *rate.Limiter   // nil if there is no limit of requests
	rejections  *rejectionGuard // nil if there is no limit of rejections
	lastRetryAt time.Time       // latest retry time given to a refused caller
	latestNow   time.Time       // latest time that was passed in
}

// monotonic returns now, or the latest time that was passed in if that is later. A call may wait for a lock
// or for the CPU after it has read the clock, and a token bucket that is asked for an earlier time than before
// counts the time in between twice.
func (e *endpointLimiter) monotonic(now time.Time) time.Time {
	if now.After(e.latestNow) {
		e.latestNow = now
	}
	return e.latestNow
}

// Observe applies an observation, and reports whether the limit changed. It ignores observations that are
// older than the latest one.
func (l *Limiter) Observe(endpoint string, o Observation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil {
		if !o.Limit.IsSet() {
			return false
		}
		if l.endpoints == nil {
			l.endpoints = make(map[string]*endpointLimiter)
		}
		e = new(endpointLimiter)
		l.endpoints[endpoint] = e
	}
	if !o.At.After(e.observed.At) {
		return false
	}
	changed := e.observed.Limit != o.Limit
	e.observed = o
	if changed {
		e.applyLimit(e.monotonic(now))
	}
	return changed
}

// applyLimit updates the bucket to the observed limit.
func (e *endpointLimiter) applyLimit(now time.Time) {
	switch l := e.observed.Limit; {
	case !l.IsFragile():
		e.rejections = nil
	case e.rejections == nil:
		e.rejections = newRejectionGuard(l.Rejections(), now)
	default:
		e.rejections.limit = min(l.Rejections(), maxCounted)
	}
	if !e.observed.Limit.HasRate() {
		e.bucket = nil
		return
	}
	perSecond := e.rate()
	burst := max(1, int(math.Ceil(perSecond*burstWindow.Seconds())))
	if e.bucket == nil {
		e.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		e.bucket.ReserveN(now, burst) // starts empty
		return
	}
	e.bucket.SetLimitAt(now, rate.Limit(perSecond))
	e.bucket.SetBurstAt(now, burst)
}

// rate returns the requests per second that are permitted.
func (e *endpointLimiter) rate() float64 { return max(e.observed.Limit.Rate(), minRate) }

// Request is a request that a box would send to an endpoint.
type Request struct {
	Rank    int           // 0 is the highest priority
	MaxWait time.Duration // how long it can wait
	// SpareOnly marks a request that another endpoint without a limit can serve. It only uses capacity
	// that would be lost otherwise. So the capacity of a limited endpoint goes to adapters that are
	// loaded nowhere else, and those need no copy.
	SpareOnly bool
	Load      // of the box that asks
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
func (l *Limiter) Take(endpoint string, a Request, now time.Time) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil || !e.observed.Limit.IsSet() {
		return Result{OK: true}
	}
	now = e.monotonic(now)
	if e.rejections != nil {
		e.rejections.report(a.Load, now)
		if wait := e.rejections.check(a, now); wait > 0 {
			return Result{Limited: true, Wait: e.retryAfter(wait, e.rejections.interval(now), now)}
		}
	}
	granted := Result{Limited: true, OK: true}
	if e.bucket != nil {
		granted = e.takeFromBucket(a, now)
	}
	if granted.OK && e.rejections != nil {
		e.rejections.grant(a, now)
	}
	return granted
}

// takeFromBucket permits or refuses a request by the limit of requests.
func (e *endpointLimiter) takeFromBucket(a Request, now time.Time) Result {
	if a.SpareOnly && !e.hasSpare(now) {
		return Result{Limited: true, Wait: e.waitFor(float64(e.bucket.Burst()), now)}
	}
	r := e.bucket.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait <= max(a.MaxWait, 0)/time.Duration(1+max(a.Rank, 0)) {
		return Result{Limited: true, OK: true, Wait: wait}
	}
	r.CancelAt(now)
	return Result{Limited: true, Wait: e.retryAfter(wait, time.Duration(float64(time.Second)/e.rate()), now)}
}

// Report records the load of a box at an endpoint.
func (l *Limiter) Report(endpoint string, load Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.endpoints[endpoint]; e != nil && e.rejections != nil {
		e.rejections.report(load, e.monotonic(now))
	}
}

// hasSpare reports whether the bucket is full, so that further tokens would be lost.
func (e *endpointLimiter) hasSpare(now time.Time) bool {
	return e.waitFor(float64(e.bucket.Burst()), now) <= 0
}

// waitFor returns the time until that many tokens are available.
func (e *endpointLimiter) waitFor(requests float64, now time.Time) time.Duration {
	missing := requests - e.bucket.TokensAt(now)
	return time.Duration(math.Ceil(max(missing, 0) / e.rate() * float64(time.Second)))
}

// retryAfter returns the Retry-After of a refused caller. Each caller gets a time of its own, one interval after
// the previous one: if they all retried at once, all but one would be refused again.
func (e *endpointLimiter) retryAfter(wait, interval time.Duration, now time.Time) time.Duration {
	at := now.Add(wait)
	if next := e.lastRetryAt.Add(interval); next.After(at) {
		at = next
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	e.lastRetryAt = at
	return at.Sub(now)
}

// Headroom is what an endpoint accepts at a moment.
type Headroom struct {
	Limited  bool          // it announces a limit
	Wait     time.Duration // until it accepts another request
	HasSpare bool          // it accepts more requests than it receives
}

// Headroom returns what an endpoint accepts at now.
func (l *Limiter) Headroom(endpoint string, now time.Time) Headroom {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil || !e.observed.Limit.IsSet() {
		return Headroom{HasSpare: true}
	}
	now = e.monotonic(now)
	if e.rejections != nil {
		if wait := e.rejections.check(Request{}, now); wait > 0 {
			return Headroom{Limited: true, Wait: wait}
		}
	}
	if e.bucket == nil {
		return Headroom{HasSpare: true}
	}
	return Headroom{Limited: true, Wait: e.waitFor(1, now), HasSpare: e.hasSpare(now)}
}

// TimeFor returns the time in which an endpoint accepts that many requests.
func (l *Limiter) TimeFor(endpoint string, requests int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil || e.bucket == nil {
		return 0
	}
	return time.Duration(float64(requests) / e.rate() * float64(time.Second))
}

// Limit returns the limit that is enforced; the zero value if there is none.
func (l *Limiter) Limit(endpoint string) Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.endpoints[endpoint]; e != nil {
		return e.observed.Limit
	}
	return Limit{}
}

// Forget removes an endpoint that no longer exists.
func (l *Limiter) Forget(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.endpoints, endpoint)
}
