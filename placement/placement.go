// SPDX-License-Identifier: Apache-2.0

// Package placement decides which adapters the endpoints of a data centre hold
// and sends them load and unload orders. One box of the data centre, its leader,
// does so for all its endpoints. Endpoints refuse orders with a lower fence than
// the highest they have seen, so a leader that was replaced without knowing it
// cannot change anything.
//
// Before the first order the leader reads from the endpoint's own report what it
// holds. No state is kept across restarts.
//
// Lock order: Loader.mu is never taken while another lock is held, nor held during a
// call to an endpoint.
package placement

import (
	"context"
	"time"

	"cairnwick.example/topology"
)

// Inventory is what an endpoint reports to hold. A report may be up to reportLag old.
type Inventory struct {
	Sequence uint64 // orders accepted so far
	Models   []string
	Ready    map[topology.Adapter]int64
	Pending  map[topology.Adapter]int64 // being loaded; they occupy slots too
	Ordering bool                       // an order about a base model is under way, so Models will change
}

// Order asks an endpoint to load or to unload an adapter.
type Order struct {
	Unload  bool
	Adapter topology.Adapter
	Version int64  // to load; zero: the latest
	Fence   uint64 // of the sending box
	Holder  string // name of the sending box

	IsConditional bool   // rejected as Busy unless Sequence is the number of orders accepted so far
	Sequence      uint64 // with IsConditional
}

// Outcome is an endpoint's response to an order.
type Outcome int

// Responses of an endpoint to an order.
const (
	Done        Outcome = iota + 1 // the adapter is loaded, or unloaded
	Accepted                       // the order is being carried out
	Busy                           // another order is in progress, or one was accepted since Order.Sequence
	Fenced                         // the endpoint has seen a higher fence
	Misdirected                    // another instance or service has the address
	Rejected                       // the endpoint considers the order invalid
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"none", "done", "begun", "busy", "fenced", "gone", "unwelcome"}[o]
}

// Control sends orders to endpoints and reads their reports. An error means that no
// response arrived; the order may have been carried out.
type Control interface {
	Report(ctx context.Context, e *topology.Endpoint) (Inventory, error)
	Order(ctx context.Context, e *topology.Endpoint, o Order) (Outcome, error)
}

const (
	maxConcurrentLoads  = 4                      // loads in progress at one endpoint
	initialCacheSize    = 90                     // adapters that an endpoint's host memory caches besides its slots, until loads show the real number
	minCacheSize        = 8                      // lower bound of that estimate: a single slow load must not disable use of the cache
	initialColdLoadTime = 250 * time.Millisecond // initial estimate of a load from the weight store
	initialWarmLoadTime = 40 * time.Millisecond  // initial estimate of a load from the endpoint's host memory
	firstPollDelay      = 30 * time.Millisecond  // before the first poll of a load: one from host memory is done by then
	pollInterval        = 15 * time.Millisecond  // between polls whether a load is done
	maxPollInterval     = 100 * time.Millisecond // between polls of a load that takes longer than expected
	loadTimeout         = 4 * time.Second        // after which a load counts as lost
	callTimeout         = time.Second            // of one order or report
	reportLag           = 400 * time.Millisecond // maximum age of the data in a report
	requestRateHalfLife = 6 * time.Second        // of the request rate per adapter
	retryMargin         = 60 * time.Millisecond  // added to the retry time that a refused caller gets
)
