// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"time"
)

const (
	// rejectionWindow is the time over which an endpoint counts its rejections, and some more for messages on their way.
	rejectionWindow = 1100 * time.Millisecond
	// rejectionShare is the part of the endpoint's limit that is used. It is below a half, since two boxes may count for
	// the endpoint while views differ or the network is partitioned, each with the boxes that ask it.
	rejectionShare = 0.45
	// safeReportTime is how long after a grant its rejection is usually unknown here: a few messages between boxes.
	safeReportTime = 20 * time.Millisecond
	// minSafeBudget is what safe requests may risk where the budget is less: an endpoint that survives three rejections would
	// otherwise get nothing for a second after each.
	minSafeBudget = 2
	// maxCounted bounds what is counted of one endpoint: rejections and requests in flight of a box, and boxes. It is more
	// than any endpoint has, and messages may name any number.
	maxCounted = 4096
	// rejectionReportTime is how long after a grant its rejection may still be unknown here.
	rejectionReportTime = 100 * time.Millisecond
	// roomGrowthInterval is how long an endpoint that is full must have rejected nothing before one more request in
	// roomGrowthDivisor is tried there, a rejection at a time of those that are risked. The longer interval is for endpoints
	// with a budget of one, which get nothing for rejectionWindow after a trial that fails.
	roomGrowthInterval    = time.Second
	maxRoomGrowthInterval = 8 * time.Second
	roomGrowthDivisor     = 32
	// rankReserveDivisor: each rank leaves this part of the room to more urgent requests, up to half of it.
	rankReserveDivisor = 16
	// safeRoomShare is the part of the room in which requests are not expected to be rejected after a rejection.
	safeRoomShare = 0.75
	// loadTTL is how long the load that a box reported counts: the box may have ended.
	loadTTL = 4 * time.Second
	// completionWindow is the time over which completed requests are counted.
	completionWindow = time.Second
	// minCompletions is the number of requests per second that an endpoint is assumed to complete at least.
	minCompletions = 2
)

// Load is what a box reports of its requests at an endpoint.
type Load struct {
	Box      string
	InFlight int    // requests in flight
	Rejected uint64 // requests that the endpoint has rejected since the box started
	Slots    int    // requests that the endpoint runs at once, by its configuration; zero: not known
}

// rejectionGuard keeps an endpoint from rejecting more requests than it survives. It limits the requests in flight to the
// room that rejections have shown, and stops granting requests that may be rejected when too many were.
type rejectionGuard struct {
	limit      int // rejections per second that the endpoint survives
	boxes      map[string]boxLoad
	grants     []trial     // whose rejection would not be known yet; oldest first
	rejections []time.Time // within rejectionWindow; oldest first
	completed  []time.Time // within completionWindow; oldest first
	room       int         // requests in flight that fit; zero: not known
	roomSet    time.Time   // when room was last changed or shown to be exhausted
	proven     int         // requests in flight that were not rejected
	slots      int
}

// trial is the grant of a request that may be rejected.
type trial struct {
	at       time.Time
	inFlight int  // with the request; zero: a request has been rejected since
	safe     bool // it was not expected to be rejected
}

// boxLoad is the last reported load of a box, with the grants since.
type boxLoad struct {
	inFlight int
	rejected uint64
	at       time.Time
}

// newRejectionGuard returns a guard that assumes that half of the rejections that are allowed have just happened: the
// previous guard may have granted the requests.
func newRejectionGuard(limit int, now time.Time) *rejectionGuard {
	g := &rejectionGuard{limit: min(limit, maxCounted), boxes: make(map[string]boxLoad)}
	g.rejections = appendTimes(nil, g.budget()/2, now)
	return g
}

// budget returns how many rejections are risked within rejectionWindow. Without any risk no request could be sent.
func (g *rejectionGuard) budget() int { return max(int(rejectionShare*float64(g.limit)), 1) }

// growthInterval returns the time without rejections after which the room grows.
func (g *rejectionGuard) growthInterval() time.Duration {
	return max(maxRoomGrowthInterval/time.Duration(g.budget()), roomGrowthInterval)
}

// report applies the load of a box.
func (g *rejectionGuard) report(l Load, now time.Time) {
	g.expire(now)
	if l.Slots > 0 {
		g.slots = l.Slots
	}
	before, known := g.boxes[l.Box]
	if !known && len(g.boxes) >= maxCounted {
		return
	}
	inFlight := min(max(l.InFlight, 0), maxCounted)
	rejected := 0
	if known && l.Rejected > before.rejected {
		rejected = int(min(l.Rejected-before.rejected, maxCounted))
	}
	g.completed = appendTimes(g.completed, max(before.inFlight-inFlight-rejected, 0), now)
	g.boxes[l.Box] = boxLoad{inFlight: inFlight, rejected: l.Rejected, at: now}
	if rejected > 0 {
		g.reject(rejected, now)
	}
}

