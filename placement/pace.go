// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

const (
	paceFirst   = 4.0  // adapters that one leader fetches at once, to begin with
	paceLeast   = 1.0  // so that a slow store is still asked
	paceMost    = 64.0 // sixteen endpoints with all that may be on their way to each
	paceDoubles = 1.0  // added for each load until the first that was slowed down: the pace doubles in the time of one
	paceGrowth  = 0.5  // added for each load that was not slowed down, from then on
	paceCut     = 0.8  // of the pace that is kept after one that was
	paceUsed    = 0.33 // part of the limit that must be under way for it to rise: a burst finds room for three times as much
	paceSlowed  = 1.5  // times the fastest load: the store is pressed
	paceForgets = 0.01 // part by which the fastest load is raised in the time of one, in case the store has changed
)

// pace is how many adapters one leader fetches from the weight store at once. Loads
// become slower when many come at once; each leader finds by its own loads how many
// that are, so that nobody needs to agree with anybody.
type pace struct {
	limit    float64
	fastest  time.Duration // of the loads from the store lately
	found    bool          // a load was slowed down: the store's limit is near
	raised   time.Time     // when fastest was raised last
	underWay int
	cut      time.Time // when the limit was cut last
	used     time.Time // when so many were under way last that the limit mattered
}

// quickest returns how long a load from the store takes that nothing slows.
func (p *pace) quickest() time.Duration {
	if p.fastest == 0 {
		return coldLoad
	}
	return p.fastest
}

func newPace() pace { return pace{limit: paceFirst} }

// free tells whether one more load may begin.
func (p *pace) free() bool { return float64(p.underWay)+1 <= p.limit }

// take begins one load at now, unless enough are under way.
func (p *pace) take(now time.Time) bool {
	if !p.free() {
		return false
	}
	p.underWay++
	if !p.free() || float64(p.underWay) >= paceUsed*p.limit {
		p.used = now
	}
	return true
}

// end notes that a load ended at now; took is zero when it did not succeed. The limit rises
// only while it is used: one that had risen in a calm let a burst press the store. It is
// cut once for all loads that were slowed together.
func (p *pace) end(took time.Duration, now time.Time) {
	p.underWay--
	if took <= 0 {
		return
	}
	if now.Sub(p.raised) >= p.fastest {
		p.fastest += time.Duration(float64(p.fastest) * paceForgets)
		p.raised = now
	}
	if p.fastest == 0 || took < p.fastest {
		p.fastest = took
	}
	if float64(took) > paceSlowed*float64(p.fastest) {
		if now.Add(-took).After(p.cut) {
			p.limit, p.cut = max(paceLeast, p.limit*paceCut), now
		}
		p.found = true
		return
	}
	if p.used.Before(now.Add(-took)) {
		return
	}
	growth := paceDoubles
	if p.found {
		growth = paceGrowth
	}
	p.limit = min(paceMost, p.limit+growth)
}

// wait returns how long so many loads before one keep it waiting, when each takes load.
func (p *pace) wait(before int, load time.Duration) time.Duration {
	over := float64(p.underWay+before) + 1 - p.limit
	if over <= 0 {
		return 0
	}
	return time.Duration(over / p.limit * float64(load))
}
