// SPDX-License-Identifier: Apache-2.0

package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// After any sequence of events, the cached members and digest equal those of a new table with the same
// members.
func TestSnapshotMatchesTableAfterEachChange(t *testing.T) {
	c := quicktest.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	v := tableOf("m5")
	now := start
	for range 4000 {
		name := fmt.Sprintf("m%d", r.IntN(9))
		update := box(name, uint64(r.IntN(4)))
		update.state = State(1 + r.IntN(4))
		now = now.Add(time.Duration(r.IntN(2)) * time.Second)
		switch r.IntN(6) {
		case 0:
			v.RecordTimeout(name, now)
		case 1:
			v.RecordRefusal(name, now)
		case 2:
			v.Tick(now)
		case 3:
			v.RecordPause(now)
		case 4:
			now = now.Add(time.Minute / 3)
			v.Tick(now)
		default:
			v.Merge([]Member{update}, now)
		}
		fresh := *NewTable(v.self, v.options)
		fresh.peers = v.peers
		c.Assert(slices.Equal(v.Members(), fresh.Members()), quicktest.IsTrue)
		c.Assert(v.viewSummary().digest, quicktest.Equals, fresh.viewSummary().digest)
	}
}

// One exchange between two of 195 members took 0.16 ms and 75 KB when the members were sorted for
// each query, and takes 0.009 ms and 0.9 KB with a cached snapshot (one run each).
func BenchmarkIdleExchange(b *testing.B) {
	net := make(memoryNetwork)
	first := net.join("box000")
	second := net.join("box001", "box000:1")
	for i := range 193 {
		m := box(fmt.Sprintf("box%03d", i+2), 1)
		first.Table.Merge([]Member{m}, start)
		second.Table.Merge([]Member{m}, start)
	}
	net.runRounds(40)
	for b.Loop() {
		second.exchange(context.Background(), first.Table.Self())
	}
}
