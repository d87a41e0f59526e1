// SPDX-License-Identifier: Apache-2.0

package member

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// This file drives the real tables of a few daemons through all orders of heartbeats that come
// late, twice or never, stops, restarts and leaves, breadth-first, each state once.

// modelNet is every daemon and what is on its way.
type modelNet struct {
	now     time.Time
	tables  []*Table
	down    []bool
	sent    []modelBeat
	left    modelBudget
	path    []string
	changed int // daemon whose life began by the last event; -1: none
}

// modelBeat is one heartbeat on its way.
type modelBeat struct {
	from, to int
	told     []Member
}

// modelBudget bounds what can happen.
type modelBudget struct{ beats, stops, leaves, misses, ticks int }

const modelStep = time.Second

func modelName(i int) string { return string(rune('a' + i)) }

func copyTable(t *Table) *Table {
	n := *NewTable(t.self, t.limits)
	n.others, n.news, n.version, n.heard = maps.Clone(t.others), maps.Clone(t.news), t.version, t.heard
	n.signs = signs{seen: maps.Clone(t.signs.seen), restarted: maps.Clone(t.signs.restarted), claims: maps.Clone(t.signs.claims), ticked: t.signs.ticked, paused: t.signs.paused}
	return &n
}

func (s *modelNet) clone() *modelNet {
	n := *s
	n.tables = nil
	for _, t := range s.tables {
		n.tables = append(n.tables, copyTable(t))
	}
	n.down, n.sent, n.path, n.changed = slices.Clone(s.down), slices.Clone(s.sent), slices.Clone(s.path), -1
	return &n
}

// modelEvent makes a follower of a state.
type modelEvent struct {
	name string
	run  func(n *modelNet)
}

func (s *modelNet) events() []modelEvent {
	var list []modelEvent
	add := func(ok bool, name string, run func(n *modelNet)) {
		if ok {
			list = append(list, modelEvent{name, run})
		}
	}
	add(s.left.ticks > 0, "time", (*modelNet).tick)
	for i := range s.tables {
		add(!s.down[i] && s.left.stops > 0, "stop "+modelName(i), func(n *modelNet) { n.left.stops--; n.down[i] = true })
		add(s.down[i], "start "+modelName(i), func(n *modelNet) { n.start(i) })
		add(!s.down[i] && s.left.leaves > 0, "leave "+modelName(i), func(n *modelNet) { n.left.leaves--; n.tables[i].Leave() })
		for j := range s.tables {
			if i == j || s.down[i] {
				continue
			}
			between := modelName(i) + modelName(j)
			add(s.left.beats > 0, "beat "+between, func(n *modelNet) { n.left.beats--; n.beat(i, j) })
			add(s.left.misses > 0, "miss "+between, func(n *modelNet) { n.left.misses--; n.tables[i].Missed(modelName(j), n.now) })
			add(s.down[j] && s.left.misses > 0, "refused "+between, func(n *modelNet) { n.left.misses--; n.tables[i].Gone(modelName(j), n.now) })
		}
	}
	for k, b := range s.sent {
		add(!s.down[b.to], fmt.Sprint("hear ", k), func(n *modelNet) { n.hear(k); n.sent = slices.Delete(n.sent, k, k+1) })
		add(!s.down[b.to], fmt.Sprint("hear for now ", k), func(n *modelNet) { n.hear(k) })
	}
	return list
}

func (s *modelNet) tick() {
	s.left.ticks--
	s.now = s.now.Add(modelStep)
	for i, t := range s.tables {
		if !s.down[i] {
			t.Tick(s.now)
		}
	}
}

// start begins a new life, whose incarnation is that of the clock.
func (s *modelNet) start(i int) {
	s.down[i], s.changed = false, i
	s.tables[i] = NewTable(box(modelName(i), uint64(s.now.UnixMicro())), limits)
}

func (s *modelNet) beat(i, j int) {
	told := append([]Member{s.tables[i].Self()}, s.tables[i].All()...)
	s.sent = append(s.sent, modelBeat{from: i, to: j, told: append(told, s.tables[i].Claims(modelName(j)+":1")...)})
}

