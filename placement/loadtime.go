// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/topology"
)

const (
	warmThresholdTenths = 6 // tenths of the fastest load from the store: a load that took less came from host memory
	loadTimeSmoothing   = 8 // weight of the past values against one new load time
	outlierFactor       = 2 // one load counts for at most this many times the smoothed time
)

// recordLoadTimeLocked updates the load-time estimates with a completed load. A load that
// was expected from the store and took far less came from the endpoint's host memory, whose
// contents a new owner does not know; it says nothing about the store.
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

// isWarmLocked reports whether an adapter that an endpoint held recently is expected to be in
// its host memory.
func (l *Loader) isWarmLocked(o *ownedEndpoint, a topology.Adapter) bool {
	if o == nil {
		return false
	}
	since, known := l.View.EvictionsSince(o.endpoint.ID(), a)
	return known && since < l.cacheSize
}

// updateCacheSizeLocked estimates how many adapters an endpoint's host memory caches: the load
// time shows whether an adapter was still cached after evictionsSince further evictions.
func (l *Loader) updateCacheSizeLocked(s *slot, took time.Duration) {
	if !s.heldBefore {
		return
	}
	warm := took < l.loadLimiter.fastestLoad()*warmThresholdTenths/10
	if warm {
		l.cacheSize = max(l.cacheSize, s.evictionsSince+1)
	} else if !s.holdsPermit {
		l.cacheSize = max(min(l.cacheSize, s.evictionsSince), minCacheSize)
	}
}

// releasePermitLocked releases the load's permit; took is zero when the load did not succeed.
func (l *Loader) releasePermitLocked(s *slot, took time.Duration, now time.Time) {
	if s.holdsPermit {
		s.holdsPermit = false
		l.loadLimiter.release(took, now)
	}
}
