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

// This file model-checks the tables of a few daemons: it explores, breadth-first, every order of delayed, duplicated
// and lost heartbeats, stops, restarts and leaves. Each distinct state is expanded once.

// modelState holds all daemons and the heartbeats in flight.
type modelState struct {
	now       time.Time
	tables    []*Table
	down      []bool
	inFlight  []modelMessage
	budget    modelBudget
	trace     []string
	restarted int // daemon started by the last event, or -1
}

// modelMessage is one heartbeat in flight.
type modelMessage struct {
	from, to int
	members  []Member
}

// modelBudget limits how many events of each kind remain.
type modelBudget struct{ messages, stops, leaves, timeouts, ticks int }

const modelStep = time.Second

func modelName(i int) string { return string(rune('a' + i)) }

func copyTable(t *Table) *Table {
	n := *NewTable(t.self, t.options)
	n.peers, n.pendingUpdates, n.version, n.lastExchange = maps.Clone(t.peers), maps.Clone(t.pendingUpdates), t.version, t.lastExchange
	n.observations = observations{lastSeen: maps.Clone(t.observations.lastSeen), restartedAt: maps.Clone(t.observations.restartedAt), claims: maps.Clone(t.observations.claims), lastTick: t.observations.lastTick, resumedAt: t.observations.resumedAt}
	return &n
}

func (s *modelState) clone() *modelState {
	n := *s
	n.tables = nil
	for _, t := range s.tables {
		n.tables = append(n.tables, copyTable(t))
	}
	n.down, n.inFlight, n.trace, n.restarted = slices.Clone(s.down), slices.Clone(s.inFlight), slices.Clone(s.trace), -1
	return &n
}

// modelEvent is a transition to a successor state.
type modelEvent struct {
	name string
	run  func(n *modelState)
}

func (s *modelState) events() []modelEvent {
	var list []modelEvent
	add := func(ok bool, name string, run func(n *modelState)) {
		if ok {
			list = append(list, modelEvent{name, run})
		}
	}
	add(s.budget.ticks > 0, "time", (*modelState).tick)
	for i := range s.tables {
		add(!s.down[i] && s.budget.stops > 0, "stop "+modelName(i), func(n *modelState) { n.budget.stops--; n.down[i] = true })
		add(s.down[i], "start "+modelName(i), func(n *modelState) { n.start(i) })
		add(!s.down[i] && s.budget.leaves > 0, "leave "+modelName(i), func(n *modelState) { n.budget.leaves--; n.tables[i].Leave() })
		for j := range s.tables {
			if i == j || s.down[i] {
				continue
			}
			between := modelName(i) + modelName(j)
			add(s.budget.messages > 0, "send "+between, func(n *modelState) { n.budget.messages--; n.send(i, j) })
			add(s.budget.timeouts > 0, "timeout "+between, func(n *modelState) { n.budget.timeouts--; n.tables[i].RecordTimeout(modelName(j), n.now) })
			add(s.down[j] && s.budget.timeouts > 0, "refused "+between, func(n *modelState) { n.budget.timeouts--; n.tables[i].RecordRefusal(modelName(j), n.now) })
		}
	}
	for k, b := range s.inFlight {
		add(!s.down[b.to], fmt.Sprint("deliver ", k), func(n *modelState) { n.deliver(k); n.inFlight = slices.Delete(n.inFlight, k, k+1) })
		add(!s.down[b.to], fmt.Sprint("deliver copy of ", k), func(n *modelState) { n.deliver(k) })
	}
	return list
}

func (s *modelState) tick() {
	s.budget.ticks--
	s.now = s.now.Add(modelStep)
	for i, t := range s.tables {
		if !s.down[i] {
			t.Tick(s.now)
		}
	}
}

// start starts a daemon with an incarnation from the clock.
func (s *modelState) start(i int) {
	s.down[i], s.restarted = false, i
	s.tables[i] = NewTable(box(modelName(i), uint64(s.now.UnixMicro())), testOptions)
}

func (s *modelState) send(i, j int) {
	members := append([]Member{s.tables[i].Self()}, s.tables[i].Members()...)
	s.inFlight = append(s.inFlight, modelMessage{from: i, to: j, members: append(members, s.tables[i].ClaimsAbout(modelName(j)+":1")...)})
}

