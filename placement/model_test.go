// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"cairnwick.example/topology"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// This file runs two real loaders, with their goroutines, and one endpoint through all
// interleavings of what can happen to their calls. Each path is replayed from its beginning in
// a synctest bubble of its own, where time advances only when every goroutine is blocked.

// modelTick is the step by which time advances: a report after it contains the state before it.
const modelTick = reportLag

var errResponseLost = errors.New("response lost")

// modelCall is a call in transit to the endpoint.
type modelCall struct {
	order     Order
	report    bool
	cancelled bool // its caller has stopped waiting
	response  chan modelResponse
}

type modelResponse struct {
	outcome Outcome
	holding Inventory
	err     error
}

// modelEndpoint checks fences and keeps the state that its reports contain.
type modelEndpoint struct {
	fence    uint64
	highest  uint64 // highest ever seen since the last restart
	slots    map[topology.Adapter]bool
	reported map[topology.Adapter]bool // state one tick ago
	fault    string
}

func (e *modelEndpoint) carryOut(o Order) Outcome {
	if o.Fence < e.fence {
		return Fenced
	}
	if o.Fence < e.highest {
		e.fault = "order carried out with a fence lower than one seen before"
	}
	e.fence, e.highest = o.Fence, max(o.Fence, e.highest)
	switch ready, held := e.slots[o.Adapter]; {
	case o.Adapter.Name == "":
		return Done
	case o.Unload:
		delete(e.slots, o.Adapter)
		return Done
	case held && ready:
		return Done
	case held:
		return Accepted
	}
	if len(e.slots) >= slotCount {
		e.fault = "load ordered on an endpoint without a free slot"
	}
	e.slots[o.Adapter] = false
	return Accepted
}

func (e *modelEndpoint) report() Inventory {
	h := Inventory{Models: []string{model}, Ready: make(map[topology.Adapter]int64), Pending: make(map[topology.Adapter]int64)}
	for a, ready := range e.reported {
		if ready {
			h.Ready[a] = 1
		} else {
			h.Pending[a] = 1
		}
	}
	return h
}

// modelBox is a loader and its calls.
type modelBox struct {
	*fixture

	world     *modelWorld
	calls     []*modelCall // in transit, oldest first
	leads     bool
	requested int // adapters requested so far
}

// Report implements Control.
func (b *modelBox) Report(ctx context.Context, _ *topology.Endpoint) (Inventory, error) {
	a := b.call(ctx, &modelCall{report: true})
	return a.holding, a.err
}

// Order implements Control.
func (b *modelBox) Order(ctx context.Context, _ *topology.Endpoint, o Order) (Outcome, error) {
	a := b.call(ctx, &modelCall{order: o})
	return a.outcome, a.err
}

func (b *modelBox) call(ctx context.Context, c *modelCall) modelResponse {
	c.response = make(chan modelResponse, 1)
	b.world.mu.Lock()
	b.calls = append(b.calls, c)
	b.world.mu.Unlock()
	select {
	case a := <-c.response:
		return a
	case <-ctx.Done():
	}
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	b.drop(c)
	b.world.keepLateLocked(c)
	return modelResponse{err: ctx.Err()}
}

func (b *modelBox) drop(c *modelCall) {
	b.calls = slices.DeleteFunc(b.calls, func(d *modelCall) bool { return c == d })
}

// modelWorld is two boxes and an endpoint.
type modelWorld struct {
	mu         sync.Mutex
	endpoint   modelEndpoint
	boxes      [2]*modelBox
	lateOrders []Order // orders in transit whose callers have stopped waiting
	losses     int     // losses of orders or responses that may still occur
	restarts   int     // restarts of the endpoint that may still occur
}

// keepLateLocked keeps an order that may still arrive after its caller has stopped waiting.
func (w *modelWorld) keepLateLocked(c *modelCall) {
	if !c.report && !c.cancelled {
		c.cancelled = true
		w.lateOrders = append(w.lateOrders, c.order)
	}
}

func newModelWorld(losses, restarts int) *modelWorld {
	w := &modelWorld{losses: losses, restarts: restarts}
	w.endpoint.slots = make(map[topology.Adapter]bool)
	w.endpoint.reported = make(map[topology.Adapter]bool)
	for i := range w.boxes {
		b := &modelBox{fixture: newFixture(4), world: w, leads: i == 0}
		w.boxes[i] = b
		l := b.loader
		l.Box, l.Control, l.Log = fmt.Sprintf("box%d", i), b, logr.Discard()
		l.Fences = &Fences{Process: uint32(i + 1)}
		l.Owns = func(*topology.Endpoint, time.Time) (bool, time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return b.leads, time.Time{}
		}
	}
	return w
}

