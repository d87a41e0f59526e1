// SPDX-License-Identifier: Apache-2.0

package access

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

// Unit is the unit of a quota.
type Unit int

// Units of quotas.
const (
	Requests Unit = iota
	Tokens        // of the prompt, plus the maximum of the completion
)

// Quota limits the requests of an organisation over all boxes. The zero value is unlimited.
type Quota struct {
	Unit        Unit
	Rate        float64 // units per second; zero: unlimited
	Burst       float64 // units that may be spent at once; zero: half a second of the rate
	DefaultCost float64 // units of a request that does not state its tokens
}

// maxUnits bounds the values of quotas and requests, so that sums of thousands of them are exact in floating
// point.
const maxUnits = 1e12

// check returns an error that names the first invalid field.
func (q Quota) check() error {
	for _, f := range []struct {
		name  string
		value float64
	}{{"rate", q.Rate}, {"burst", q.Burst}, {"tokens of a request that does not state them", q.DefaultCost}} {
		if !(f.value >= 0 && f.value <= maxUnits) { // also true for NaN
			return errors.Errorf("%s: invalid value %v: must be from 0 to %v", f.name, f.value, float64(maxUnits))
		}
	}
	return nil
}

// IsLimited reports whether the quota sets a limit.
func (q Quota) IsLimited() bool { return q.Rate > 0 }

// defaultBurstWindow is the time whose units form the burst of a quota that sets none, so that a request of
// common size fits.
const defaultBurstWindow = 500 * time.Millisecond

// burst returns the units that may be spent at once.
func (q Quota) burst() float64 {
	if q.Burst > 0 {
		return q.Burst
	}
	return q.Rate * defaultBurstWindow.Seconds()
}

// Cost returns the units of a request that states its tokens, or of one that does not if stated is false. Each
// request costs at least one unit.
func (q Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case !stated:
		return max(q.DefaultCost, 1)
	}
	return min(max(float64(tokens), 1), maxUnits)
}

// Bounds is how far the operator allows quotas to be exceeded over all boxes, so that boxes need not
// coordinate before each request.
type Bounds struct {
	Window    time.Duration // over which requests are counted; zero: quotas may not be exceeded
	Overshoot float64       // fraction of the units that the quota allows in a window
	Slack     float64       // additional units in a window
}

// The permitted excess over a quota is divided between callers and the inaccuracy of the distributed count.
// An account can spend up to three times its credit limit in a window: the overdraft at its end, the units drawn
// ahead at its start, and those forgiven without a leader. The unassigned remainder covers leader changes
// and requests that are larger than a pool.
const (
	// callerFraction is the fraction of the overshoot that is added to the rate, so that callers that exceed
	// their quota slightly are served, as the operator allows. On a day on which one of sixteen
	// organisations exceeded its quota by a tenth, 263 of 24,700 requests were refused without it.
	callerFraction = 0.5
	// creditFraction is the fraction of the remaining excess that all boxes together may have spent and not
	// drawn.
	creditFraction = 0.2
	// reserveFraction is the fraction of the remaining excess that pools can hold in addition to the burst.
	// Otherwise the share of the burst in a data centre would be smaller than a long prompt, and such a
	// request must not make the next ones wait.
	reserveFraction = 0.2
)

// rate returns the units per second that are granted from a quota.
func (b Bounds) rate(q Quota) float64 {
	if b.Window <= 0 {
		return q.Rate
	}
	return q.Rate * (1 + callerFraction*max(b.Overshoot, 0))
}

// excess returns the units in a window by which a quota may be exceeded.
func (b Bounds) excess(q Quota) float64 {
	return max(b.Overshoot*(q.Rate*b.Window.Seconds()+q.Burst)+b.Slack, 0)
}

// internalExcess returns the part of the excess that is not given to callers.
func (b Bounds) internalExcess(q Quota) float64 {
	return b.excess(q) - (b.rate(q)-q.Rate)*b.Window.Seconds()
}

// Limit is the rate and capacity of a pool for one quota.
type Limit struct {
	Rate     float64 // units per second
	Capacity float64 // units
}

// Limit returns the rate and capacity of a pool with a share of a quota.
func (b Bounds) Limit(q Quota, share float64) Limit {
	l := Limit{Rate: b.rate(q) * share, Capacity: q.burst() * share}
	if b.Window > 0 {
		l.Capacity += reserveFraction * b.internalExcess(q) * share
	}
	return l
}

// CreditLimit returns the units that one of the given number of boxes may have spent of a quota and not drawn; zero
// if the number is not known.
func (b Bounds) CreditLimit(q Quota, boxes int) float64 {
	if boxes <= 0 || b.Window <= 0 {
		return 0
	}
	return creditFraction * b.internalExcess(q) / float64(boxes)
}

// Share returns the fraction of each quota that a leader grants in its data centre: the equal share of a data
// centre, times the fraction of its known boxes that draw from this leader. A box draws from one leader at
// a time, so the shares add up to at most one on all sides of a network partition and with several leaders,
// if known includes boxes that are no longer reachable.
func Share(drawing, known, centres int) float64 {
	return min(float64(drawing)/float64(max(known, 1)), 1) / float64(max(centres, 1))
}

// waitFor returns the time until the given units accrue at a rate, at most a minute: longer waits need
// not be distinguished.
func waitFor(units, rate float64) time.Duration {
	if units <= 0 {
		return 0
	}
	if rate <= 0 {
		return time.Minute
	}
	return time.Duration(math.Min(units/rate, time.Minute.Seconds()) * float64(time.Second))
}
