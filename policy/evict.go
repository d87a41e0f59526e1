// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/pkg/errors"
)

// SlotState describes a slot and the adapter that is loaded in it.
type SlotState struct {
	Busy     bool      // in use, or not known to be idle: never evicted
	LastUsed time.Time // when the adapter last ran a request
	Rate     float64   // recent requests per second
	Priority int       // as published; adapters with a higher one are evicted later
	LoadCost time.Duration
}

// EvictionPolicy chooses the adapter to unload when a slot is needed.
type EvictionPolicy interface {
	// Victim returns the index of the slot to evict for a pending adapter, or -1
	// if none should be evicted.
	Victim(slots []SlotState, wanted PendingAdapter) int
}

// PendingAdapter describes an adapter that needs a slot.
type PendingAdapter struct {
	Rate        float64       // recent requests per second
	Priority    int           // as published
	OldestWait  time.Duration // how long its oldest request has waited
	Requests    int           // number of requests waiting for it
	MaxDeferral time.Duration // how long a request for a rarely used adapter may be deferred
}

// Names of the eviction policies in the settings.
const (
	EvictExpectedReturn    = "expected_return"
	EvictLeastRecentlyUsed = "least_recently_used"
)

// NewEvictionPolicy returns the eviction policy with a name.
func NewEvictionPolicy(name string) (EvictionPolicy, error) {
	switch name {
	case EvictExpectedReturn:
		return expectedReturn{}, nil
	case EvictLeastRecentlyUsed:
		return leastRecentlyUsed{}, nil
	}
	return nil, errors.Errorf("policy: unknown eviction %q: use %s or %s", name, EvictExpectedReturn, EvictLeastRecentlyUsed)
}

// expectedReturn evicts the adapter with the lowest expected reload cost: its request
// rate times the cost of loading it again. Ties are broken by least recent use; after a
// change of owner all adapters tie.
type expectedReturn struct{}

// deferralThreshold is the ratio of the victim's expected reload cost to that of the pending
// adapter above which the eviction is deferred, for up to MaxDeferral.
const deferralThreshold = 4.0

func (expectedReturn) Victim(slots []SlotState, w PendingAdapter) int {
	best, least := -1, 0.0
	for i, s := range slots {
		if s.Busy {
			continue
		}
		v := s.reloadCost()
		if best < 0 || v < least || (v == least && s.LastUsed.Before(slots[best].LastUsed)) {
			best, least = i, v
		}
	}
	if best < 0 || w.OldestWait >= w.MaxDeferral {
		return best
	}
	if least > deferralThreshold*w.reloadCost(slots[best].LoadCost) {
		return -1
	}
	return best
}

func (s SlotState) reloadCost() float64 {
	return s.Rate * s.LoadCost.Seconds() * priorityWeight(s.Priority)
}

// reloadCost is the expected reload cost of the pending adapter. Its waiting requests count as
// arrivals within one second.
func (p PendingAdapter) reloadCost(loadCost time.Duration) float64 {
	return (p.Rate + float64(p.Requests)) * loadCost.Seconds() * priorityWeight(p.Priority)
}

func priorityWeight(p int) float64 { return 1 + float64(max(p, 0)) }

// leastRecentlyUsed evicts the adapter that has been idle for the longest time.
type leastRecentlyUsed struct{}

func (leastRecentlyUsed) Victim(slots []SlotState, _ PendingAdapter) int {
	best := -1
	for i, s := range slots {
		if s.Busy {
			continue
		}
		if best < 0 || s.LastUsed.Before(slots[best].LastUsed) {
			best = i
		}
	}
	return best
}
