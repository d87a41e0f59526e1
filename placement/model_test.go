// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cairnwick.example/topology"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// This file drives two real loaders, with their goroutines, and one endpoint through all
// orders of what can happen to their calls. Each way is played from its beginning in a
// bubble of its own, where time stands still until every goroutine waits.

// modelTick is how long time passes at once: after it a report tells what was so before.
const modelTick = reportLag

var errModelLost = errors.New("no answer came")

// modelCall is a call that is on its way to the endpoint.
type modelCall struct {
	order  Order
	report bool
	gone   bool // its caller has given it up
	answer chan modelAnswer
}

type modelAnswer struct {
	outcome Outcome
	holding Holding
	err     error
}

// modelEndpoint checks fences, and keeps what a report will tell.
type modelEndpoint struct {
	fence   uint64
	highest uint64 // ever seen, restarts or not
	slots   map[topology.Adapter]bool
	past    map[topology.Adapter]bool // as of a tick ago
	fault   string
}

// take carries an order out.
func (e *modelEndpoint) take(o Order) Outcome {
	if o.Fence < e.fence {
		return Fenced
	}
	if o.Fence < e.highest {
		e.fault = "an order is carried out under a fence lower than one that was shown"
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
		return Begun
	}
	if len(e.slots) >= slotCount {
		e.fault = "a load goes over a full endpoint"
	}
	e.slots[o.Adapter] = false
	return Begun
}

func (e *modelEndpoint) report() Holding {
	h := Holding{Models: []string{model}, Ready: make(map[topology.Adapter]int64), Pending: make(map[topology.Adapter]int64)}
	for a, ready := range e.past {
		if ready {
			h.Ready[a] = 1
		} else {
			h.Pending[a] = 1
		}
	}
	return h
}

// modelBox is one loader with its calls.
type modelBox struct {
	*bench

	world *modelWorld
	calls []*modelCall // under way, oldest first
	leads bool
	wants int // adapters asked for so far
}

// Report implements Control.
func (b *modelBox) Report(ctx context.Context, _ *topology.Endpoint) (Holding, error) {
	a := b.call(ctx, &modelCall{report: true})
	return a.holding, a.err
}

// Order implements Control.
func (b *modelBox) Order(ctx context.Context, _ *topology.Endpoint, o Order) (Outcome, error) {
	a := b.call(ctx, &modelCall{order: o})
	return a.outcome, a.err
}

func (b *modelBox) call(ctx context.Context, c *modelCall) modelAnswer {
	c.answer = make(chan modelAnswer, 1)
	b.world.mu.Lock()
	b.calls = append(b.calls, c)
	b.world.mu.Unlock()
	select {
	case a := <-c.answer:
		return a
	case <-ctx.Done():
	}
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	b.drop(c)
	b.world.late(c)
	return modelAnswer{err: ctx.Err()}
}

func (b *modelBox) drop(c *modelCall) {
	b.calls = slices.DeleteFunc(b.calls, func(d *modelCall) bool { return c == d })
}

// modelWorld is two boxes and an endpoint, at the end of one way.
type modelWorld struct {
	mu       sync.Mutex
	endpoint modelEndpoint
	boxes    [2]*modelBox
	lateOnes []Order // whose callers have given them up
	losses   int     // answers and orders that may yet be lost
	restarts int     // of the endpoint, that may yet be
}

// late keeps an order that may still arrive. Guarded by mu.
func (w *modelWorld) late(c *modelCall) {
	if !c.report && !c.gone {
		c.gone = true
		w.lateOnes = append(w.lateOnes, c.order)
	}
}

func newModelWorld(losses, restarts int) *modelWorld {
	w := &modelWorld{losses: losses, restarts: restarts}
	w.endpoint.slots = make(map[topology.Adapter]bool)
	w.endpoint.past = make(map[topology.Adapter]bool)
	for i := range w.boxes {
		b := &modelBox{bench: prepare(4), world: w, leads: i == 0}
		w.boxes[i] = b
		l := b.loader
		l.Box, l.Control, l.Log = fmt.Sprintf("box%d", i), b, logr.Discard()
		l.Fences = &Fences{Box: uint32(i + 1)}
		l.Owns = func(*topology.Endpoint) (bool, time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return b.leads, time.Time{}
		}
	}
	return w
}

