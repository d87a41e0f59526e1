// SPDX-License-Identifier: Apache-2.0

package member

import (
	"math"
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

func heartbeat(t testing.TB, news ...*wire.Member) []byte {
	raw, err := proto.Marshal(&wire.Heartbeat{From: box("b", 1).Wire(), News: news})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// FuzzHeartbeat: whatever comes, this daemon stays itself, its incarnation never goes back, no
// incarnation of another does, and every state has a name.
func FuzzHeartbeat(f *testing.F) {
	dead := box("a", 7)
	dead.state = Dead
	f.Add(heartbeat(f, dead.Wire()))
	f.Add(heartbeat(f, box("a", math.MaxUint64).Wire(), box("c", 3).Wire()))
	f.Add(heartbeat(f, &wire.Member{Name: "c", State: 99, Incarnation: 1}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var h wire.Heartbeat
		if proto.Unmarshal(raw, &h) != nil {
			return
		}
		w := make(memoryNetwork)
		l := w.join("a")
		l.Table.Merge([]Member{box("b", 5), box("c", 1)}, start)
		was := l.Table.Members()
		a := l.HandleHeartbeat(&h)
		if _, err := proto.Marshal(a); err != nil {
			return // names that are no text can't be told on
		}
		for _, m := range was {
			now, ok := l.Table.Find(m.Name())
			if !ok || now.Incarnation() < m.Incarnation() {
				t.Errorf("%s was of incarnation %d and is of %d", m.Name(), m.Incarnation(), now.Incarnation())
			}
		}
		for _, m := range l.Table.Members() {
			_ = m.State().String()
		}
		if l.Table.Self().Name() != "a" || l.Table.Self().State() != Alive {
			t.Errorf("%+v", l.Table.Self())
		}
		l.Table.Tick(start.Add(time.Hour))
	})
}

// Found by fuzzing heartbeats: a claim of the highest incarnation made a member's own begin
// again at zero, so that all that it told was old news to everyone else, for good.
func TestClaimOfHighestIncarnationDoesNotOverflowOwn(t *testing.T) {
	c := quicktest.New(t)
	v := tableOf("a", "b")
	v.Merge([]Member{box("a", math.MaxUint64)}, start)
	c.Assert(v.Self().Incarnation() >= 1, quicktest.IsTrue)
	v.Merge([]Member{box("b", math.MaxUint64)}, start)
	v.Merge([]Member{box("b", 2)}, start)
	m, _ := v.Find("b")
	c.Assert(m.Incarnation(), quicktest.Equals, uint64(2))
}
