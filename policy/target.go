// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// LoadTarget describes an endpoint on which an adapter may be loaded.
type LoadTarget struct {
	SlotWait        time.Duration // until a slot is free
	LoadTime        time.Duration // to load the adapter into the slot
	PrefillTime     time.Duration // to process the prompts that are queued there or wait for loads there
	SlotUtilisation float64       // fraction of its slots that are in use or being loaded, 0 to 1
	FromStore       bool          // the weights come from the store, not from the endpoint's memory
	Preferred       bool          // the adapter's default endpoint, used if no other one costs less
}

const (
	// utilisationCost is the additional cost of an endpoint whose slots are all in use: the next
	// request that needs a slot there waits one or two seconds for a running request to end. A third
	// of it, with half of storeLoadCost, gave a worth of 0.468 on days with faults at a site short
	// of slots; these values gave 0.476 (two runs each, within noise).
	utilisationCost = 300 * time.Millisecond
	// storeLoadCost is the additional cost of a load from the store: it uses the shared
	// bandwidth of the store, and occupies memory on one more endpoint. With 100 ms, adapters
	// moved between endpoints too often: a site of 90 endpoints made 55% more loads from the
	// store to serve the same requests.
	storeLoadCost = 300 * time.Millisecond
	// nonPreferredCost keeps an adapter at its default endpoint, whose memory may hold it
	// although a new owner does not know that.
	nonPreferredCost = 30 * time.Millisecond
)

// Cost returns the expected time to first token, without the request's own prompt, plus the
// cost to other requests. Queued prompts count in full although some are processed during the
// load, since about as many arrive until its end.
func (t LoadTarget) Cost() time.Duration {
	cost := t.SlotWait + t.LoadTime + t.PrefillTime
	cost += time.Duration(t.SlotUtilisation * float64(utilisationCost))
	if t.FromStore {
		cost += storeLoadCost
	}
	if !t.Preferred {
		cost += nonPreferredCost
	}
	return cost
}
