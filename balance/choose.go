// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"time"
)

// Availability says when an endpoint can serve requests for an adapter.
type Availability int

// Availabilities of an adapter at an endpoint.
const (
	Ready     Availability = iota + 1 // it is loaded
	Loading                           // it is being loaded
	Requested                         // its load has been requested and has not begun
	Loadable                          // it can be loaded
)

// Request is a request that needs an adapter.
type Request struct {
	Target     time.Duration // from now until the latency target of its route; negative: that has passed
	QueueLimit time.Duration // longest time that prompts ahead of its own may take, so that more urgent requests stay in time
	MaxWait    time.Duration // from now, after which a response is of no more use to the caller
	MaxPause   time.Duration // longest time between two events of a stream that is still in time; zero: not known
	Returned   bool          // the caller was refused before and came back when it was asked to

	// Pack prefers the endpoint with the most requests for the adapter, so that other copies become idle and their
	// slots free.
	Pack bool

	// ReturnLimit takes the place of QueueLimit, if it is longer, for a request that returned: the queue limit of the
	// most urgent kind of the service. Under overload that kind keeps queues at its limit, so a less urgent
	// request that returns would otherwise be refused again.
	ReturnLimit time.Duration
}

// Candidate is an endpoint that may serve a request.
type Candidate struct {
	Availability Availability
	Delay        time.Duration // until the adapter is loaded; zero if it is ready
	Queue        time.Duration // to read the prompts ahead of the request's own
	Own          time.Duration // to read the request's own prompt, until its first token
	Busy         time.Duration // for which it has read prompts without a break
	Pause        time.Duration // between two events of its streams while it reads prompts without a break; zero: not known
	FreeMemory   int           // tokens that its memory still takes, the request's subtracted; negative: the request does not fit
	Memory       int           // tokens that its memory holds; zero: not known
	Running      int           // requests for the adapter in progress there
}

// firstToken returns the expected time to first token.
func (c *Candidate) firstToken() time.Duration {
	return add(max(c.Delay, c.Queue, 0), max(c.Own, 0))
}

// cost returns the expected time to first token, plus what a load that isn't under way has to save.
func (c *Candidate) cost() time.Duration {
	if c.Availability == Loadable {
		return add(c.firstToken(), loadPenalty)
	}
	return c.firstToken()
}

// add returns the sum of two times that are not negative, at most the longest time.
func add(a, b time.Duration) time.Duration {
	if b > math.MaxInt64-a {
		return math.MaxInt64
	}
	return a + b
}

// spareMemory is the part of an endpoint's memory that requests which are late anyway leave free, so that a
// burst of requests in time finds room.
const spareMemory = 0.2

// pause returns the longest time between two events of the streams that run at the endpoint if it reads the request's
// prompt too: a long time without a break, but not beyond its length, since events come between the parts of prompts.
func (c *Candidate) pause() time.Duration {
	return min(c.Pause, add(max(c.Busy, 0), add(max(c.Queue, 0), max(c.Own, 0))))
}

// hasRoom reports whether the request fits the endpoint's memory.
func (c *Candidate) hasRoom(late bool) bool {
	if c.Memory <= 0 {
		return true
	}
	if late {
		return float64(c.FreeMemory) >= spareMemory*float64(c.Memory)
	}
	return c.FreeMemory >= 0
}

// Reason says what decided.
type Reason int

// Reasons of a decision.
const (
	InTime        Reason = iota + 1 // the chosen endpoint is expected to serve the request within its target
	Late                            // no endpoint serves it in time; the chosen one still serves it
	QueueTooLong                    // the prompts ahead would take too long everywhere
	MemoryFull                      // it fits the memory of no endpoint
	LoadTooLate                     // the adapter could only be loaded too late
	NoneAvailable                   // there was no candidate
)

// String returns the reason as a refusal names it.
func (r Reason) String() string {
	return [...]string{"none", "in time", "late", "prompts ahead would be read too late", "endpoints' memory is full",
		"the adapter would be loaded too late", "no endpoint is available"}[r]
}

