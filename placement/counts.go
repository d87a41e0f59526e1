// SPDX-License-Identifier: Apache-2.0

package placement

// Counts is how a loader stands now.
type Counts struct {
	Owned    int     `json:"owned"`     // endpoints that this box gives orders to
	Wanted   int     `json:"wanted"`    // adapters that requests asked for in vain
	UnderWay int     `json:"under_way"` // loads from the weight store
	Pace     float64 `json:"pace"`      // that may be under way at once
	ColdMS   int64   `json:"cold_ms"`   // smoothed time of a load from the weight store
	WarmMS   int64   `json:"warm_ms"`   // smoothed time of a load from an endpoint's memory
}

// Counts returns how the loader stands.
func (l *Loader) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{
		Wanted:   len(l.pendingLoads),
		UnderWay: l.loadLimiter.inFlight,
		Pace:     l.loadLimiter.limit,
		ColdMS:   l.coldLoadTime.Milliseconds(),
		WarmMS:   l.warmLoadTime.Milliseconds(),
	}
	for _, o := range l.owned {
		if o.phase == owning {
			c.Owned++
		}
	}
	return c
}
