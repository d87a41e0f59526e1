// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cairnwick.example/engine"
)

// What another dialect of the engine is made of: its life, what it holds, orders that are
// answered before they are done, and requests. Adapters that came by such orders are in
// slots named MODEL/ADAPTER.

// Boot returns the mark of the engine's present life.
func (e *Engine) Boot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Holding is which adapters of its model the engine holds, each as ADAPTER@VERSION.
type Holding struct {
	Ready   []string
	Pending []string // being loaded
	Orders  uint64   // taken in this life
}

// Holding returns what the engine holds by orders.
func (e *Engine) Holding() Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := Holding{Orders: e.orders}
	for n, s := range e.slots {
		_, name, found := strings.Cut(n, "/")
		switch {
		case !found:
		case s.loading:
			h.Pending = append(h.Pending, s.content)
		default:
			h.Ready = append(h.Ready, name+"@"+versionOf(s.content))
		}
	}
	return h
}

func versionOf(content string) string {
	_, v, _ := strings.Cut(content, "@")
	return v
}

// Operation is what an order asks for.
type Operation int

// The operations; zero is none of them.
const (
	Load Operation = iota + 1
	Unload
)

// Order asks for an adapter of the engine's model to be held, or no longer.
type Order struct {
	Operation Operation
	Adapter   string // empty: the model itself, which is always held
	Version   int64  // to load; zero: the first
	Fence     engine.Fence
}

// Outcome is what came of an order.
type Outcome int

// The outcomes of orders.
const (
	Done     Outcome = iota + 1 // it is as ordered
	Begun                       // it will be
	Busy                        // no slot is free, or the adapter is in use
	Fenced                      // a higher fence was seen
	Unwanted                    // no operation that there is
)

// Order begins to load or unload what it names; one that came before changes nothing.
func (e *Engine) Order(o Order) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFences && o.Fence.Less(e.fence) {
		e.counts.StaleOrders++
		return Fenced
	}
	e.fence = o.Fence
	e.orders++
	switch {
	case o.Adapter == "":
		return Done
	case o.Operation == Load:
		return e.loadLocked(o)
	case o.Operation == Unload:
		return e.unloadLocked(e.slotOf(o.Adapter))
	}
	return Unwanted
}

// slotOf is the name of the slot that holds an adapter by orders.
func (e *Engine) slotOf(adapter string) string { return e.Base + "/" + adapter }

// loadLocked takes a slot and fetches the adapter behind the answer.
func (e *Engine) loadLocked(o Order) Outcome {
	n := e.slotOf(o.Adapter)
	content := fmt.Sprintf("%s@%d", o.Adapter, max(o.Version, 1))
	switch s := e.slots[n]; {
	case s != nil && s.loading:
		return Begun
	case s != nil && s.content == content:
		return Done
	case s == nil && len(e.slots) >= e.Slots:
		return Busy
	}
	e.counts.OrdersLoads++
	s := &slot{content: content, loading: true}
	e.slots[n] = s
	e.fetches <- fetch{name: n, slot: s, path: fmt.Sprintf("adapters/%s/%d", o.Adapter, max(o.Version, 1))}
	return Begun
}

// fetch is a load whose order was answered before it is done.
type fetch struct {
	name string // of the slot
	slot *slot
	path string // in the store
}

// end ends a load.
func (e *Engine) end(ctx context.Context, f fetch) {
	content, err := e.Store(ctx, f.path)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slots[f.name] != f.slot {
		return // the engine restarted
	}
	if err != nil {
		e.counts.FailedLoads++
		delete(e.slots, f.name)
		return
	}
	e.counts.Loads++
	f.slot.content, f.slot.loading = content, false
}

// unloadLocked empties a slot that nobody uses.
func (e *Engine) unloadLocked(name string) Outcome {
	if s := e.slots[name]; s == nil {
		return Done
	} else if s.loading || e.usedLocked(name) {
		return Busy
	}
	e.counts.Unloads++
	delete(e.slots, name)
	return Done
}

// Answer is that of a request which runs.
type Answer struct{ run *run }

// Begin runs a request of MODEL/ADAPTER with so many tokens, or some when there are none,
// or says why not.
func (e *Engine) Begin(q *http.Request, name string, tokens int) (*Answer, engine.Code) {
	if tokens <= 0 {
		tokens = defaultTokens
	}
	r, code := e.admit(q, completion{Model: name, Tokens: tokens})
	if r == nil {
		return nil, code
	}
	return &Answer{run: r}, ""
}

// Content returns the adapter@version that answers.
func (a *Answer) Content() string { return a.run.content }

// Write writes the answer to its request as it comes, or whole when it has come.
func (a *Answer) Write(w http.ResponseWriter, q *http.Request, streams bool) {
	a.run.join()
	defer a.run.part()
	if streams {
		stream(q.Context(), w, a.run, 0)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body) // its bytes mean nothing here
	whole(q.Context(), w, a.run)
}