// Decision is the choice for one request.
type Decision struct {
	Index      int // of the chosen candidate; negative: refused
	Reason     Reason
	FirstToken time.Duration // expected at the chosen candidate
	Relief     time.Duration // refused: until a candidate is expected to take such a request
	AddCopy    bool          // the chosen endpoint is so busy that one more copy of the adapter pays
}

// Thresholds of decisions.
const (
	// returnAllowance is by how much a returning request's queue limit exceeds that of a new one. Under
	// overload new requests keep the queues at their limit; what lies above it is left to those that were
	// asked to return.
	returnAllowance = 0.25
	// targetMargin is the part of a target, or of a queue limit, that the expected time may take: half of the
	// responses come later than expected.
	targetMargin = 0.75
	// ownFraction is the part of the queue limit up to which a request's own prompt counts towards it: all of an
	// ordinary prompt does, and a long one is not refused for its length alone.
	ownFraction = 0.25
	// lateFraction is the part of the queue limit that a request may queue which is late anyway: it takes what
	// requests in time leave unused.
	lateFraction = 0.5
	// copyThreshold is the part of the target from which an endpoint's expected time to first token calls
	// for one more copy of the adapter: a load takes some 0.3 of a target, so a copy that is begun later
	// than this is ready too late for the requests that need it.
	copyThreshold = 0.5
	// packThreshold is the part of the target up to which an endpoint's expected time to first token may rise so that
	// another copy of the adapter becomes idle. The rest is for the next requests.
	packThreshold = 0.5
	// loadPenalty is how much sooner an endpoint that has to load the adapter must serve than one that
	// holds it: a load takes bandwidth of the weight store and an adapter slot from other requests.
	loadPenalty = 300 * time.Millisecond
)

// queueLimit returns the longest queue that the request may join. It is never negative: an endpoint without
// a queue delays nothing more urgent, so it takes requests of each kind.
func (r Request) queueLimit() time.Duration {
	limit := max(r.QueueLimit, 0)
	if r.Returned {
		limit = max(limit, r.ReturnLimit)
		limit = add(limit, time.Duration(returnAllowance*float64(limit)))
	}
	return time.Duration(targetMargin * float64(limit))
}

// queueBound is the longest queue that a request may join: the limit, less its own prompt up to a part of the limit. It is
// never negative, so a request may always join an endpoint without a queue.
type queueBound struct {
	limit, maxOwn time.Duration
}

func (r Request) queueBound(late bool) queueBound {
	limit := r.queueLimit()
	if late && !r.Returned {
		limit = time.Duration(lateFraction * float64(limit))
	}
	return queueBound{limit: limit, maxOwn: time.Duration(ownFraction * float64(limit))}
}

// longestQueue returns the longest queue of a candidate that the request may join.
func (b queueBound) longestQueue(c *Candidate) time.Duration {
	return b.limit - min(max(c.Own, 0), b.maxOwn)
}

// pausesStreams reports whether the streams that run at a candidate would be late if it read the request's prompt too.
// An endpoint without a queue takes the request all the same: waiting would not make the pause shorter.
func (r Request) pausesStreams(c *Candidate) bool {
	return r.MaxPause > 0 && c.Queue > 0 && c.pause() > r.MaxPause
}

// Choose selects the candidate that serves a request soonest. A candidate is used within the request's
// target if one is, preferring those that hold the adapter; else a late response is still given if that
// doesn't delay requests in time. Everything else is refused, with the time until that changes.
func Choose(r Request, list []Candidate) Decision {
	if d, ok := r.chooseInTime(list); ok {
		return d
	}
	if d, ok := r.chooseLate(list); ok {
		return d
	}
	return r.refuse(list)
}

// chooseInTime returns the candidate with the lowest cost among those within the target.
func (r Request) chooseInTime(list []Candidate) (Decision, bool) {
	if r.Target < 0 { // the margin of a time just below zero rounds to zero
		return Decision{}, false
	}
	best := -1
	if r.Pack {
		best = r.busiest(list, time.Duration(packThreshold*float64(r.Target)))
	}
	if best < 0 {
		best = r.cheapest(list, time.Duration(targetMargin*float64(r.Target)), false)
	}
	if best < 0 {
		return Decision{}, false
	}
	c := &list[best]
	busy := c.Queue > time.Duration(copyThreshold*float64(r.QueueLimit))
	return Decision{Index: best, Reason: InTime, FirstToken: c.firstToken(), AddCopy: busy}, true
}

