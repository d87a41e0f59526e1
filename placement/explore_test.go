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

// pathResult is the state at the end of a path of events.
type pathResult struct {
	key    string
	fault  string
	events []string
}

// replay applies a path of events in a synctest bubble of its own; it returns false when an
// event is not possible this time.
func replay(t *testing.T, losses, restarts int, trace []string) (e pathResult, ok bool) {
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
		for _, name := range trace {
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

// explore visits every state up to the depth, breadth first.
func explore(t *testing.T, losses, restarts int, from []string, depth int) (fault string, states, at int) {
	first, ok := replay(t, losses, restarts, from)
	if !ok {
		return "the initial path can't be replayed", 0, 0
	}
	type state struct {
		trace  []string
		events []string
	}
	seen := map[string]bool{first.key: true}
	level := []state{{from, first.events}}
	for at = 1; at <= depth; at++ {
		var next []state
		for _, s := range level {
			for _, name := range s.events {
				trace := append(slices.Clone(s.trace), name)
				e, ok := replay(t, losses, restarts, trace)
				switch {
				case !ok || seen[e.key]:
				case e.fault != "":
					return e.fault + "\nby: " + strings.Join(trace, ", "), len(seen), at
				default:
					seen[e.key] = true
					next = append(next, state{trace, e.events})
				}
			}
		}
		level = next
	}
	return "", len(seen), depth
}

// Paths of events. claimTrace: the first box claims the endpoint. fullTrace: it fills the
// endpoint. takeoverTrace: the second box claims it while a load is in progress. lateTrace: an
// order is delayed beyond its call. reclaimTrace: the first box loses and regains leadership
// while its orders are in transit.
var (
	claimTrace    = []string{"deliver 0", "time", "deliver 0"}
	fullTrace     = append(slices.Clone(claimTrace), "request 0", "time", "deliver 0", "request 0", "time", "deliver 0", "deliver 0")
	takeoverTrace = append(slices.Clone(claimTrace), "request 0", "request 0", "lead 1", "time", "deliver 0")
	lateTrace     = append(slices.Clone(claimTrace), "request 0", "request 0", "time", "late 0")
	reclaimTrace  = append(slices.Clone(claimTrace), "request 0", "request 0", "time", "lead 0", "time", "time", "time", "lead 0", "time", "deliver 0", "time", "deliver 0")
)

func TestOrderInterleavings(t *testing.T) {
	for _, k := range []struct {
		name             string
		losses, restarts int
		before           []string
		depth            int
	}{
		{"from an unclaimed endpoint", 1, 0, nil, 5},
		{"from an owned endpoint", 1, 0, claimTrace, 5},
		{"from a full endpoint", 1, 0, fullTrace, 5},
		{"with a load in transit while another box claims", 0, 0, takeoverTrace, 5},
		{"with two loads in transit while another box claims", 0, 0, append(slices.Clone(takeoverTrace), "deliver 0"), 5},
		{"with a load whose response comes too late", 1, 0, lateTrace, 5},
		{"with an old order in transit after a new claim", 1, 0, append(slices.Clone(lateTrace), "deliver 0", "deliver 0", "time", "deliver 0"), 5},
		{"with old orders in transit after a box regains ownership", 0, 0, reclaimTrace, 6},
		{"with an endpoint that restarts", 0, 1, fullTrace, 5},
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
