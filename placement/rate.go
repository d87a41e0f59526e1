// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

// RateLimits is what the weight store allows in total.
type RateLimits struct {
	Window    time.Duration // over which loads are counted
	Overshoot float64       // loads allowed per window, in multiples of the rate
	Extra     float64       // loads allowed per window in addition
}

// DefaultRateLimits applies when the settings name no limits.
var DefaultRateLimits = RateLimits{Window: 5 * time.Second, Overshoot: 1.1, Extra: 3}

// sustainedShare is the part of the permitted overshoot that is used continuously; the rest
// is left for bursts.
const sustainedShare = 0.7

// burstShare keeps the total of all leaders' bursts below what a window allows.
const burstShare = 0.7

// tokenBucket limits one leader to its share of the store's rate. Shares are proportional, so
// leaders need not coordinate; the total of their bursts stays within the overshoot.
type tokenBucket struct {
	limits     RateLimits
	rate       float64 // loads per second
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// setShare sets the store's rate and this leader's part of it.
func (b *tokenBucket) setShare(rate, fraction float64, leaders int) {
	slack := rate*b.limits.Window.Seconds()*(b.limits.Overshoot-1) + b.limits.Extra
	b.rate = rate * fraction * (1 + (b.limits.Overshoot-1)*sustainedShare)
	b.burst = max(1, (slack-rate*b.limits.Window.Seconds()*(b.limits.Overshoot-1)*sustainedShare)*burstShare/float64(max(leaders, 1)))
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
}

// has reports whether there is a token for one load.
func (b *tokenBucket) has(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// take takes a token for one load, if there is one.
func (b *tokenBucket) take(now time.Time) bool {
	if !b.has(now) {
		return false
	}
	b.tokens--
	return true
}
