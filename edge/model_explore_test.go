// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// event is a transition; run reports false if it is not possible in the state.
type event struct {
	name string
	run  func(s *modelState) bool
}

func (w *modelWorld) events(s *modelState) []event {
	var list []event
	if !w.silent || s.prompt() {
		list = append(list, event{"time", w.time})
	}
	if s.left.changes > 0 {
		list = append(list, event{"change", func(n *modelState) bool {
			n.left.changes--
			there := len(n.changes) > 0 && !n.changes[len(n.changes)-1].removed
			n.changes = append(n.changes, modelChange{at: n.now, removed: there, epoch: n.epoch})
			return true
		}})
	}
	if s.left.restores > 0 && len(s.changes) > 0 {
		list = append(list, event{"restore", func(n *modelState) bool {
			n.left.restores--
			n.epoch++
			n.restoredAt = n.now
			n.changes = n.changes[:len(n.changes)-1]
			return true
		}})
	}
	for i := range s.boxes {
		list = append(list, w.calls(s, i)...)
		list = append(list, w.streams(s, i)...)
	}
	slices.SortFunc(list, func(a, b event) int { return strings.Compare(a.name, b.name) })
	return list
}

// prompt reports whether no message has been in transit for a tick.
func (s *modelState) prompt() bool {
	for _, l := range s.links {
		if len(l.queue) > 0 && s.now.Sub(l.queue[0].sent) >= modelTick {
			return false
		}
	}
	return true
}

// calls returns the possible events of a box and its calls.
func (w *modelWorld) calls(s *modelState, i int) []event {
	var list []event
	if w.silent {
		return nil
	}
	if s.boxes[i].callStarted.IsZero() {
		list = append(list, event{"ask " + boxName(i), func(n *modelState) bool { return w.ask(n, i) }})
	} else {
		for name, err := range map[string]error{"answer ": nil, "fail ": errModelSource, "forget ": ErrHistoryLost{}} {
			list = append(list, event{name + boxName(i), func(n *modelState) bool { return w.answer(n, i, err, false) }})
		}
		if s.boxes[i].callStarted.Before(s.now) {
			list = append(list, event{"late-answer " + boxName(i), func(n *modelState) bool { return w.answer(n, i, nil, true) }})
		}
	}
	if s.left.restarts > 0 {
		list = append(list, event{"restart " + boxName(i), func(n *modelState) bool { return w.restart(n, i) }})
	}
	return list
}

// streams returns the possible events of the stream to a box.
func (w *modelWorld) streams(s *modelState, i int) []event {
	var list []event
	if w.parents[i] < 0 {
		return nil
	}
	if l := &s.links[i]; l.down {
		list = append(list, event{"connect " + boxName(i), func(n *modelState) bool { return w.connect(n, i) }})
	} else if len(l.queue) > 0 {
		list = append(list, event{"receive " + boxName(i), func(n *modelState) bool { return w.deliver(n, i) }})
	}
	if s.left.breaks > 0 && !s.links[i].down {
		list = append(list, event{"break " + boxName(i), func(n *modelState) bool {
			n.left.breaks--
			n.links[i] = modelLink{down: true}
			return true
		}})
	}
	return list
}

// check returns the invariant that state s violates, or an empty string. was is the state before the
// event.
func (w *modelWorld) check(was, s *modelState, restarted int) string {
	if s.fault != "" {
		return s.fault
	}
	for i := range s.boxes {
		if fault := s.regression(was, i); fault != "" && i != restarted {
			return fault
		}
		b := w.make(s, i, time.Since(s.now))
		age, ok := b.node.sourceAge()
		if !ok {
			continue
		}
		known := s.now.Add(-age - w.transitTime(s, i, b))
		if !known.After(s.restoredAt) {
			continue // it makes no claim about the source since the restore
		}
		knows := b.table.Get("e/1")
		for r, c := range s.changes {
			gone := (knows == nil || knows.GetRemoved()) && s.removedSince(r)
			if c.at.Before(known) && revisionOf(knows) < revIn(c.epoch, uint64(r+1)) && !gone {
				return fmt.Sprintf("%s reports a read of the source %v ago, but lacks revision %d of %v ago", boxName(i), age, r+1, s.now.Sub(c.at))
			}
		}
	}
	return ""
}

