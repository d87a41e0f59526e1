// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"cairnwick.example/share"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
)

// A model checker for the distribution of facts. It drives the real reader, table, freshness and
// status code of a few boxes through all orders of events, breadth-first, visiting each state once. A
// state holds plain values in model time. To run an event its boxes are rebuilt with all times shifted
// so that time.Now() in the synctest bubble equals the model's time; so the code needs no injected
// clock and nothing waits.

// modelTick is the step of model time, within which each stream sends at least one message.
const modelTick = share.HeartbeatInterval

// errModelSource is the error of a call that the source does not answer.
var errModelSource = errors.New("source does not respond")

// modelStatus is a status with the transit time of the messages that carried it. A receiver cannot
// know that time, so the checks allow for it.
type modelStatus struct {
	leaderStatus
	transit time.Duration
}

// modelBox is the state of one box. A zero time means never.
type modelBox struct {
	items         []*wire.Item // oldest first
	after         Revision
	asOf          time.Time
	failing       bool
	graceUntil    time.Time
	relistPending bool
	deferring     bool
	listed        uint64
	answered      time.Time // as in freshness; zero: no valid read
	statuses      map[string]modelStatus
	callStarted   time.Time  // when the pending call began; zero: none is pending
	failingSince  time.Time  // when calls began to fail since the box reads; zero: they succeed
	deferred      bool       // whether relistPending was set at the previous response
	known         checkpoint // of the endpoints
	epoch         uint64     // of its last list
	confirmAfter  time.Time  // as in reader
	confirmEpoch  uint64     // as in reader
	needsList     bool       // only a list shows what it has missed
}

// modelMessage is one message of a stream.
type modelMessage struct {
	items   []*wire.Item
	reading bool
	status  share.ReadStatus
	sent    time.Time
	transit time.Duration
}

// modelLink is the stream from a box to its follower.
type modelLink struct {
	down     bool
	received time.Time // when the follower last received a message
	unsent   int       // number of the sender's latest items not sent yet
	queue    []modelMessage
}

// modelChange is one change at the source; its revision is its index, from 1.
type modelChange struct {
	at      time.Time
	removed bool
	epoch   uint64 // of the source at the change
}

// modelState is a complete state of the model, immutable once it has been reached.
type modelState struct {
	now        time.Time
	changes    []modelChange // of the endpoint e/1
	epoch      uint64        // of the source
	restoredAt time.Time     // when it was last restored from a copy
	boxes      []modelBox
	links      []modelLink // indexed by the follower
	left       modelBudget
	path       []string
	fault      string // found during an event
}

// modelBudget limits the events other than time, calls and messages.
type modelBudget struct{ changes, restarts, breaks, restores int }

// modelWorld is a topology to explore and the depth of the exploration.
type modelWorld struct {
	parents []int // the box that each box follows; -1: none
	depth   int
	silent  bool // the source does not respond, and messages take at most one tick
	states  int
	peers   []*peers // reused by every state, since creating a member table costs more than all the rest
}

func (s *modelState) clone() *modelState {
	n := *s
	n.changes = slices.Clone(s.changes)
	n.boxes = slices.Clone(s.boxes)
	for i := range n.boxes {
		n.boxes[i].items = slices.Clone(n.boxes[i].items)
		n.boxes[i].statuses = maps.Clone(n.boxes[i].statuses)
	}
	n.links = slices.Clone(s.links)
	for i := range n.links {
		n.links[i].queue = slices.Clone(n.links[i].queue)
	}
	n.path = slices.Clone(s.path)
	return &n
}

func boxName(i int) string { return fmt.Sprintf("b%d", i) }

// live is a box rebuilt from a state.
type live struct {
	node   *Node
	reader *reader
	table  *share.Table
}

// shifted shifts a time between the model and the synctest bubble.
func shifted(t time.Time, by time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(by)
}

