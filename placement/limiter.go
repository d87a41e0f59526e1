// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

const (
	initialLoadLimit    = 4.0  // adapters that one leader fetches at once, to begin with
	minLoadLimit        = 1.0  // so that a slow store is still asked
	maxLoadLimit        = 64.0 // sixteen endpoints with all that may be on their way to each
	slowStartIncrease   = 1.0  // added for each load until the first that was slowed down: the pace doubles in the time of one
	additiveIncrease    = 0.5  // added for each load that was not slowed down, from then on
	decreaseFactor      = 0.8  // of the pace that is kept after one that was
	saturationThreshold = 0.33 // part of the limit that must be under way for it to rise: a burst finds room for three times as much
	slowLoadFactor      = 1.5  // times the fastest load: the store is pressed
	fastestLoadDecay    = 0.01 // part by which the fastest load is raised in the time of one, in case the store has changed
)

// pace is how many adapters one leader fetches from the weight store at once. Loads
// become slower when many come at once; each leader finds by its own loads how many
// that are, so that nobody needs to agree with anybody.
type loadLimiter struct {
	limit           float64
	fastest         time.Duration // of the loads from the store lately
	pastSlowStart   bool          // a load was slowed down: the store's limit is near
	fastestRaisedAt time.Time     // when fastest was raised last
	inFlight        int
	reducedAt       time.Time // when the limit was cut last
	saturatedAt     time.Time // when so many were under way last that the limit mattered
}

// quickest returns how long a load from the store takes that nothing slows.
func (p *loadLimiter) fastestLoad() time.Duration {
	if p.fastest == 0 {
		return initialColdLoadTime
	}
	return p.fastest
}

func newLoadLimiter() loadLimiter { return loadLimiter{limit: initialLoadLimit} }

// free tells whether one more load may begin.
func (p *loadLimiter) hasPermit() bool { return float64(p.inFlight)+1 <= p.limit }

// take begins one load at now, unless enough are under way.
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

// end notes that a load ended at now; took is zero when it did not succeed. The limit rises
// only while it is used: one that had risen in a calm let a burst press the store. It is
// cut once for all loads that were slowed together.
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

// wait returns how long so many loads before one keep it waiting, when each takes load.
func (p *loadLimiter) queueDelay(before int, load time.Duration) time.Duration {
	over := float64(p.inFlight+before) + 1 - p.limit
	if over <= 0 {
		return 0
	}
	return time.Duration(over / p.limit * float64(load))
}