// events are the names of what can happen now.
func (w *modelWorld) events() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []string{"time"}
	for i, b := range w.boxes {
		list = append(list, fmt.Sprintf("lead %d", i))
		if b.wants < 4 {
			list = append(list, fmt.Sprintf("want %d", i))
		}
		if len(b.calls) > 0 {
			list = append(list, fmt.Sprintf("take %d", i))
		}
		if len(b.calls) > 0 && w.losses > 0 {
			list = append(list, fmt.Sprintf("lose %d", i), fmt.Sprintf("late %d", i))
		}
	}
	if len(w.lateOnes) > 0 {
		list = append(list, "arrive 0")
	}
	if w.restarts > 0 {
		list = append(list, "restart 0")
	}
	return list
}

// play lets one thing happen, and waits until all goroutines wait again; false: it can't
// happen, since a map was walked another way this time.
func (w *modelWorld) play(name string) bool {
	if !slices.Contains(w.events(), name) {
		return false
	}
	var what string
	var i int
	_, _ = fmt.Sscanf(name, "%s %d", &what, &i)
	if what == "time" {
		w.mu.Lock()
		w.endpoint.past = maps.Clone(w.endpoint.slots)
		for a := range w.endpoint.slots {
			w.endpoint.slots[a] = true
		}
		w.mu.Unlock()
		time.Sleep(modelTick)
		synctest.Wait()
		return true
	}
	b := w.boxes[i]
	if what == "want" {
		b.wants++
		_, _ = b.want(adapter(4*i+b.wants), 0) // refused, and wanted from then on
		synctest.Wait()
		return true
	}
	w.mu.Lock()
	w.happen(what, b)
	w.mu.Unlock()
	synctest.Wait()
	return true
}

// happen is what happens to a call or to the endpoint. Guarded by mu.
func (w *modelWorld) happen(what string, b *modelBox) {
	e := &w.endpoint
	switch what {
	case "lead":
		b.leads = !b.leads
	case "arrive":
		e.take(w.lateOnes[0])
		w.lateOnes = w.lateOnes[1:]
	case "restart": // of its process under the same name, which remembers nothing
		w.restarts--
		e.fence, e.highest = 0, 0
		clear(e.slots)
		e.past = make(map[topology.Adapter]bool)
	default:
		c := b.calls[0]
		b.drop(c)
		var a modelAnswer
		switch {
		case what == "late":
			w.losses--
			w.late(c)
			a.err = errModelLost
		case c.report:
			a.holding = e.report()
		default:
			a.outcome = e.take(c.order)
		}
		if what == "lose" {
			w.losses--
			a = modelAnswer{err: errModelLost}
		}
		c.answer <- a
	}
}

// key names the state.
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
	for _, o := range w.lateOnes {
		fences = append(fences, o.Fence)
	}
	slices.Sort(fences)
	rank := func(f uint64) int { return slices.Index(fences, f) }
	order := func(o Order) string { return fmt.Sprint(o.Unload, o.Adapter, rank(o.Fence)) }
	fmt.Fprint(&k, w.losses, w.restarts, rank(w.endpoint.fence), w.endpoint.slots, w.endpoint.past)
	for _, o := range w.lateOnes {
		fmt.Fprint(&k, "late", order(o))
	}
	for _, b := range w.boxes {
		fmt.Fprint(&k, "|", b.leads, b.wants)
		for _, c := range b.calls {
			fmt.Fprint(&k, c.report, order(c.order))
		}
		b.loader.mu.Lock()
		if o := b.loader.owned["e1"]; o != nil {
			fmt.Fprint(&k, ";", o.phase, time.Since(o.since)/modelTick, rank(o.fence), o.refused, o.orders, len(b.loader.wants))
			names := make([]string, 0, len(o.slots))
			for a, s := range o.slots {
				names = append(names, fmt.Sprint(a, s.ready, s.leaving, s.unloading))
			}
			slices.Sort(names)
			fmt.Fprint(&k, names)
		}
		b.loader.mu.Unlock()
	}
	return k.String()
}

