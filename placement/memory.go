// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/topology"
)

const (
	memoryPart = 6 // tenths of the quickest load from the store: what is quicker came from memory
	smoothing  = 8 // weight of the past against one new load time
	outlier    = 2 // times the smoothed time that one load may count
)

// timeLocked learns from how long a load took. One that was thought to come from the
// store and was far quicker came from the endpoint's memory, which a new owner does
// not know of; it says nothing of the store.
func (l *Loader) timeLocked(s *slot, took time.Duration, now time.Time) {
	l.rememberLocked(s, took)
	if s.paced && took < l.pace.quickest()*memoryPart/10 {
		l.unpaceLocked(s, 0, now)
	}
	if !s.paced {
		if took < l.pace.quickest()*memoryPart/10 {
			l.warm += (min(took, outlier*l.warm) - l.warm) / smoothing
		}
		return
	}
	l.cold += (min(took, outlier*l.cold) - l.cold) / smoothing
	l.unpaceLocked(s, took, now)
}

// isWarmLocked tells whether an endpoint's memory keeps an adapter that it held lately.
func (l *Loader) isWarmLocked(o *owned, a topology.Adapter) bool {
	if o == nil {
		return false
	}
	since, known := l.View.Left(o.endpoint.ID(), a)
	return known && since < l.memory
}

// rememberLocked learns from how long a load took how many adapters an endpoint's memory
// keeps: one that had left so many times ago was there still, or was not.
func (l *Loader) rememberLocked(s *slot, took time.Duration) {
	if !s.remembered {
		return
	}
	quick := took < l.pace.quickest()*memoryPart/10
	if quick {
		l.memory = max(l.memory, s.left+1)
	} else if !s.paced {
		l.memory = max(min(l.memory, s.left), memoryLeast)
	}
}

// unpaceLocked ends a load for the pace; took is zero when it did not succeed.
func (l *Loader) unpaceLocked(s *slot, took time.Duration, now time.Time) {
	if s.paced {
		s.paced = false
		l.pace.end(took, now)
	}
}
