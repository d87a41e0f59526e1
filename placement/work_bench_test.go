// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"testing"
	"time"

	"cairnwick.example/balance"
)

// newBusyLoader returns a loader with endpoints whose slots all hold adapters in use, each at three endpoints, as reported by
// 60 boxes.
func newBusyLoader(endpoints int, now time.Time) (*Loader, []*ownedEndpoint) {
	var ids []string
	for i := range endpoints {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	l, byID := newBalancedLoader(ids...)
	var list []*ownedEndpoint
	for i, id := range ids {
		o := byID[id]
		for j := range balancedSlots {
			hold((i*balancedSlots+j)%(endpoints*balancedSlots/3), o)
		}
		list = append(list, o)
	}
	for box := range 60 {
		var uses []Use
		for _, o := range list {
			for a := range o.slots {
				uses = append(uses, Use{Endpoint: o.endpoint.ID(), Adapter: a, Running: 1, PrefillTokens: 2, MemoryTokens: 20,
					Read: balance.Observation{Prompts: 1, Tokens: 2000, Took: 100 * time.Millisecond}})
			}
		}
		l.RecordUsage(fmt.Sprintf("box-%d", box), uses, true, now)
	}
	return l, list
}

// BenchmarkBalance measures one decision of an owner, which all boxes' requests wait for.
func BenchmarkBalance(b *testing.B) {
	for _, endpoints := range []int{30, 300} {
		adapters := endpoints * balancedSlots / 3
		for _, k := range []struct {
			name   string
			change func(w *waiter, i int)
		}{
			{"held", func(*waiter, int) {}},
			{"copy", func(w *waiter, _ int) { w.PromptTokens, w.QueueLimit = 0, 44*time.Millisecond }}, // over half of it is used
			{"late", func(w *waiter, _ int) { w.Target = -time.Second }},
			{"load", func(w *waiter, i int) { w.Adapter = adapter(adapters + i%200) }},
			{"kept", func(w *waiter, i int) { w.Adapter = adapter(adapters + i%200); w.QueueLimit /= 2 }},
		} {
			b.Run(fmt.Sprintf("%s/%d", k.name, endpoints), func(b *testing.B) {
				now := time.Now()
				l, list := newBusyLoader(endpoints, now)
				for i := 0; b.Loop(); i++ {
					w := balancedWaiter(list[0], i%adapters, now)
					w.PromptTokens = 10
					k.change(w, i)
					ask(l, w, now)
					l.cancelWait(w)
					clear(l.pendingLoads)
					for _, o := range list {
						o.grants = o.grants[:0]
					}
				}
			})
		}
	}
}
