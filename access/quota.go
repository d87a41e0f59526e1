// SPDX-License-Identifier: Apache-2.0

package access

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

// Unit is what a quota counts.
type Unit int

// The units.
const (
	Requests Unit = iota
	Tokens        // of the prompt and, at the most, of the answer
)

// Quota is how much all requests of an organisation may ask over all boxes. The zero value sets
// no limit.
type Quota struct {
	Unit        Unit
	Rate        float64 // units a second; zero: no limit
	Burst       float64 // units besides, at any moment; zero: half a second of the rate
	DefaultCost float64 // units of a request that does not say how many tokens it uses
}

// maxUnits bounds what a quota or a request may say, so that sums of thousands stay exact in
// floating point.
const maxUnits = 1e12

// check names the field that can't be meant.
func (q Quota) check() error {
	for _, f := range []struct {
		name  string
		value float64
	}{{"rate", q.Rate}, {"burst", q.Burst}, {"tokens of a request that states none", q.DefaultCost}} {
		if !(f.value >= 0 && f.value <= maxUnits) { // nor NaN
			return errors.Errorf("%s: %v: give a number from 0 to %v", f.name, f.value, float64(maxUnits))
		}
	}
	return nil
}

// IsLimited tells whether the quota sets a limit.
func (q Quota) IsLimited() bool { return q.Rate > 0 }

// defaultBurstWindow is the time of the rate that a quota without a burst holds at any moment, so that a
// request of usual size fits at all.
const defaultBurstWindow = 500 * time.Millisecond

// burst returns how many units the quota holds at any moment.
func (q Quota) burst() float64 {
	if q.Burst > 0 {
		return q.Burst
	}
	return q.Rate * defaultBurstWindow.Seconds()
}

// Cost returns how many units a request counts, by the tokens that it says it uses; stated is
// false where it says nothing. No request is free.
func (q Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case !stated:
		return max(q.DefaultCost, 1)
	}
	return min(max(float64(tokens), 1), maxUnits)
}

// Bounds is what an operator allows beyond the quotas, over all boxes, so that boxes need not ask
// each other before every request.
type Bounds struct {
	Window    time.Duration // over which requests are counted; zero: nothing is allowed beyond
	Overshoot float64       // part of what the quota allows in a window
	Slack     float64       // units in a window, besides
}

// What is allowed beyond a quota is divided between callers and the parts of the count. An account can
// spend up to thrice its float in a window: what it has not drawn at the end, what it had drawn ahead at
// the start, and what it was forgiven without a leader. What is left of the whole is for leaders that
// change, and for requests that are larger than a pool.
const (
	// callerFraction is the part of the overshoot that callers are given, of the rate: who asks a little
	// more than its quota is served, as the operator allows. On a day on which one of sixteen
	// organisations asked a tenth more than its quota, 263 of 24,700 requests were refused without it.
	callerFraction = 0.5
	// creditFraction is what the boxes may have spent and not drawn, of the rest.
	creditFraction = 0.2
	// reserveFraction is what pools hold besides the burst, of the rest: the burst's parts in the data
	// centres would be smaller than a long prompt, and one that is there must not make the next
	// ones wait.
	reserveFraction = 0.2
)

// rate returns how many units a second are handed out of a quota.
func (b Bounds) rate(q Quota) float64 {
	if b.Window <= 0 {
		return q.Rate
	}
	return q.Rate * (1 + callerFraction*max(b.Overshoot, 0))
}

// excess returns how many units are allowed in a window besides the quota.
func (b Bounds) excess(q Quota) float64 {
	return max(b.Overshoot*(q.Rate*b.Window.Seconds()+q.Burst)+b.Slack, 0)
}

// internalExcess returns how many of these callers are not given.
func (b Bounds) internalExcess(q Quota) float64 {
	return b.excess(q) - (b.rate(q)-q.Rate)*b.Window.Seconds()
}

// Limit is what a pool hands out of one quota.
type Limit struct {
	Rate     float64 // units a second
	Capacity float64 // units that it holds
}

// Limit returns what a pool hands out of a quota of which it has a share.
func (b Bounds) Limit(q Quota, share float64) Limit {
	l := Limit{Rate: b.rate(q) * share, Capacity: q.burst() * share}
	if b.Window > 0 {
		l.Capacity += reserveFraction * b.internalExcess(q) * share
	}
	return l
}

// CreditLimit returns how many units one of so many boxes may have spent of a quota and not drawn;
// zero where the number of boxes is not known.
func (b Bounds) CreditLimit(q Quota, boxes int) float64 {
	if boxes <= 0 || b.Window <= 0 {
		return 0
	}
	return creditFraction * b.internalExcess(q) / float64(boxes)
}

// Share returns the part of each quota that a box hands out for its data centre, one of so many:
// the data centre's equal part, by how many of the boxes that are known there draw from this one. A
// box draws from one other at a time, so on all sides of a cut, and where several believe that they
// lead, the parts add up to the whole at the most, if those that fell silent count as known.
func Share(drawing, known, centres int) float64 {
	return min(float64(drawing)/float64(max(known, 1)), 1) / float64(max(centres, 1))
}

// waitFor returns how long so many units take at a rate; what would take longer than a minute is
// not worth telling apart.
func waitFor(units, rate float64) time.Duration {
	if units <= 0 {
		return 0
	}
	if rate <= 0 {
		return time.Minute
	}
	return time.Duration(math.Min(units/rate, time.Minute.Seconds()) * float64(time.Second))
}