func (s *modelNet) hear(k int) {
	b := s.sent[k]
	t := s.tables[b.to]
	t.Merge(b.told, s.now)
	t.Exchanged(modelName(b.from), s.now)
}

// check returns what a state breaks.
func (s *modelNet) check(was *modelNet) string {
	for i, t := range s.tables {
		if s.changed == i || s.down[i] {
			continue
		}
		for _, old := range was.tables[i].All() {
			m, ok := t.Find(old.name)
			switch {
			case !ok:
				return fmt.Sprintf("%s forgot %s", t.self.name, old.name)
			case m.incarnation < old.incarnation:
				return fmt.Sprintf("%s knew incarnation %d of %s and knows %d", t.self.name, old.incarnation, m.name, m.incarnation)
			case m.incarnation == old.incarnation && m.state < old.state:
				return fmt.Sprintf("%s saw %s as %v and sees it as %v in the same life", t.self.name, m.name, old.state, m.state)
			}
		}
		if was.tables[i].self.state == Leaving && t.self.state != Leaving {
			return t.self.name + " leaves no more"
		}
		for j, u := range s.tables {
			if m, ok := t.Find(modelName(j)); ok && !s.down[j] && m.incarnation > u.self.incarnation && s.changed != j {
				return fmt.Sprintf("%s knows incarnation %d of %s, which is at %d", t.self.name, m.incarnation, m.name, u.self.incarnation)
			}
		}
	}
	return ""
}

func (s *modelNet) key() string {
	var k strings.Builder
	age := func(t time.Time) int64 { return min(s.now.Sub(t), time.Minute).Milliseconds() }
	members := func(list []Member) {
		for _, m := range list {
			fmt.Fprint(&k, m.name, m.incarnation, m.state, age(m.since), ",")
		}
	}
	fmt.Fprint(&k, s.left, s.down)
	for _, t := range s.tables {
		k.WriteString("|")
		members(t.All())
		for _, m := range []map[string]time.Time{t.signs.seen, t.signs.restarted} {
			for _, n := range slices.Sorted(maps.Keys(m)) {
				fmt.Fprint(&k, n, age(m[n]))
			}
		}
		for _, n := range slices.Sorted(maps.Keys(t.signs.claims)) {
			members([]Member{t.signs.claims[n]})
		}
	}
	for _, b := range s.sent {
		fmt.Fprint(&k, "|", b.from, b.to)
		members(b.told)
	}
	return k.String()
}

func TestMembersInAllOrders(t *testing.T) {
	for _, w := range []struct {
		name    string
		daemons int
		left    modelBudget
		depth   int
	}{
		{"two daemons", 2, modelBudget{beats: 3, stops: 1, leaves: 1, misses: 1, ticks: 3}, 6},
		{"three daemons", 3, modelBudget{beats: 2, stops: 1, leaves: 1, misses: 1, ticks: 2}, 4},
		{"a daemon that starts again and leaves at once", 2, modelBudget{beats: 2, stops: 2, leaves: 1, misses: 1}, 9},
	} {
		t.Run(w.name, func(t *testing.T) {
			c := quicktest.New(t)
			now := time.Unix(1_800_000_000, 0)
			s := &modelNet{now: now, down: make([]bool, w.daemons), left: w.left, changed: -1}
			for i := range w.daemons {
				s.tables = append(s.tables, NewTable(box(modelName(i), uint64(now.UnixMicro())-uint64(i)-9), limits))
			}
			for _, u := range s.tables {
				for _, v := range s.tables {
					u.Merge([]Member{v.self}, now)
				}
			}
			seen := map[string]bool{s.key(): true}
			level := []*modelNet{s}
			for depth := 1; depth <= w.depth; depth++ {
				var next []*modelNet
				for _, was := range level {
					for _, e := range was.events() {
						n := was.clone()
						e.run(n)
						n.path = append(n.path, e.name)
						fault := n.check(was)
						c.Assert(fault, quicktest.Equals, "", quicktest.Commentf("depth %d by: %s", depth, strings.Join(n.path, ", ")))
						if k := n.key(); !seen[k] {
							seen[k] = true
							next = append(next, n)
						}
					}
				}
				level = next
			}
			t.Logf("%d states to depth %d", len(seen), w.depth)
		})
	}
}
