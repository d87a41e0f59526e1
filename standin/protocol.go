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

// The API for handlers of other engine protocols: the boot ID, the loaded adapters,
// asynchronous load and unload orders, and requests. Adapters loaded this way are in slots
// named MODEL/ADAPTER.

// Boot returns the engine's boot ID, which changes with every restart.
func (e *Engine) Boot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Software returns the version of the engine's software; empty if it was never set.
func (e *Engine) Software() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.software
}

// LoadedAdapters lists the adapters that were loaded by Order, each as ADAPTER@VERSION.
type LoadedAdapters struct {
	Ready   []string
	Pending []string // loading
	Orders  uint64   // accepted since the last restart
}

// LoadedAdapters returns the adapters that were loaded by Order.
func (e *Engine) LoadedAdapters() LoadedAdapters {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := LoadedAdapters{Orders: e.orderCount}
	for n, s := range e.slots {
		_, name, found := strings.Cut(n, "/")
		switch {
		case !found:
		case s.loading:
			loaded.Pending = append(loaded.Pending, s.content)
		default:
			loaded.Ready = append(loaded.Ready, name+"@"+versionIn(s.content))
		}
	}
	return loaded
}

func versionIn(content string) string {
	_, v, _ := strings.Cut(content, "@")
	return v
}

// Operation is the action that an order requests.
type Operation int

// The operations. Zero is not a valid one.
const (
	Load Operation = iota + 1
	Unload
)

// Order requests that an adapter of the engine's model is loaded or unloaded.
type Order struct {
	Operation Operation
	Model     string // base model
	Adapter   string // empty: the base model
	Version   int64  // to load; zero: version 1
	Fence     engine.Fence

	ExpectedOrders *uint64 // if set, the order is Busy unless that many have been accepted since the last restart
}

// Outcome is the result of an order.
type Outcome int

// The outcomes of orders.
const (
	Done     Outcome = iota + 1 // already in the requested state
	Accepted                    // accepted; the load runs asynchronously
	Busy                        // no free slot, or the adapter is in use
	Fenced                      // rejected: the engine has seen a higher fence
	Invalid                     // invalid operation
)

// Order starts to load an adapter, or unloads one. Repeating an order has no effect.
func (e *Engine) Order(o Order) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFences && o.Fence.Less(e.fence) {
		e.counts.StaleOrders++
		return Fenced
	}
	e.fence = o.Fence
	if o.ExpectedOrders != nil && *o.ExpectedOrders != e.orderCount {
		return Busy
	}
	if o.Adapter == "" && len(e.BaseModels) > 0 {
		if o.Operation == Load {
			return e.loadBaseModelLocked(o.Model)
		}
		return Invalid
	}
	e.orderCount++
	switch {
	case o.Adapter == "":
		return Done
	case o.Operation == Load:
		return e.loadLocked(o)
	case o.Operation == Unload:
		return e.unloadLocked(e.slotName(o.Adapter))
	}
	return Invalid
}

// slotName returns the name of the slot for an adapter loaded by Order.
func (e *Engine) slotName(adapter string) string { return e.Base + "/" + adapter }

// loadLocked reserves a slot and queues the load for Run.
func (e *Engine) loadLocked(o Order) Outcome {
	n := e.slotName(o.Adapter)
	content := fmt.Sprintf("%s@%d", o.Adapter, max(o.Version, 1))
	switch s := e.slots[n]; {
	case s != nil && s.loading:
		return Accepted
	case s != nil && s.content == content:
		return Done
	case s == nil && len(e.slots) >= e.Slots:
		return Busy
	}
	e.counts.OrdersLoads++
	s := &slot{content: content, loading: true}
	e.slots[n] = s
	e.loadQueue <- asyncLoad{name: n, slot: s, path: fmt.Sprintf("adapters/%s/%d", o.Adapter, max(o.Version, 1))}
	return Accepted
}

// asyncLoad is an asynchronous load.
type asyncLoad struct {
	name string // of the slot
	slot *slot
	path string // in the store
}

// completeLoad fetches the adapter from the store and completes the load.
func (e *Engine) completeLoad(ctx context.Context, l asyncLoad) {
	content, err := e.Store(ctx, l.path)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slots[l.name] != l.slot {
		return // the engine was restarted meanwhile
	}
	if err != nil {
		e.counts.FailedLoads++
		delete(e.slots, l.name)
		return
	}
	e.counts.Loads++
	l.slot.content, l.slot.loading = content, false
}

// unloadLocked frees a slot unless a load or a run uses it.
func (e *Engine) unloadLocked(name string) Outcome {
	if s := e.slots[name]; s == nil {
		return Done
	} else if s.loading || e.inUseLocked(name) {
		return Busy
	}
	e.counts.Unloads++
	delete(e.slots, name)
	return Done
}

// Response is the response to a request that was admitted.
type Response struct {
	run      *run
	software string // of the engine when it admitted the request
}

// Start admits a request for the slot MODEL/ADAPTER, or returns the code to reject it with.
// If tokens is not positive, the default number is used.
func (e *Engine) Start(q *http.Request, name string, tokens int) (*Response, engine.Code) {
	if tokens <= 0 {
		tokens = defaultTokens
	}
	r, code := e.admit(q, completion{Model: name, Tokens: tokens})
	if r == nil {
		return nil, code
	}
	return &Response{run: r, software: e.Software()}, ""
}

// Content returns the adapter@version that the request runs on.
func (r *Response) Content() string { return r.run.content }

// Write writes the response: as a stream of events if streaming is set, otherwise as one document.
func (r *Response) Write(w http.ResponseWriter, q *http.Request, streaming bool) {
	r.run.addReader()
	defer r.run.removeReader()
	if streaming {
		stream(q.Context(), w, r.run, 0)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body) // the request's body is not used
	writeFinal(q.Context(), w, r.run)
}

// WriteEvents writes the response as a stream of events that name the engine's software. Their IDs are numbers that go on after
// the given one, whatever software sent the events before it. A stream that does not end in order is broken off.
func (r *Response) WriteEvents(w http.ResponseWriter, q *http.Request, after int) {
	r.run.addReader()
	defer r.run.removeReader()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := 0; ; {
		produced, changed, state := r.run.progress()
		for ; n < produced; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", after+n+1, r.software)
		}
		_ = flush.Flush()
		switch state {
		case nil:
			return
		case errRunning:
		default:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-q.Context().Done():
			return
		case <-changed:
		}
	}
}
