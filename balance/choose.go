// SPDX-License-Identifier: Apache-2.0

package balance

import "time"

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
	Returned   bool          // the caller was refused before and came back when it was asked to
}

// Candidate is an endpoint that may serve a request.
type Candidate struct {
	Availability Availability
	Delay        time.Duration // until the adapter is loaded; zero if it is ready
	Queue        time.Duration // to read the prompts ahead of the request's own
	Own          time.Duration // to read the request's own prompt, until its first token
	FreeMemory   int           // tokens that its memory still takes, the request's subtracted; negative: the request does not fit
	Memory       int           // tokens that its memory holds; zero: not known
}

// firstToken returns the expected time to first token.
func (c Candidate) firstToken() time.Duration { return max(c.Delay, c.Queue) + c.Own }

// spareMemory is the part of an endpoint's memory that requests which are late anyway leave free, so that a
// burst of requests in time finds room.
const spareMemory = 0.2

// cost orders candidates: the expected time to first token, and what a load of the adapter costs others.
func (c Candidate) cost() time.Duration {
	if c.Availability == Loadable {
		return c.firstToken() + loadPenalty
	}
	return c.firstToken()
}

// hasRoom reports whether the request fits the endpoint's memory.
func (c Candidate) hasRoom(late bool) bool {
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
	// targetMargin is the part of the target that the expected time to first token may take: half of the responses
	// come later than expected.
	targetMargin = 0.75
	// copyThreshold is the part of the target from which an endpoint's expected time to first token calls
	// for one more copy of the adapter: a load takes some 0.3 of a target, so a copy that is begun later
	// than this is ready too late for the requests that need it.
	copyThreshold = 0.5
	// loadPenalty is how much sooner an endpoint that has to load the adapter must serve than one that
	// holds it: a load takes bandwidth of the weight store and an adapter slot from other requests.
	loadPenalty = 300 * time.Millisecond
)

// queueLimit returns the longest queue that the request may join.
func (r Request) queueLimit() time.Duration {
	if r.Returned {
		return r.QueueLimit + time.Duration(returnAllowance*float64(r.QueueLimit))
	}
	return r.QueueLimit
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
	best := r.cheapest(list, time.Duration(targetMargin*float64(r.Target)), false)
	if best < 0 {
		return Decision{}, false
	}
	c := list[best]
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
	best := -1
	for i, c := range list {
		if c.firstToken() > within || c.Queue > r.queueLimit() || !c.hasRoom(late) {
			continue
		}
		if best < 0 || c.cost() < list[best].cost() {
			best = i
		}
	}
	return best
}

// refuse returns the refusal with the reason of the candidate that would serve first.
func (r Request) refuse(list []Candidate) Decision {
	d := Decision{Index: -1, Reason: NoneAvailable}
	for _, c := range list {
		reason, relief := QueueTooLong, c.Queue-r.queueLimit()
		switch {
		case !c.hasRoom(true):
			reason, relief = MemoryFull, c.Queue
		case c.Delay > r.MaxWait:
			reason, relief = LoadTooLate, c.Delay
		}
		if relief = max(relief, 0); d.Reason == NoneAvailable || relief < d.Relief {
			d.Reason, d.Relief = reason, relief
		}
	}
	return d
}