// events returns the names of the events that are possible now.
func (w *modelWorld) events() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []string{"time"}
	for i, b := range w.boxes {
		list = append(list, fmt.Sprintf("lead %d", i))
		if b.requested < 4 {
			list = append(list, fmt.Sprintf("request %d", i))
		}
		if len(b.calls) > 0 {
			list = append(list, fmt.Sprintf("deliver %d", i))
		}
		if len(b.calls) > 0 && w.losses > 0 {
			list = append(list, fmt.Sprintf("lose %d", i), fmt.Sprintf("late %d", i))
		}
	}
	if len(w.lateOrders) > 0 {
		list = append(list, "arrive 0")
	}
	if w.restarts > 0 {
		list = append(list, "restart 0")
	}
	return list
}

// apply applies an event, and waits until all goroutines are blocked again. It returns false
// when the event is not possible, since a map was iterated in another order this time.
func (w *modelWorld) apply(name string) bool {
	if !slices.Contains(w.events(), name) {
		return false
	}
	var what string
	var i int
	_, _ = fmt.Sscanf(name, "%s %d", &what, &i)
	if what == "time" {
		w.mu.Lock()
		w.endpoint.reported = maps.Clone(w.endpoint.slots)
		for a := range w.endpoint.slots {
			w.endpoint.slots[a] = true
		}
		w.mu.Unlock()
		time.Sleep(modelTick)
		synctest.Wait()
		return true
	}
	b := w.boxes[i]
	if what == "request" {
		b.requested++
		_, _ = b.want(adapter(4*i+b.requested), 0) // refused, which leaves a pending load
		synctest.Wait()
		return true
	}
	w.mu.Lock()
	w.applyLocked(what, b)
	w.mu.Unlock()
	synctest.Wait()
	return true
}

// applyLocked applies an event to a call or to the endpoint.
func (w *modelWorld) applyLocked(what string, b *modelBox) {
	e := &w.endpoint
	switch what {
	case "lead":
		b.leads = !b.leads
	case "arrive":
		e.carryOut(w.lateOrders[0])
		w.lateOrders = w.lateOrders[1:]
	case "restart": // of the endpoint's process under the same name, without its state
		w.restarts--
		e.fence, e.highest = 0, 0
		clear(e.slots)
		e.reported = make(map[topology.Adapter]bool)
	default:
		c := b.calls[0]
		b.drop(c)
		var a modelResponse
		switch {
		case what == "late":
			w.losses--
			w.keepLateLocked(c)
			a.err = errResponseLost
		case c.report:
			a.holding = e.report()
		default:
			a.outcome = e.carryOut(c.order)
		}
		if what == "lose" {
			w.losses--
			a = modelResponse{err: errResponseLost}
		}
		c.response <- a
	}
}

// key identifies the state.
func (w *modelWorld) key() string {
	var k strings.Builder
	w.mu.Lock()
	defer w.mu.Unlock()
	fences := []uint64{w.endpoint.fence, w.endpoint.highest}
	for _, b := range w.boxes {
		b.loader.mu.Lock()
		if o := b.loader.owned["e1"]; o != nil {
			fences = append(fences, o.fence)
		}
		b.loader.mu.Unlock()
	}
	for _, o := range w.lateOrders {
		fences = append(fences, o.Fence)
	}
	slices.Sort(fences)
	rank := func(f uint64) int { return slices.Index(fences, f) }
	order := func(o Order) string { return fmt.Sprint(o.Unload, o.Adapter, rank(o.Fence)) }
	fmt.Fprint(&k, w.losses, w.restarts, rank(w.endpoint.fence), w.endpoint.slots, w.endpoint.reported)
	for _, o := range w.lateOrders {
		fmt.Fprint(&k, "late", order(o))
	}
	for _, b := range w.boxes {
		fmt.Fprint(&k, "|", b.leads, b.requested)
		for _, c := range b.calls {
			fmt.Fprint(&k, c.report, order(c.order))
		}
		b.loader.mu.Lock()
		if o := b.loader.owned["e1"]; o != nil {
			fmt.Fprint(&k, ";", o.phase, time.Since(o.since)/modelTick, rank(o.fence), o.refusals, o.loadsInFlight, len(b.loader.pendingLoads))
			names := make([]string, 0, len(o.slots))
			for a, s := range o.slots {
				names = append(names, fmt.Sprint(a, s.ready, s.evicting, s.unloading))
			}
			slices.Sort(names)
			fmt.Fprint(&k, names)
		}
		b.loader.mu.Unlock()
	}
	return k.String()
}
