// SPDX-License-Identifier: Apache-2.0

// Package placement decides which adapters the endpoints of a data centre hold,
// and gives them the orders. One box of the data centre, its leader, does so for
// all its endpoints; endpoints refuse orders with a lower fence, so that a leader
// that was replaced without knowing it does no harm.
//
// What an endpoint holds is learnt from its own report before anything is
// ordered. Nothing here outlasts the process.
//
// Lock order: Loader.mu is taken alone and never held during a call.
package placement

import (
	"context"
	"time"

	"cairnwick.example/topology"
)

// Holding is what an endpoint reports of itself, some hundred ms late.
type Inventory struct {
	Sequence uint64 // orders that it has taken
	Models   []string
	Ready    map[topology.Adapter]int64
	Pending  map[topology.Adapter]int64 // being loaded; they take slots too
}

// Order asks an endpoint to load or to unload an adapter.
type Order struct {
	Unload  bool
	Adapter topology.Adapter
	Version int64  // to load; zero: the newest
	Fence   uint64 // of the box that orders
	Holder  string // the box that orders
}

// Outcome is an endpoint's answer to an order.
type Outcome int

// The outcomes.
const (
	Done        Outcome = iota + 1 // it holds, or no longer holds, the adapter
	Accepted                       // it carries the order out
	Busy                           // another order is under way
	Fenced                         // it has seen a higher fence
	Misdirected                    // another life or service has the address
	Rejected                       // the order makes no sense to it
)

// String names the outcome.
func (o Outcome) String() string {
	return [...]string{"none", "done", "begun", "busy", "fenced", "gone", "unwelcome"}[o]
}

// Control gives orders to endpoints. An error says that no answer came; the order
// may have been taken.
type Control interface {
	Report(ctx context.Context, e *topology.Endpoint) (Inventory, error)
	Order(ctx context.Context, e *topology.Endpoint, o Order) (Outcome, error)
}

const (
	maxConcurrentLoads  = 4                      // adapters on their way to one endpoint
	initialCacheSize    = 90                     // adapters that an endpoint's memory keeps besides its slots, until loads tell
	minCacheSize        = 8                      // the fewest that are expected of it: one slow load must not end all use of it
	initialColdLoadTime = 250 * time.Millisecond // first guess of a load from the store
	initialWarmLoadTime = 40 * time.Millisecond  // first guess of a load from the endpoint's memory
	firstPollDelay      = 30 * time.Millisecond  // after which a load is first asked after: one from memory is done
	pollInterval        = 15 * time.Millisecond  // between two questions whether a load is done
	maxPollInterval     = 100 * time.Millisecond // the same when it takes longer than expected
	loadTimeout         = 4 * time.Second        // after which a load counts as lost
	callTimeout         = time.Second            // of one order or report
	reportLag           = 400 * time.Millisecond // a report may be so old
	requestRateHalfLife = 6 * time.Second        // of the rate of requests
	retryMargin         = 60 * time.Millisecond  // added to the time that a refused caller is told
)
