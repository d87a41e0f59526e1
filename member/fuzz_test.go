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

func heartbeat(t testing.TB, updates ...*wire.Member) []byte {
	raw, err := proto.Marshal(&wire.Heartbeat{From: box("b", 1).Wire(), News: updates})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// FuzzHeartbeat checks that no heartbeat changes this daemon's name or state, decreases the incarnation of any member,
// or introduces a state without a name.
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
		net := make(memoryNetwork)
		l := net.join("a")
		l.Table.Merge([]Member{box("b", 5), box("c", 1)}, start)
		before := l.Table.Members()
		reply := l.HandleHeartbeat(&h)
		if _, err := proto.Marshal(reply); err != nil {
			return // names that are not valid UTF-8 can't be passed on
		}
		for _, m := range before {
			after, ok := l.Table.Find(m.Name())
			if !ok || after.Incarnation() < m.Incarnation() {
				t.Errorf("%s: incarnation went from %d to %d", m.Name(), m.Incarnation(), after.Incarnation())
			}
		}
		for _, m := range l.Table.Members() {
			_ = m.State().String()
		}
		if l.Table.Self().Name() != "a" || l.Table.Self().State() != Alive {
			t.Errorf("own entry changed: %+v", l.Table.Self())
		}
		l.Table.Tick(start.Add(time.Hour))
	})
}

// Found by FuzzHeartbeat: a claim of the highest incarnation made the own incarnation overflow to
// zero, so that all other members rejected this daemon's updates as outdated from then on.
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
