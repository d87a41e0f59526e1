// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

const (
	initialLoadLimit    = 4.0  // concurrent loads from the store that one leader starts with
	minLoadLimit        = 1.0  // a slow store must still be probed
	maxLoadLimit        = 64.0 // sixteen endpoints with maxConcurrentLoads each
	slowStartIncrease   = 1.0  // added per load until the first slow one: the limit doubles per load time
	additiveIncrease    = 0.5  // added per load after that, unless the load was slow
	decreaseFactor      = 0.8  // applied to the limit after a slow load
	saturationThreshold = 0.33 // part of the limit that must be in use for it to rise, so that a burst finds at most three times the tested concurrency
	slowLoadFactor      = 1.5  // a load that takes this many times the fastest one is slow: the store is overloaded
	fastestLoadDecay    = 0.01 // part by which the fastest load time rises per load time, in case the store has become slower
)

// loadLimiter is an additive-increase, multiplicative-decrease limit of the concurrent loads
// of one leader from the weight store. Loads become slower when many run at once; each leader
// derives its limit from its own load times, so leaders need not coordinate.
type loadLimiter struct {
	limit           float64
	fastest         time.Duration // of the recent loads from the store
	pastSlowStart   bool          // a load was slow: the store's capacity is near
	fastestRaisedAt time.Time     // when fastest was last raised
	inFlight        int
	reducedAt       time.Time // when the limit was last reduced
	saturatedAt     time.Time // when saturationThreshold was last reached
}

// fastestLoad returns the time of a load from an idle store.
func (p *loadLimiter) fastestLoad() time.Duration {
	if p.fastest == 0 {
		return initialColdLoadTime
	}
	return p.fastest
}

func newLoadLimiter() loadLimiter { return loadLimiter{limit: initialLoadLimit} }

// hasPermit reports whether another load may begin.
func (p *loadLimiter) hasPermit() bool { return float64(p.inFlight)+1 <= p.limit }

// acquire takes a permit for one load, if one is available.
func (p *loadLimiter) acquire(now time.Time) bool {
	if !p.hasPermit() {
		return false
	}
	p.inFlight++
	if !p.hasPermit() || float64(p.inFlight) >= saturationThreshold*p.limit {
		p.saturatedAt = now
	}
	return true
}

// release returns a load's permit; took is zero when the load did not succeed. The limit rises
// only while it is in use: a limit raised during idle periods let a burst overload the store. It
// is reduced once for all loads that were slowed together.
func (p *loadLimiter) release(took time.Duration, now time.Time) {
	p.inFlight--
	if took <= 0 {
		return
	}
	if now.Sub(p.fastestRaisedAt) >= p.fastest {
		p.fastest += time.Duration(float64(p.fastest) * fastestLoadDecay)
		p.fastestRaisedAt = now
	}
	if p.fastest == 0 || took < p.fastest {
		p.fastest = took
	}
	if float64(took) > slowLoadFactor*float64(p.fastest) {
		if now.Add(-took).After(p.reducedAt) {
			p.limit, p.reducedAt = max(minLoadLimit, p.limit*decreaseFactor), now
		}
		p.pastSlowStart = true
		return
	}
	if p.saturatedAt.Before(now.Add(-took)) {
		return
	}
	growth := slowStartIncrease
	if p.pastSlowStart {
		growth = additiveIncrease
	}
	p.limit = min(maxLoadLimit, p.limit+growth)
}

// queueDelay returns how long a load waits behind a number of others, when each takes load.
func (p *loadLimiter) queueDelay(ahead int, load time.Duration) time.Duration {
	excess := float64(p.inFlight+ahead) + 1 - p.limit
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / p.limit * float64(load))
}