func (s *modelState) deliver(k int) {
	b := s.inFlight[k]
	t := s.tables[b.to]
	t.Merge(b.members, s.now)
	t.RecordExchange(modelName(b.from), s.now)
}

// check returns the invariant that the transition from before violates, or an empty string.
func (s *modelState) check(before *modelState) string {
	for i, t := range s.tables {
		if s.restarted == i || s.down[i] {
			continue
		}
		for _, old := range before.tables[i].Members() {
			m, ok := t.Find(old.name)
			switch {
			case !ok:
				return fmt.Sprintf("%s forgot %s", t.self.name, old.name)
			case m.incarnation < old.incarnation:
				return fmt.Sprintf("%s went from incarnation %d of %s to %d", t.self.name, old.incarnation, m.name, m.incarnation)
			case m.incarnation == old.incarnation && m.state < old.state:
				return fmt.Sprintf("%s changed %s from %v to %v at the same incarnation", t.self.name, m.name, old.state, m.state)
			}
		}
		if before.tables[i].self.state == Leaving && t.self.state != Leaving {
			return t.self.name + " reverted its leave"
		}
		for j, u := range s.tables {
			if m, ok := t.Find(modelName(j)); ok && !s.down[j] && m.incarnation > u.self.incarnation && s.restarted != j {
				return fmt.Sprintf("%s knows incarnation %d of %s, which is at %d", t.self.name, m.incarnation, m.name, u.self.incarnation)
			}
		}
	}
	return ""
}

func (s *modelState) key() string {
	var k strings.Builder
	age := func(t time.Time) int64 { return min(s.now.Sub(t), time.Minute).Milliseconds() }
	members := func(list []Member) {
		for _, m := range list {
			fmt.Fprint(&k, m.name, m.incarnation, m.state, age(m.since), ",")
		}
	}
	fmt.Fprint(&k, s.budget, s.down)
	for _, t := range s.tables {
		k.WriteString("|")
		members(t.Members())
		for _, m := range []map[string]time.Time{t.observations.lastSeen, t.observations.restartedAt} {
			for _, n := range slices.Sorted(maps.Keys(m)) {
				fmt.Fprint(&k, n, age(m[n]))
			}
		}
		for _, n := range slices.Sorted(maps.Keys(t.observations.claims)) {
			members([]Member{t.observations.claims[n]})
		}
	}
	for _, b := range s.inFlight {
		fmt.Fprint(&k, "|", b.from, b.to)
		members(b.members)
	}
	return k.String()
}

func TestModelOfMembership(t *testing.T) {
	for _, w := range []struct {
		name    string
		daemons int
		budget  modelBudget
		depth   int
	}{
		{"two daemons", 2, modelBudget{messages: 3, stops: 1, leaves: 1, timeouts: 1, ticks: 3}, 6},
		{"three daemons", 3, modelBudget{messages: 2, stops: 1, leaves: 1, timeouts: 1, ticks: 2}, 4},
		{"a daemon that restarts and leaves immediately", 2, modelBudget{messages: 2, stops: 2, leaves: 1, timeouts: 1}, 9},
	} {
		t.Run(w.name, func(t *testing.T) {
			c := quicktest.New(t)
			now := time.Unix(1_800_000_000, 0)
			s := &modelState{now: now, down: make([]bool, w.daemons), budget: w.budget, restarted: -1}
			for i := range w.daemons {
				s.tables = append(s.tables, NewTable(box(modelName(i), uint64(now.UnixMicro())-uint64(i)-9), testOptions))
			}
			for _, u := range s.tables {
				for _, v := range s.tables {
					u.Merge([]Member{v.self}, now)
				}
			}
			seen := map[string]bool{s.key(): true}
			level := []*modelState{s}
			for depth := 1; depth <= w.depth; depth++ {
				var next []*modelState
				for _, before := range level {
					for _, e := range before.events() {
						n := before.clone()
						e.run(n)
						n.trace = append(n.trace, e.name)
						violation := n.check(before)
						c.Assert(violation, quicktest.Equals, "", quicktest.Commentf("depth %d, trace: %s", depth, strings.Join(n.trace, ", ")))
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