// removedSince reports whether a change at or after a revision removed the endpoint, so that later lists
// lack it.
func (s *modelState) removedSince(revision int) bool {
	return slices.ContainsFunc(s.changes[revision:], func(c modelChange) bool { return c.removed })
}

// regression returns a description of a fact of a box that was replaced by an older one or lost.
func (s *modelState) regression(was *modelState, i int) string {
	now := make(map[string]*wire.Item)
	for _, t := range s.boxes[i].items {
		now[t.GetKey()] = t
	}
	for _, t := range was.boxes[i].items {
		n := now[t.GetKey()]
		switch {
		case n.GetVersion() < t.GetVersion():
			return fmt.Sprintf("%s went back from version %d of %s to %d", boxName(i), t.GetVersion(), t.GetKey(), n.GetVersion())
		case n.GetVersion() == t.GetVersion() && n.GetRemoved() != t.GetRemoved():
			return fmt.Sprintf("%s restored removed %s by an item of the same version", boxName(i), t.GetKey())
		case t.GetRemoved() && !n.GetRemoved() && s.isOfCopy(revisionOf(t), revisionOf(n)):
			return fmt.Sprintf("%s restored removed %s by entry %s of an older copy", boxName(i), t.GetKey(), revisionOf(n))
		}
	}
	return ""
}

// isOfCopy reports whether a fact was published before one that a box knew and has a higher revision
// only because of a restore. After box restarts it may be that no box knew the earlier fact.
func (s *modelState) isOfCopy(before, now Revision) bool {
	r := int(now.Number()) - 1
	return s.left.restarts == 0 && now.Epoch() > before.Epoch() && !now.IsConfirmed() && s.changes[r].epoch <= before.Epoch()
}

// maxAge: all ages beyond every limit are equivalent, so that the number of states is finite.
const maxAge = 4 * time.Second

// key identifies a state by its facts and their ages.
func (s *modelState) key() string {
	var k strings.Builder
	age := func(t time.Time) int64 {
		if t.IsZero() {
			return -1
		}
		return min(s.now.Sub(t), maxAge).Milliseconds()
	}
	items := func(list []*wire.Item) {
		for _, i := range list {
			fmt.Fprint(&k, i.GetVersion(), i.GetRemoved(), ",")
		}
	}
	for _, c := range s.changes {
		fmt.Fprint(&k, age(c.at), c.epoch, ",")
	}
	fmt.Fprint(&k, s.left, s.epoch, age(s.restoredAt))
	for _, b := range s.boxes {
		fmt.Fprint(&k, "|", b.after, " ", b.listed, " ", age(b.asOf), b.failing, age(b.graceUntil), b.relistPending, b.deferring, age(b.answered), age(b.callStarted), age(b.failingSince), b.deferred, b.known.revision, age(b.known.asOf), b.needsList, b.epoch, age(b.confirmAfter), b.confirmEpoch, ";")
		items(b.items)
		for _, n := range slices.Sorted(maps.Keys(b.statuses)) {
			fmt.Fprint(&k, n, age(b.statuses[n].received), " ", age(b.statuses[n].readAt), " ", b.statuses[n].first, " ", b.statuses[n].transit)
		}
	}
	for _, l := range s.links {
		fmt.Fprint(&k, "|", l.down, age(l.received), " ", l.unsent)
		for _, m := range l.queue {
			fmt.Fprint(&k, ";", m.reading, m.status, age(m.sent), " ", m.transit)
			items(m.items)
		}
	}
	return k.String()
}

