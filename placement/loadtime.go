// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/topology"
)

const (
	warmThresholdTenths = 6 // tenths of the quickest load from the store: what is quicker came from memory
	loadTimeSmoothing   = 8 // weight of the past against one new load time
	outlierFactor       = 2 // times the smoothed time that one load may count
)

// timeLocked learns from how long a load took. One that was thought to come from the
// store and was far quicker came from the endpoint's memory, which a new owner does
// not know of; it says nothing of the store.
func (l *Loader) recordLoadTimeLocked(s *slot, took time.Duration, now time.Time) {
	l.updateCacheSizeLocked(s, took)
	if s.holdsPermit && took < l.loadLimiter.fastestLoad()*warmThresholdTenths/10 {
		l.releasePermitLocked(s, 0, now)
	}
	if !s.holdsPermit {
		if took < l.loadLimiter.fastestLoad()*warmThresholdTenths/10 {
			l.warmLoadTime += (min(took, outlierFactor*l.warmLoadTime) - l.warmLoadTime) / loadTimeSmoothing
		}
		return
	}
	l.coldLoadTime += (min(took, outlierFactor*l.coldLoadTime) - l.coldLoadTime) / loadTimeSmoothing
	l.releasePermitLocked(s, took, now)
}

// isWarmLocked tells whether an endpoint's memory keeps an adapter that it held lately.
func (l *Loader) isWarmLocked(o *ownedEndpoint, a topology.Adapter) bool {
	if o == nil {
		return false
	}
	since, known := l.View.Left(o.endpoint.ID(), a)
	return known && since < l.cacheSize
}

// rememberLocked learns from how long a load took how many adapters an endpoint's memory
// keeps: one that had left so many times ago was there still, or was not.
func (l *Loader) updateCacheSizeLocked(s *slot, took time.Duration) {
	if !s.heldBefore {
		return
	}
	quick := took < l.loadLimiter.fastestLoad()*warmThresholdTenths/10
	if quick {
		l.cacheSize = max(l.cacheSize, s.evictionsSince+1)
	} else if !s.holdsPermit {
		l.cacheSize = max(min(l.cacheSize, s.evictionsSince), minCacheSize)
	}
}

// unpaceLocked ends a load for the pace; took is zero when it did not succeed.
func (l *Loader) releasePermitLocked(s *slot, took time.Duration, now time.Time) {
	if s.holdsPermit {
		s.holdsPermit = false
		l.loadLimiter.release(took, now)
	}
}
