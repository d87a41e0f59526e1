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

// Whatever happens to a table, what it tells of its members and of their digest is what a table
// made anew of the same members tells.
func TestSnapshotMatchesTableAfterEachChange(t *testing.T) {
	c := quicktest.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	v := tableOf("m5")
	now := start
	for range 4000 {
		name := fmt.Sprintf("m%d", r.IntN(9))
		told := box(name, uint64(r.IntN(4)))
		told.state = State(1 + r.IntN(4))
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
			v.Merge([]Member{told}, now)
		}
		anew := *NewTable(v.self, v.options)
		anew.peers = v.peers
		c.Assert(slices.Equal(v.Members(), anew.Members()), quicktest.IsTrue)
		c.Assert(v.viewSummary().digest, quicktest.Equals, anew.viewSummary().digest)
	}
}

// One exchange between two of 195 members: 0.16 ms and 75 KB where the members were sorted for
// each question, 0.009 ms and 0.9 KB with a snapshot (one run each).
func BenchmarkIdleExchange(b *testing.B) {
	w := make(memoryNetwork)
	first := w.join("box000")
	second := w.join("box001", "box000:1")
	for i := range 193 {
		m := box(fmt.Sprintf("box%03d", i+2), 1)
		first.Table.Merge([]Member{m}, start)
		second.Table.Merge([]Member{m}, start)
	}
	w.runRounds(40)
	for b.Loop() {
		second.exchange(context.Background(), first.Table.Self())
	}
}
