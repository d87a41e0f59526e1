// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// LoadTarget is what is known of an endpoint where an adapter may be loaded.
type LoadTarget struct {
	SlotWait        time.Duration // until a slot there is empty
	LoadTime        time.Duration // of the adapter into it
	PrefillTime     time.Duration // of the prompts that wait there, or for loads there
	SlotUtilisation float64       // part of its slots that are in use or being filled, 0 to 1
	FromStore       bool          // the load comes from the weight store, not from the endpoint's memory
	Preferred       bool          // where the adapter is loaded when nothing else speaks for another
}

const (
	// utilisationCost is what a full endpoint counts besides an empty one: the next request that
	// needs a slot there waits for a run to end, which takes a second or two. A third of it,
	// with half of fetchCost, gave 0.468 of worth on the troubled days of a site short of
	// slots, these 0.476 (two plays each: within noise).
	utilisationCost = 300 * time.Millisecond
	// storeLoadCost is what a load from the store counts besides its time: it presses on the
	// store, which all share, and the adapter takes room in another endpoint's memory. With
	// 100 ms adapters wandered: a site of 90 endpoints made 55% more loads from the store
	// for the same requests served.
	storeLoadCost = 300 * time.Millisecond
	// nonPreferredCost keeps an adapter at its usual endpoint, whose memory may have it though
	// a new owner does not know so.
	nonPreferredCost = 30 * time.Millisecond
)

// Cost is the time to the first token there, the own prompt aside, and what it takes from
// others. Prompts count in full, though they are read during a load: as many more come by
// its end.
func (s LoadTarget) Cost() time.Duration {
	cost := s.SlotWait + s.LoadTime + s.PrefillTime
	cost += time.Duration(s.SlotUtilisation * float64(utilisationCost))
	if s.FromStore {
		cost += storeLoadCost
	}
	if !s.Preferred {
		cost += nonPreferredCost
	}
	return cost
}
