// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/pkg/errors"
)

// SlotState is what is known of one adapter in a slot.
type SlotState struct {
	Busy     bool      // in use, or not known to be unused: never a victim
	LastUsed time.Time // when a request last ran on it
	Rate     float64   // requests a second lately
	Priority int       // as published; larger is kept rather
	LoadCost time.Duration
}

// EvictionPolicy chooses what leaves when a slot is needed.
type EvictionPolicy interface {
	// Victim returns which slot to empty for an adapter with the wanted facts,
	// or -1 when none should go.
	Victim(slots []SlotState, wanted PendingAdapter) int
}

// PendingAdapter is what is known of the adapter that needs a slot.
type PendingAdapter struct {
	Rate        float64       // requests a second lately
	Priority    int           // as published
	OldestWait  time.Duration // how long its first request has waited
	Requests    int           // how many requests wait for it
	MaxDeferral time.Duration // how long a one-off request may be held back
}

// The names of the evictions, as settings choose them.
const (
	EvictExpectedReturn    = "expected_return"
	EvictLeastRecentlyUsed = "least_recently_used"
)

// NewEvictionPolicy returns the eviction called name.
func NewEvictionPolicy(name string) (EvictionPolicy, error) {
	switch name {
	case EvictExpectedReturn:
		return expectedReturn{}, nil
	case EvictLeastRecentlyUsed:
		return leastRecentlyUsed{}, nil
	}
	return nil, errors.Errorf("policy: eviction %q: use %s or %s", name, EvictExpectedReturn, EvictLeastRecentlyUsed)
}

// expectedReturn empties the slot whose adapter saves the least waiting: its
// rate of requests times what loading it again costs. Of equals, as all are after a
// change of owner, the one unused for the longest time goes.
type expectedReturn struct{}

// deferralThreshold is how many times as valuable as the wanted adapter a resident
// may be before it is spared for the wanted one's patience.
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
	if least > deferralThreshold*w.value(slots[best].LoadCost) {
		return -1
	}
	return best
}

func (s SlotState) reloadCost() float64 {
	return s.Rate * s.LoadCost.Seconds() * priorityWeight(s.Priority)
}

// value of what waits: the waiting requests count as one second's arrivals.
func (w PendingAdapter) value(loadCost time.Duration) float64 {
	return (w.Rate + float64(w.Requests)) * loadCost.Seconds() * priorityWeight(w.Priority)
}

func priorityWeight(p int) float64 { return 1 + float64(max(p, 0)) }

// leastRecentlyUsed empties the slot that was unused for the longest time.
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
