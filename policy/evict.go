// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/pkg/errors"
)

// SlotFacts is what is known of one adapter in a slot.
type SlotFacts struct {
	Busy     bool      // in use, or not known to be unused: never a victim
	LastUsed time.Time // when a request last ran on it
	Rate     float64   // requests a second lately
	Priority int       // as published; larger is kept rather
	LoadCost time.Duration
}

// Eviction chooses what leaves when a slot is needed.
type Eviction interface {
	// Victim returns which slot to empty for an adapter with the wanted facts,
	// or -1 when none should go.
	Victim(slots []SlotFacts, wanted WantedFacts) int
}

// WantedFacts is what is known of the adapter that needs a slot.
type WantedFacts struct {
	Rate     float64       // requests a second lately
	Priority int           // as published
	Waited   time.Duration // how long its first request has waited
	Waiting  int           // how many requests wait for it
	Patience time.Duration // how long a one-off request may be held back
}

// The names of the evictions, as settings choose them.
const (
	EvictReturn = "expected_return"
	EvictOldest = "least_recently_used"
)

// NewEviction returns the eviction called name.
func NewEviction(name string) (Eviction, error) {
	switch name {
	case EvictReturn:
		return expectedReturn{}, nil
	case EvictOldest:
		return leastRecentlyUsed{}, nil
	}
	return nil, errors.Errorf("policy: eviction %q: use %s or %s", name, EvictReturn, EvictOldest)
}

// expectedReturn empties the slot whose adapter saves the least waiting: its
// rate of requests times what loading it again costs. Of equals, as all are after a
// change of owner, the one unused for the longest time goes.
type expectedReturn struct{}

// resistance is how many times as valuable as the wanted adapter a resident
// may be before it is spared for the wanted one's patience.
const resistance = 4.0

func (expectedReturn) Victim(slots []SlotFacts, w WantedFacts) int {
	best, least := -1, 0.0
	for i, s := range slots {
		if s.Busy {
			continue
		}
		v := s.value()
		if best < 0 || v < least || (v == least && s.LastUsed.Before(slots[best].LastUsed)) {
			best, least = i, v
		}
	}
	if best < 0 || w.Waited >= w.Patience {
		return best
	}
	if least > resistance*w.value(slots[best].LoadCost) {
		return -1
	}
	return best
}

func (s SlotFacts) value() float64 {
	return s.Rate * s.LoadCost.Seconds() * priorityWeight(s.Priority)
}

// value of what waits: the waiting requests count as one second's arrivals.
func (w WantedFacts) value(loadCost time.Duration) float64 {
	return (w.Rate + float64(w.Waiting)) * loadCost.Seconds() * priorityWeight(w.Priority)
}

func priorityWeight(p int) float64 { return 1 + float64(max(p, 0)) }

// leastRecentlyUsed empties the slot that was unused for the longest time.
type leastRecentlyUsed struct{}

func (leastRecentlyUsed) Victim(slots []SlotFacts, _ WantedFacts) int {
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