// make rebuilds box i of the state, with times shifted by by.
func (w *modelWorld) make(s *modelState, i int, by time.Duration) live {
	b := &s.boxes[i]
	r, t := newReader(nil)
	t.Merge(b.items...)
	r.after, r.asOf, r.failing = b.after, shifted(b.asOf, by), b.failing
	r.graceUntil, r.relistPending, r.deferring = shifted(b.graceUntil, by), b.relistPending, b.deferring
	n := &Node{Decoder: plainDecoder{}}
	n.listedRevision.Store(b.listed)
	r.epoch, r.confirmAfter, r.confirmEpoch = b.epoch, shifted(b.confirmAfter, by), b.confirmEpoch
	t.ResolveRollback = n.outlives
	r.historyLost = b.needsList
	n.checkpoints.advance(Endpoints, checkpoint{revision: b.known.revision, asOf: shifted(b.known.asOf, by)})
	r.checkpoint = func() checkpoint { return n.checkpoints.of(Endpoints) }
	r.onList = func(revision Revision) { n.recordList(Endpoints, revision) }
	t.HasEnded, t.IsSuperseded = n.hasEnded, n.isSuperseded
	n.current.Store(&Settings{}) // default bounds
	if !b.answered.IsZero() {
		n.fresh.record(Endpoints, readResult{asOf: shifted(b.answered, by), current: true})
		n.fresh.record(Configuration, readResult{asOf: shifted(s.now, by), current: true})
	}
	r.onRead = func(result readResult) {
		n.recordRead(Endpoints, result)
		n.fresh.record(Configuration, readResult{asOf: time.Now(), current: true})
	}
	v := &clusterView{validUntil: time.Unix(math.MaxInt32, 0)}
	if p := w.parents[i]; p >= 0 {
		v.upstream, v.hops = box(boxName(p), "dc", 1, 400), 1
	}
	p := w.peers[i]
	v.version = p.table.Version()
	p.clusterViews.latest = v
	p.statuses = make(map[string]leaderStatus)
	for k, m := range b.statuses {
		p.statuses[k] = leaderStatus{received: shifted(m.received, by), readAt: shifted(m.readAt, by), first: m.first}
	}
	p.checkpoints = &n.checkpoints
	n.peers = p
	return live{node: n, reader: r, table: t}
}

// store saves the state of box i after an event.
func (s *modelState) store(i int, l live, by time.Duration) {
	b := &s.boxes[i]
	b.items, _, _ = l.table.ItemsSince(0)
	r := l.reader
	b.after, b.asOf, b.failing = r.after, shifted(r.asOf, -by), r.failing
	b.graceUntil, b.relistPending, b.deferring = shifted(r.graceUntil, -by), r.relistPending, r.deferring
	b.needsList = r.historyLost || r.relistAfterOutage
	b.epoch, b.confirmAfter, b.confirmEpoch = r.epoch, shifted(r.confirmAfter, -by), r.confirmEpoch
	k := l.node.checkpoints.of(Endpoints)
	b.known = checkpoint{revision: k.revision, asOf: shifted(k.asOf, -by)}
	b.listed, b.answered = l.node.listedRevision.Load(), time.Time{}
	if at, ok := l.node.fresh.answered[Endpoints]; ok {
		b.answered = shifted(at, -by)
	}
	for k, m := range l.node.peers.statuses {
		b.statuses[k] = modelStatus{leaderStatus: leaderStatus{received: shifted(m.received, -by), readAt: shifted(m.readAt, -by), first: m.first}, transit: b.statuses[k].transit}
	}
}

// time advances model time by a tick. Each stream sends a message, and a stream without messages for
// too long ends.
func (w *modelWorld) time(n *modelState) bool {
	n.now = n.now.Add(modelTick)
	for i := range n.links {
		l := &n.links[i]
		if w.parents[i] < 0 || l.down {
			continue
		}
		if n.now.Sub(l.received) >= share.IdleTimeout {
			*l = modelLink{down: true}
			continue
		}
		w.send(n, i)
	}
	return true
}

// send puts one message on the stream to box i, as share.Server does: the status first, then the
// items.
func (w *modelWorld) send(n *modelState, i int) {
	p := w.parents[i]
	by := time.Since(n.now)
	b := w.make(n, p, by)
	m := modelMessage{sent: n.now}
	m.status, m.reading = b.node.status()
	m.transit = w.transitTime(n, p, b)
	items, _, _ := b.table.ItemsSince(0)
	l := &n.links[i]
	m.items = slices.Clone(items[len(items)-min(l.unsent, len(items)):])
	l.unsent = 0
	l.queue = append(l.queue, m)
}