// chooseLate returns the candidate with the lowest cost that serves the request before its caller gives up, if it has room
// to spare.
func (r Request) chooseLate(list []Candidate) (Decision, bool) {
	best := r.cheapest(list, r.MaxWait, true)
	if best < 0 {
		return Decision{}, false
	}
	return Decision{Index: best, Reason: Late, FirstToken: list[best].firstToken()}, true
}

// cheapest returns the index of the candidate with the lowest cost that serves the request within the given time, or -1.
func (r Request) cheapest(list []Candidate, within time.Duration, late bool) int {
	best, lowest := -1, time.Duration(0)
	bound := r.queueBound(late)
	for i := range list {
		c := &list[i]
		if best >= 0 && c.cost() >= lowest {
			continue
		}
		if c.firstToken() <= within && r.accepts(c, bound, late) {
			best, lowest = i, c.cost()
		}
	}
	return best
}

// busiest returns the index of the candidate that holds the adapter and has the most requests for it, among those that
// serve the request within the given time, or -1.
func (r Request) busiest(list []Candidate, within time.Duration) int {
	best := -1
	bound := r.queueBound(false)
	for i := range list {
		c := &list[i]
		if c.Availability != Ready || c.Running == 0 || (best >= 0 && c.Running <= list[best].Running) {
			continue
		}
		if c.firstToken() <= within && r.accepts(c, bound, false) {
			best = i
		}
	}
	return best
}

// accepts reports whether a candidate has room for the request, and its streams stay in time.
func (r Request) accepts(c *Candidate, bound queueBound, late bool) bool {
	return c.Queue <= bound.longestQueue(c) && c.hasRoom(late) && !r.pausesStreams(c)
}

// refuse returns the refusal with the reason of the candidate that would serve first.
func (r Request) refuse(list []Candidate) Decision {
	d := Decision{Index: -1, Reason: NoneAvailable}
	for i := range list {
		if reason, relief := r.relief(&list[i]); d.Reason == NoneAvailable || relief < d.Relief {
			d.Reason, d.Relief = reason, relief
		}
	}
	return d
}

// relief returns why a candidate refuses the request, and the time until it would take it. Its queue and its load become
// shorter in that time, and so do the request's target and the time that its caller waits.
func (r Request) relief(c *Candidate) (Reason, time.Duration) {
	first := c.firstToken()
	timely, ok := r.timelyRelief(c)
	if first <= r.MaxWait && c.hasRoom(true) {
		if late := r.queueRelief(c, true); !ok || late < timely {
			return QueueTooLong, late
		}
	}
	switch {
	case ok:
		return QueueTooLong, timely
	case c.Delay > 0 && add(c.Delay, max(c.Own, 0)) > r.MaxWait:
		return LoadTooLate, c.Delay
	case !c.hasRoom(false):
		return MemoryFull, max(c.Queue, 0)
	case first > r.MaxWait: // for as long as the queue becomes shorter, the caller's time does too
		return QueueTooLong, first
	}
	return MemoryFull, max(c.Queue, 0)
}

// queueRelief returns the time until the request may join the queue of a candidate, and the streams that run there are in time.
func (r Request) queueRelief(c *Candidate, late bool) time.Duration {
	if r.pausesStreams(c) {
		return c.Queue // the endpoint reads without a break until then
	}
	return max(max(c.Queue, 0)-r.queueBound(late).longestQueue(c), 0)
}

// timelyRelief returns the time until a candidate serves the request within its target, or false if it never does. While
// the queue or the load becomes shorter, the expected time falls faster than the part of the target that it may take.
func (r Request) timelyRelief(c *Candidate) (time.Duration, bool) {
	if r.Target < 0 || !c.hasRoom(false) {
		return 0, false
	}
	relief := r.queueRelief(c, false)
	excess := float64(c.firstToken()) - targetMargin*float64(r.Target)
	if excess <= 0 {
		return relief, true
	}
	gain := math.Ceil(excess / (1 - targetMargin))
	if gain > float64(max(c.Queue, c.Delay)) {
		return 0, false
	}
	return max(relief, time.Duration(gain)), true
}