func newModelWorld(parents []int, depth int) *modelWorld {
	w := &modelWorld{parents: parents, depth: depth}
	for i := range parents {
		w.peers = append(w.peers, peersOf(box(boxName(i), "dc", 1, 400)))
	}
	return w
}

// start returns the initial state: one endpoint is published, and no box has any facts.
func (w *modelWorld) start(left modelBudget) *modelState {
	now := time.Now()
	s := &modelState{now: now, changes: []modelChange{{at: now.Add(-time.Minute)}}, left: left, links: make([]modelLink, len(w.parents))}
	for i := range w.parents {
		s.boxes = append(s.boxes, modelBox{statuses: make(map[string]modelStatus)})
		s.links[i].down = true
	}
	return s
}

// explore visits every state up to the depth in breadth-first order. It returns the first violation
// with the events that lead to it, and its depth.
func (w *modelWorld) explore(from *modelState) (fault string, depth int) {
	seen := map[string]bool{from.key(): true}
	level := []*modelState{from}
	for depth = 1; depth <= w.depth && len(level) > 0; depth++ {
		var next []*modelState
		for _, s := range level {
			for _, e := range w.events(s) {
				n := s.clone()
				if !e.run(n) {
					continue
				}
				n.path = append(n.path, e.name)
				restarted := -1
				_, _ = fmt.Sscanf(e.name, "restart b%d", &restarted)
				if fault := w.check(s, n, restarted); fault != "" {
					return fmt.Sprintf("%s\nby: %s", fault, strings.Join(n.path, ", ")), depth
				}
				if k := n.key(); !seen[k] {
					seen[k] = true
					next = append(next, n)
				}
			}
		}
		level = next
	}
	w.states = len(seen)
	return "", w.depth
}

// run applies the events with the given names in order.
func (w *modelWorld) run(s *modelState, names []string) *modelState {
	for _, name := range names {
		i := slices.IndexFunc(w.events(s), func(e event) bool { return e.name == name })
		n := s.clone()
		if i < 0 || !w.events(s)[i].run(n) {
			panic("event is not possible: " + name)
		}
		s = n
	}
	return s
}

// settled are the events after which a leader and its follower have all facts.
var settled = []string{"ask b0", "answer b0", "connect b1", "receive b1"}

// modelWorlds are chains and rings of boxes. Rings occur since the boxes' views of the members may
// differ, so that boxes follow each other.
var modelWorlds = []struct {
	name    string
	parents []int
	before  []string
	left    modelBudget
	depth   int
}{
	{"one box", []int{-1}, nil, modelBudget{changes: 3}, 10},
	{"a leader and a follower", []int{-1, 0}, nil, modelBudget{changes: 1, restarts: 1, breaks: 1}, 7},
	{"a synchronised leader and follower", []int{-1, 0}, settled, modelBudget{changes: 2, restarts: 1}, 7},
	{"a follower that receives updates again after a failed call", []int{-1, 0}, []string{"ask b0", "answer b0", "ask b1", "answer b1", "ask b1", "fail b1", "connect b1", "receive b1", "ask b1"}, modelBudget{changes: 1}, 7},
	{"a follower whose leader restarts", []int{-1, 0}, append(slices.Clone(settled), "ask b1", "answer b1", "ask b1"), modelBudget{changes: 1, restarts: 1}, 7},
	{"a follower whose leader restarts after a change", []int{-1, 0}, append(slices.Clone(settled), "ask b1", "answer b1", "ask b1", "change", "restart b0", "ask b0", "answer b0"), modelBudget{changes: 2, restarts: 1}, 7},
	{"a follower whose stream breaks", []int{-1, 0}, append(slices.Clone(settled), "ask b1", "answer b1", "ask b1"), modelBudget{changes: 2, breaks: 1}, 7},
	{"one box whose source is restored twice", []int{-1}, nil, modelBudget{changes: 2, restores: 2}, 9},
	{"a leader and a follower whose source is restored", []int{-1, 0}, settled, modelBudget{changes: 2, restores: 1}, 7},
	{"a leader and a follower whose source is restored after a change", []int{-1, 0}, append(slices.Clone(settled), "change", "ask b0", "answer b0", "time", "receive b1", "restore"), modelBudget{changes: 2, restores: 1}, 7},
	{"a follower that reads a restored source and whose leader restarts", []int{-1, 0}, append(slices.Clone(settled), "ask b1", "answer b1", "restore"), modelBudget{changes: 1, restarts: 1, restores: 1}, 7},
	{"a chain of three", []int{-1, 0, 1}, nil, modelBudget{changes: 1}, 6},
	{"a synchronised chain of three", []int{-1, 0, 1}, append(slices.Clone(settled), "connect b2", "receive b2"), modelBudget{changes: 1, breaks: 1}, 6},
	{"two boxes that follow each other", []int{1, 0}, nil, modelBudget{changes: 1, restarts: 1}, 6},
	{"a ring of three", []int{2, 0, 1}, nil, modelBudget{changes: 1}, 5},
}

