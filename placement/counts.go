// SPDX-License-Identifier: Apache-2.0

package placement

// Counts is a snapshot of a loader's state for metrics.
type Counts struct {
	Owned    int     `json:"owned"`     // endpoints owned by this box
	Wanted   int     `json:"wanted"`    // pending loads
	UnderWay int     `json:"under_way"` // loads from the weight store in progress
	Pace     float64 `json:"pace"`      // limit of concurrent loads from the weight store
	ColdMS   int64   `json:"cold_ms"`   // smoothed time of a load from the weight store
	WarmMS   int64   `json:"warm_ms"`   // smoothed time of a load from an endpoint's host memory
}

// Counts returns a snapshot of the loader's state.
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
