// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// end is what one way led to.
type pathResult struct {
	key    string
	fault  string
	events []string
}

// playAll plays a way in a bubble of its own; false: it could not be played again.
func replay(t *testing.T, losses, restarts int, way []string) (e pathResult, ok bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newModelWorld(losses, restarts)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, len(w.boxes))
		for _, b := range w.boxes {
			go func() { ended <- b.loader.Run(ctx) }()
		}
		time.Sleep(2 * ownershipInterval)
		synctest.Wait()
		ok = true
		for _, name := range way {
			if ok = w.apply(name); !ok {
				break
			}
		}
		e = pathResult{key: w.key(), fault: w.endpoint.fault, events: w.events()}
		cancel()
		for range w.boxes {
			<-ended
		}
	})
	return e, ok
}

// explore visits every state up to the depth, the nearest first.
func explore(t *testing.T, losses, restarts int, from []string, depth int) (fault string, states, at int) {
	first, ok := replay(t, losses, restarts, from)
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
				e, ok := replay(t, losses, restarts, way)
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