func TestModelAllEventOrders(t *testing.T) {
	for _, k := range modelWorlds {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newModelWorld(k.parents, k.depth)
				fault, depth := w.explore(w.run(w.start(k.left), k.before))
				quicktest.Assert(t, fault, quicktest.Equals, "", quicktest.Commentf("depth %d", depth))
				t.Logf("%d states to depth %d after %d events", w.states, depth, len(k.before))
			})
		})
	}
}

// maxStatusLife bounds how long a status may circulate between boxes that follow each other in a ring.
// A message carries the age of its status at sending, but its transit time is unknown. As long as the
// transit takes no longer than the status stays at each box, its lifetime at most doubles. The last
// tick is the one in which it expires.
const maxStatusLife = 2*3*time.Second/2 + modelTick

// Boxes that follow each other in a ring forward each other's status. That must not keep the status
// alive.
func TestModelStatusExpiresInRing(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		parents []int
		before  []string
	}{
		{[]int{1, 0}, []string{"ask b0", "answer b0", "ask b1", "answer b1", "connect b0", "connect b1", "receive b0", "receive b1"}},
		{[]int{2, 0, 1}, []string{"ask b0", "answer b0", "ask b1", "answer b1", "ask b2", "answer b2", "connect b0", "connect b1", "connect b2"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			w := newModelWorld(k.parents, 0)
			from := w.run(w.start(modelBudget{}), k.before)
			w.silent = true
			longest := w.statusLife(from)
			c.Assert(longest < maxStatusLife, quicktest.IsTrue, quicktest.Commentf("%v", longest))
			t.Logf("%d boxes: %d states, a status lived for %v", len(k.parents), w.states, longest)
		})
	}
}

// statusLife visits all states in which any box relies on its own read or on a status, and returns the time
// from the first to the last of them.
func (w *modelWorld) statusLife(from *modelState) time.Duration {
	seen := map[string]bool{}
	var longest time.Duration
	for level := []*modelState{from}; len(level) > 0; {
		var next []*modelState
		for _, s := range level {
			k := s.key()
			if seen[k] || !w.anyRelies(s) {
				continue
			}
			seen[k] = true
			longest = max(longest, s.now.Sub(from.now))
			if longest > 2*maxStatusLife {
				return longest
			}
			for _, e := range w.events(s) {
				if n := s.clone(); e.run(n) {
					next = append(next, n)
				}
			}
		}
		level = next
	}
	w.states = len(seen)
	return longest
}

func (w *modelWorld) anyRelies(s *modelState) bool {
	for i := range s.boxes {
		if n := w.make(s, i, time.Since(s.now)).node; n.readsSource() || n.peers.leaderIsCurrent(time.Now()) {
			return true
		}
	}
	return false
}