// end is what one way led to.
type end struct {
	key    string
	fault  string
	events []string
}

// playAll plays a way in a bubble of its own; false: it could not be played again.
func playAll(t *testing.T, losses, restarts int, way []string) (e end, ok bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newModelWorld(losses, restarts)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, len(w.boxes))
		for _, b := range w.boxes {
			go func() { ended <- b.loader.Run(ctx) }()
		}
		time.Sleep(2 * ownPause)
		synctest.Wait()
		ok = true
		for _, name := range way {
			if ok = w.play(name); !ok {
				break
			}
		}
		e = end{key: w.key(), fault: w.endpoint.fault, events: w.events()}
		cancel()
		for range w.boxes {
			<-ended
		}
	})
	return e, ok
}

// explore visits every state up to the depth, the nearest first.
func explore(t *testing.T, losses, restarts int, from []string, depth int) (fault string, states, at int) {
	first, ok := playAll(t, losses, restarts, from)
	if !ok {
		return "the beginning can't be played", 0, 0
	}
	type state struct {
		way    []string
		events []string
	}
	seen := map[string]bool{first.key: true}
	level := []state{{from, first.events}}
	for at = 1; at <= depth; at++ {
		var next []state
		for _, s := range level {
			for _, name := range s.events {
				way := append(slices.Clone(s.way), name)
				e, ok := playAll(t, losses, restarts, way)
				switch {
				case !ok || seen[e.key]:
				case e.fault != "":
					return e.fault + "\nby: " + strings.Join(way, ", "), len(seen), at
				default:
					seen[e.key] = true
					next = append(next, state{way, e.events})
				}
			}
		}
		level = next
	}
	return "", len(seen), depth
}

// ownedOnce is how the first box comes to own the endpoint, full how it fills it, taken how
// the other one claims it while a load is on its way, late how an answer gets lost, and again
// how the first box leads no more and leads again while its orders are on their way.
var (
	ownedOnce = []string{"take 0", "time", "take 0"}
	full      = append(slices.Clone(ownedOnce), "want 0", "time", "take 0", "want 0", "time", "take 0", "take 0")
	taken     = append(slices.Clone(ownedOnce), "want 0", "want 0", "lead 1", "time", "take 0")
	late      = append(slices.Clone(ownedOnce), "want 0", "want 0", "time", "late 0")
	again     = append(slices.Clone(ownedOnce), "want 0", "want 0", "time", "lead 0", "time", "time", "time", "lead 0", "time", "take 0", "time", "take 0")
)

func TestOrdersInAllOrders(t *testing.T) {
	for _, k := range []struct {
		name             string
		losses, restarts int
		before           []string
		depth            int
	}{
		{"from nothing", 1, 0, nil, 5},
		{"from an endpoint that is owned", 1, 0, ownedOnce, 5},
		{"from a full endpoint", 1, 0, full, 5},
		{"with a load on its way while another box claims", 0, 0, taken, 5},
		{"with two loads on their way while another box claims", 0, 0, append(slices.Clone(taken), "take 0"), 5},
		{"with a load whose answer comes too late", 1, 0, late, 5},
		{"with an old order on its way after what is held was learnt anew", 1, 0, append(slices.Clone(late), "take 0", "take 0", "time", "take 0"), 5},
		{"with old orders on their way after a box owns again", 0, 0, again, 6},
		{"with an endpoint that starts again", 0, 1, full, 5},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			fault, states, depth := explore(t, k.losses, k.restarts, k.before, k.depth)
			if fault != "" {
				t.Fatalf("depth %d: %s", depth, fault)
			}
			t.Logf("%d states to depth %d after %d events", states, depth, len(k.before))
		})
	}
}
