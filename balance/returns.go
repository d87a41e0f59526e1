// SPDX-License-Identifier: Apache-2.0

package balance

import "time"

// returnCapacity is the part of the endpoints' time that returning requests may take up, so that those
// asked to come back at one time find room then: what returnAllowance leaves them is a quarter of a queue.
const returnCapacity = 0.25

// Returns spaces the times at which refused callers are asked to come back, so that they don't all return
// at once. It holds no promise of a single caller: requests that return are let in ahead of new ones by
// Choose, whichever box they reach. So nothing is lost with the box that refused them. The zero value is ready to use.
type Returns struct {
	next      time.Time     // first time that is not assigned yet
	lastDelay time.Duration // the delay assigned last
}

// Assign returns when a refused caller should come back: not before relief, and after those that were
// refused before it. work is the time of one endpoint that the request takes, endpoints how many share the
// work. It returns false if that is later than latest; nothing is assigned then.
func (r *Returns) Assign(now time.Time, relief, work, latest time.Duration, endpoints int) (time.Duration, bool) {
	due := now.Add(max(relief, 0))
	if r.next.After(due) {
		due = r.next
	}
	delay := due.Sub(now)
	if delay > latest {
		return 0, false
	}
	r.next = due.Add(time.Duration(float64(work) / (returnCapacity * float64(max(endpoints, 1)))))
	r.lastDelay = delay
	return delay, true
}

// IsDue reports whether a caller that comes back the given time after its first attempt has waited as it was
// asked to. A caller that repeats at once is treated like a new one.
func (r *Returns) IsDue(elapsed time.Duration) bool {
	return elapsed >= time.Duration(dueFraction*float64(r.lastDelay))
}

// dueFraction is the part of the assigned delay from which on a returning caller counts as due: delays differ
// between callers that were refused one after the other.
const dueFraction = 0.5
