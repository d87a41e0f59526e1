// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

// RateLimits is what the weight store allows over all endpoints.
type RateLimits struct {
	Window    time.Duration // loads are counted over it
	Overshoot float64       // of the rate, that a window may hold
	Extra     float64       // loads besides
}

// DefaultRateLimits is for stores that say nothing of their limits.
var DefaultRateLimits = RateLimits{Window: 5 * time.Second, Overshoot: 1.1, Extra: 3}

// overshootPart of what a window may hold beyond the rate is used all the time, the
// rest by bursts.
const sustainedShare = 0.7

// burstPart keeps the bursts of all leaders together below what a window may hold.
const burstShare = 0.7

// bucket is one leader's share of the store's rate. Each leader may load at its
// fair share, so that nobody needs to agree with anybody; what the bursts of all
// add up to stays within the overshoot.
type tokenBucket struct {
	limits     RateLimits
	rate       float64 // loads a second
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// share sets the rate of the store and which part of it is this leader's.
func (b *tokenBucket) setShare(rate, part float64, leaders int) {
	slack := rate*b.limits.Window.Seconds()*(b.limits.Overshoot-1) + b.limits.Extra
	b.rate = rate * part * (1 + (b.limits.Overshoot-1)*sustainedShare)
	b.burst = max(1, (slack-rate*b.limits.Window.Seconds()*(b.limits.Overshoot-1)*sustainedShare)*burstShare/float64(max(leaders, 1)))
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
}

// take takes one load at now.
func (b *tokenBucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
