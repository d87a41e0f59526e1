// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"time"
)

// returnCapacity is the part of the endpoints' time that returning requests may take up, so that those
// asked to come back at one time find room then. With a quarter, returning requests of less urgent kinds kept new
// ones of those kinds out for six seconds after a flood.
const returnCapacity = 0.1

// Returns spaces the times at which refused callers are asked to come back, so that they don't all return
// at once. It holds no promise of a single caller: requests that return are let in ahead of new ones by
// Choose, whichever box they reach. So nothing is lost with the box that refused them. The zero value is ready to use.
type Returns struct {
	slots [returnSlots]slot // by the time of the return, in a ring
	given [returnSlots]slot // by the time of the refusal, in a ring
}

// Time is divided into slots, so that a return assigned to a distant time leaves the time before it free. The
// slots cover 32 s: callers are asked to return within a third of their remaining time.
const (
	returnSlots  = 128
	slotDuration = 250 * time.Millisecond
)

// After a flood its callers have the slots of the next seconds. Those refused then for a queue that ends soon would be
// asked to return behind them, when their target has passed, so returns that are assigned longer than nearReturn before
// their time leave the last part of each slot to others.
const (
	nearReturn = time.Second
	nearPart   = slotDuration / 5
)

// slot is a part of time. A ring's entry with another index is of a time that has passed.
type slot struct {
	index int64
	free  time.Time     // first time in it that is not assigned yet
	delay time.Duration // the shortest delay that was assigned in it
}

func slotIndex(t time.Time) int64 { return t.UnixNano() / int64(slotDuration) }

// ring returns the place of a slot, also of one before 1970.
func ring(index int64) int { return int(uint64(index) % returnSlots) }

// Assign returns when a refused caller should come back: not before relief, and after those that were
// refused before it. work is the time of one endpoint that the request takes, endpoints how many share the
// work. It returns false if that is later than latest; nothing is assigned then.
func (r *Returns) Assign(now time.Time, relief, work, latest time.Duration, endpoints int) (time.Duration, bool) {
	latest = min(latest, (returnSlots-1)*slotDuration)
	if relief = max(relief, 0); relief > latest {
		return 0, false
	}
	due := now.Add(relief)
	for !due.After(now.Add(latest)) {
		index := slotIndex(due)
		if s := r.slots[ring(index)]; s.index == index && s.free.After(due) {
			due = s.free
			rest := time.Duration((index+1)*int64(slotDuration) - due.UnixNano())
			if rest > 0 && rest < nearPart && due.Sub(now) > nearReturn {
				due = due.Add(rest)
			}
		}
		if slotIndex(due) == index {
			break
		}
	}
	delay := due.Sub(now)
	if delay > latest {
		return 0, false
	}
	interval := time.Duration(math.Round(float64(max(work, 0)) / (returnCapacity * float64(max(endpoints, 1)))))
	r.take(due, due.Add(min(interval, (returnSlots-1)*slotDuration)))
	g := &r.given[ring(slotIndex(now))]
	if g.index != slotIndex(now) {
		*g = slot{index: slotIndex(now), delay: delay}
	}
	g.delay = min(g.delay, delay)
	return delay, true
}

// take marks the time until the given one as assigned, in each slot that it reaches.
func (r *Returns) take(from, until time.Time) {
	for i := slotIndex(from); i <= slotIndex(until); i++ {
		s := &r.slots[ring(i)]
		if s.index != i {
			*s = slot{index: i}
		}
		if until.After(s.free) {
			s.free = until
		}
	}
}

// IsDue reports whether a caller that comes back the given time after its first attempt has waited as it was
// asked to. A caller that repeats at once is treated like a new one. The delay assigned last wouldn't do: it
// grows during a flood, and callers refused at its beginning would count as early.
func (r *Returns) IsDue(now time.Time, elapsed time.Duration) bool {
	index := slotIndex(now.Add(-elapsed))
	g := r.given[ring(index)]
	return g.index != index || elapsed >= time.Duration(dueFraction*float64(g.delay))
}

// dueFraction is the part of the shortest delay assigned at the time of the first attempt from which on a
// returning caller counts as due: the refusal comes somewhat later than the attempt.
const dueFraction = 0.5
