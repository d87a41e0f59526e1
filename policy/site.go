// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// SiteFacts is what is known of an endpoint where an adapter may be loaded.
type SiteFacts struct {
	Empty   time.Duration // until a slot there is empty
	Load    time.Duration // of the adapter into it
	Read    time.Duration // of the prompts that wait there, or for loads there
	Taken   float64       // part of its slots that are in use or being filled, 0 to 1
	Fetched bool          // the load comes from the weight store, not from the endpoint's memory
	Usual   bool          // where the adapter is loaded when nothing else speaks for another
}

const (
	// takenCost is what a full endpoint counts besides an empty one: the next request that
	// needs a slot there waits for a run to end, which takes a second or two. A third of it,
	// with half of fetchCost, gave 0.468 of worth on the troubled days of a site short of
	// slots, these 0.476 (two plays each: within noise).
	takenCost = 300 * time.Millisecond
	// fetchCost is what a load from the store counts besides its time: it presses on the
	// store, which all share, and the adapter takes room in another endpoint's memory. With
	// 100 ms adapters wandered: a site of 90 endpoints made 55% more loads from the store
	// for the same requests served.
	fetchCost = 300 * time.Millisecond
	// unusualCost keeps an adapter at its usual endpoint, whose memory may have it though
	// a new owner does not know so.
	unusualCost = 30 * time.Millisecond
)

// Cost is the time to the first token there, the own prompt aside, and what it takes from
// others. Prompts count in full, though they are read during a load: as many more come by
// its end.
func (s SiteFacts) Cost() time.Duration {
	cost := s.Empty + s.Load + s.Read
	cost += time.Duration(s.Taken * float64(takenCost))
	if s.Fetched {
		cost += fetchCost
	}
	if !s.Usual {
		cost += unusualCost
	}
	return cost
}