// reject records rejections. What is in flight then is what fits, but a few rejections with slots left have another reason.
func (g *rejectionGuard) reject(count int, now time.Time) {
	g.rejections = appendTimes(g.rejections, min(count, g.limit+1), now)
	fits := max(g.inFlight(), g.slots/2, 1)
	if g.room == 0 || fits < g.room {
		g.room = fits
	}
	g.roomSet, g.proven = now, min(g.proven, int(safeRoomShare*float64(fits)))
	for i := range g.grants {
		g.grants[i].inFlight = 0
	}
}

// inFlight returns the requests in flight of all boxes.
func (g *rejectionGuard) inFlight() int {
	total := 0
	for _, b := range g.boxes {
		total += b.inFlight
	}
	return total
}

// check returns how long a request has to wait until it may be granted; zero: it may be granted now.
func (g *rejectionGuard) check(a Request, now time.Time) time.Duration {
	g.expire(now)
	inFlight := g.inFlight()
	if left := g.allowed(a, inFlight, now) - inFlight; left <= 0 {
		return time.Duration(1-left) * g.interval(now)
	}
	if g.mayRisk(g.isSafe(inFlight), now) {
		return 0
	}
	next := now.Add(rejectionWindow)
	if len(g.rejections) > 0 {
		next = g.rejections[0].Add(rejectionWindow)
	}
	if len(g.grants) > 0 {
		if resolved := g.grants[0].at.Add(rejectionReportTime); resolved.Before(next) {
			next = resolved
		}
	}
	return max(next.Sub(now), time.Millisecond)
}

// mayRisk reports whether one more request may be granted that is safe or not. Safe ones may be rejected too if the room has
// just shrunk: those of a moment, together with the rejections, stay below what the endpoint survives.
func (g *rejectionGuard) mayRisk(safe bool, now time.Time) bool {
	risked, budget := len(g.rejections), g.budget()
	if safe {
		budget = max(min(g.limit-1, minSafeBudget), budget)
	}
	for _, t := range g.grants {
		if !t.safe || (safe && now.Sub(t.at) < safeReportTime) {
			risked++
		}
	}
	return risked < budget
}

// isSafe reports whether a request is not expected to be rejected: the endpoint has many free slots, or it has accepted as
// many requests.
func (g *rejectionGuard) isSafe(inFlight int) bool {
	return inFlight < max(g.slots/2, g.proven)
}

// allowed returns how many requests may be in flight for the request to be granted; the room grows while it is exhausted
// and nothing is rejected.
func (g *rejectionGuard) allowed(a Request, inFlight int, now time.Time) int {
	if g.room == 0 {
		return inFlight + 1
	}
	if inFlight >= g.room && now.Sub(g.roomSet) >= g.growthInterval() {
		g.room += max(g.room/roomGrowthDivisor, 1)
		g.roomSet = now
	}
	reserve := min(g.room*max(a.Rank, 0)/rankReserveDivisor, g.room/2)
	if a.SpareOnly {
		reserve = g.room / 2
	}
	return max(g.room-reserve, 1)
}

// grant records that a request is sent.
func (g *rejectionGuard) grant(a Request, now time.Time) {
	b := g.boxes[a.Box]
	inFlight := g.inFlight()
	g.grants = append(g.grants, trial{at: now, inFlight: inFlight + 1, safe: g.isSafe(inFlight)})
	b.inFlight++
	b.at = now
	g.boxes[a.Box] = b
}

// interval returns the average time between two requests that the endpoint completes.
func (g *rejectionGuard) interval(now time.Time) time.Duration {
	g.expire(now)
	return completionWindow / time.Duration(max(len(g.completed), minCompletions))
}

// expire drops what is too old.
func (g *rejectionGuard) expire(now time.Time) {
	resolved := now.Add(-rejectionReportTime)
	for len(g.grants) > 0 && g.grants[0].at.Before(resolved) {
		g.proven = max(g.proven, g.grants[0].inFlight)
		g.grants = g.grants[1:]
	}
	g.rejections = dropBefore(g.rejections, now.Add(-rejectionWindow))
	g.completed = dropBefore(g.completed, now.Add(-completionWindow))
	for box, b := range g.boxes {
		if now.Sub(b.at) > loadTTL {
			delete(g.boxes, box)
		}
	}
}

// appendTimes appends a time count times, up to a length of maxCounted.
func appendTimes(list []time.Time, count int, t time.Time) []time.Time {
	for range min(count, maxCounted-len(list)) {
		list = append(list, t)
	}
	return list
}

// dropBefore removes the times before a limit; they are in order.
func dropBefore(list []time.Time, limit time.Time) []time.Time {
	first := 0
	for first < len(list) && list[first].Before(limit) {
		first++
	}
	return list[first:]
}