// transitTime returns the transit time of the messages behind the status that box i relies on.
func (w *modelWorld) transitTime(n *modelState, i int, b live) time.Duration {
	now := time.Now()
	own, reads := b.node.fresh.age(now)
	received, current := b.node.peers.completeStatusAge(now)
	if current && (!reads || received <= own) {
		return n.boxes[i].statuses[boxName(w.parents[i])].transit
	}
	return 0
}

func (w *modelWorld) connect(n *modelState, i int) bool {
	by := time.Since(n.now)
	b := w.make(n, i, by)
	b.node.peers.resetStream(boxName(w.parents[i]))
	n.store(i, b, by)
	n.links[i] = modelLink{received: n.now, unsent: math.MaxInt}
	w.send(n, i)
	return true
}

// deliver passes the next message to a follower.
func (w *modelWorld) deliver(n *modelState, i int) bool {
	l := &n.links[i]
	m := l.queue[0]
	l.queue, l.received = l.queue[1:], n.now
	by := time.Since(n.now)
	b := w.make(n, i, by)
	b.table.Receive(m.items...)
	from := boxName(w.parents[i])
	if m.reading {
		old := b.node.peers.statuses[from]
		now := time.Now()
		b.node.peers.receiveStatus(from, m.status, now)
		n.store(i, b, by)
		if b.node.peers.statuses[from].readAt.After(old.readAt) {
			k := n.boxes[i].statuses[from]
			k.transit = m.transit + n.now.Sub(m.sent)
			n.boxes[i].statuses[from] = k
		}
	}
	n.store(i, b, by)
	w.markUnsent(n, i, m.items)
	return true
}

// markUnsent marks items as unsent for the followers of a box.
func (w *modelWorld) markUnsent(n *modelState, i int, accepted []*wire.Item) {
	if len(accepted) == 0 {
		return
	}
	for j, p := range w.parents {
		if p == i && !n.links[j].down {
			n.links[j].unsent = math.MaxInt
		}
	}
}

// ask begins a call as reader.run does; a box with a current leader stands by instead.
func (w *modelWorld) ask(n *modelState, i int) bool {
	by := time.Since(n.now)
	b := w.make(n, i, by)
	if b.reader.after != 0 && !b.node.mustRead(Endpoints) {
		b.reader.stopReading(time.Now())
		n.store(i, b, by)
		n.boxes[i].failingSince, n.boxes[i].deferred = time.Time{}, false
		return true
	}
	n.boxes[i].callStarted = n.now
	return true
}

// answer ends the pending call of a box.
func (w *modelWorld) answer(n *modelState, i int, err error, slow bool) bool {
	begun := n.boxes[i].callStarted
	by := time.Since(begun)
	b := w.make(n, i, by)
	m := &stepSource{state: n, after: n.now.Sub(begun), fail: err, slow: slow}
	if errors.As(err, &ErrHistoryLost{}) && b.reader.after == 0 {
		return false
	}
	b.reader.source = m
	_, failed := b.reader.step(context.Background())
	b.reader.noteResult(failed)
	if m.impossible {
		return false
	}
	n.boxes[i].callStarted = time.Time{}
	n.store(i, b, by)
	n.outage(i, failed)
	w.markUnsent(n, i, n.boxes[i].items)
	return true
}

// outage tracks how long calls of a box fail. A box without failed calls since it began to read must
// not defer removals, unless the source was restored.
func (s *modelState) outage(i int, err error) {
	b := &s.boxes[i]
	if err != nil && !errors.As(err, &ErrHistoryLost{}) {
		if b.failingSince.IsZero() {
			b.failingSince = s.now
		}
		return
	}
	if b.relistPending && b.failingSince.IsZero() && !b.deferred && s.epoch == 0 {
		s.fault = boxName(i) + " defers removals although no call failed"
	}
	b.failingSince, b.deferred = time.Time{}, b.relistPending
}

func (w *modelWorld) restart(n *modelState, i int) bool {
	n.left.restarts--
	n.boxes[i] = modelBox{statuses: make(map[string]modelStatus)}
	for j, p := range w.parents {
		if j == i || p == i {
			n.links[j] = modelLink{down: true}
		}
	}
	return true
}
