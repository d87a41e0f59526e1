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

// This file drives the real reader, table, freshness and words of a few boxes through all
// orders of what can happen, breadth-first, each state once. A state is kept as plain
// values in model time; for one event its boxes are made again, with the times moved so
// that time.Now() of the bubble is the model's now. So the code needs no clock of its own,
// and nothing waits.

// modelTick is the step of model time: a stream says something at least so often.
const modelTick = share.BeatPause

// errModelSource is a call that the source does not answer.
var errModelSource = errors.New("the source does not answer")

// modelWord is a word with the time that messages for it were on their way: nobody can tell
// that time, so it is allowed for.
type modelWord struct {
	leaderStatus
	way time.Duration
}

// modelBox is what one box knows. Zero times are never.
type modelBox struct {
	items    []*wire.Item // oldest first
	after    Revision
	asOf     time.Time
	failing  bool
	trusted  time.Time
	unsure   bool
	holding  bool
	listed   uint64
	answered time.Time // as freshness keeps it; zero: not heard
	words    map[string]modelWord
	begun    time.Time  // of the call under way; zero: none
	failed   time.Time  // when calls began to fail since it reads; zero: they do not
	held     bool       // as unsure, at the answer before
	known    checkpoint // of the endpoints
	epoch    uint64     // of its last list
	doubted  time.Time  // until when a copy's entry may be of an endpoint that is gone
	copyOf   uint64     // the epoch of that copy
	relist   bool       // only a list tells what it missed
}

// modelMessage is one message of a stream.
type modelMessage struct {
	items   []*wire.Item
	reading bool
	word    share.Status
	sent    time.Time
	way     time.Duration
}

// modelLink is the stream from one box to the one that follows it.
type modelLink struct {
	down   bool
	heard  time.Time // when the follower last heard anything on it
	unsent int       // last items of the sender that it has not sent
	queue  []modelMessage
}

// modelChange is one change at the source; its number is its place, from 1.
type modelChange struct {
	at      time.Time
	removed bool
	epoch   uint64 // in which it was made
}

// modelState is everything. It is not changed once it was reached.
type modelState struct {
	now     time.Time
	changes []modelChange // of the endpoint e/1
	epoch   uint64        // of the source
	copied  time.Time     // when it came back from a copy last
	boxes   []modelBox
	links   []modelLink // to the box of the same number
	left    modelBudget
	path    []string
	fault   string // that an event showed
}

// modelBudget bounds what can happen besides time, calls and messages.
type modelBudget struct{ changes, restarts, breaks, restores int }

// modelWorld is what is explored: who follows whom, and the depth.
type modelWorld struct {
	parents []int // by box; -1: none
	depth   int
	silent  bool // the source says nothing more, and messages take a tick at the most
	states  int
	peers   []*peers // used again by every state: a table of members costs more than all the rest
}

func (s *modelState) clone() *modelState {
	n := *s
	n.changes = slices.Clone(s.changes)
	n.boxes = slices.Clone(s.boxes)
	for i := range n.boxes {
		n.boxes[i].items = slices.Clone(n.boxes[i].items)
		n.boxes[i].words = maps.Clone(n.boxes[i].words)
	}
	n.links = slices.Clone(s.links)
	for i := range n.links {
		n.links[i].queue = slices.Clone(n.links[i].queue)
	}
	n.path = slices.Clone(s.path)
	return &n
}

func boxName(i int) string { return fmt.Sprintf("b%d", i) }

// live is a box made again from a state.
type live struct {
	node   *Node
	reader *reader
	table  *share.Table
}

// moved is a time of the model as one of the bubble, or back.
func moved(t time.Time, by time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(by)
}

// make makes box i of the state, at the bubble's time that by adds.
func (w *modelWorld) make(s *modelState, i int, by time.Duration) live {
	b := &s.boxes[i]
	r, t := newReader(nil)
	t.Merge(b.items...)
	r.after, r.asOf, r.failing = b.after, moved(b.asOf, by), b.failing
	r.trusted, r.uncertain, r.holding = moved(b.trusted, by), b.unsure, b.holding
	n := &Node{Decoder: plainDecoder{}}
	n.listedRevision.Store(b.listed)
	r.epoch, r.doubted, r.doubtedIn = b.epoch, moved(b.doubted, by), b.copyOf
	t.Outlives = n.outlives
	r.forgotten = b.relist
	n.checkpoints.advance(Endpoints, checkpoint{revision: b.known.revision, asOf: moved(b.known.asOf, by)})
	r.checkpoint = func() checkpoint { return n.checkpoints.of(Endpoints) }
	r.listed = func(revision Revision) { n.noteListed(Endpoints, revision) }
	t.HasEnded, t.IsSuperseded = n.hasEnded, n.isSuperseded
	n.current.Store(&Settings{}) // bounds as where none is set
	if !b.answered.IsZero() {
		n.fresh.note(Endpoints, readOutcome{asOf: moved(b.answered, by), current: true})
		n.fresh.note(Settled, readOutcome{asOf: moved(s.now, by), current: true})
	}
	r.report = func(word readOutcome) {
		n.noteRead(Endpoints, word)
		n.fresh.note(Settled, readOutcome{asOf: time.Now(), current: true})
	}
	v := &clusterView{validUntil: time.Unix(math.MaxInt32, 0)}
	if p := w.parents[i]; p >= 0 {
		v.upstream, v.hops = box(boxName(p), "dc", 1, 400), 1
	}
	p := w.peers[i]
	v.version = p.table.Version()
	p.clusterViews.latest = v
	p.statuses = make(map[string]leaderStatus)
	for k, m := range b.words {
		p.statuses[k] = leaderStatus{received: moved(m.received, by), readAt: moved(m.readAt, by), first: m.first}
	}
	p.checkpoints = &n.checkpoints
	n.peers = p
	return live{node: n, reader: r, table: t}
}

// keep notes what box i knows after an event.
func (s *modelState) keep(i int, l live, by time.Duration) {
	b := &s.boxes[i]
	b.items, _, _ = l.table.Since(0)
	r := l.reader
	b.after, b.asOf, b.failing = r.after, moved(r.asOf, -by), r.failing
	b.trusted, b.unsure, b.holding = moved(r.trusted, -by), r.uncertain, r.holding
	b.relist = r.forgotten || r.afterOutage
	b.epoch, b.doubted, b.copyOf = r.epoch, moved(r.doubted, -by), r.doubtedIn
	k := l.node.checkpoints.of(Endpoints)
	b.known = checkpoint{revision: k.revision, asOf: moved(k.asOf, -by)}
	b.listed, b.answered = l.node.listedRevision.Load(), time.Time{}
	if at, ok := l.node.fresh.answered[Endpoints]; ok {
		b.answered = moved(at, -by)
	}
	for k, m := range l.node.peers.statuses {
		b.words[k] = modelWord{leaderStatus: leaderStatus{received: moved(m.received, -by), readAt: moved(m.readAt, -by), first: m.first}, way: b.words[k].way}
	}
}

// time passes; each stream says something, and one that was silent for too long ends.
func (w *modelWorld) time(n *modelState) bool {
	n.now = n.now.Add(modelTick)
	for i := range n.links {
		l := &n.links[i]
		if w.parents[i] < 0 || l.down {
			continue
		}
		if n.now.Sub(l.heard) >= share.SilentAfter {
			*l = modelLink{down: true}
			continue
		}
		w.say(n, i)
	}
	return true
}

// say makes one message of the stream to box i, as share.Server does: the word first, then
// the items.
func (w *modelWorld) say(n *modelState, i int) {
	p := w.parents[i]
	by := time.Since(n.now)
	b := w.make(n, p, by)
	m := modelMessage{sent: n.now}
	m.word, m.reading = b.node.status()
	m.way = w.way(n, p, b)
	items, _, _ := b.table.Since(0)
	l := &n.links[i]
	m.items = slices.Clone(items[len(items)-min(l.unsent, len(items)):])
	l.unsent = 0
	l.queue = append(l.queue, m)
}

// way is how long the messages were on their way of the word that box i goes by.
func (w *modelWorld) way(n *modelState, i int, b live) time.Duration {
	now := time.Now()
	own, reads := b.node.fresh.ago(now)
	told, informed := b.node.peers.completeStatusAge(now)
	if informed && (!reads || told <= own) {
		return n.boxes[i].words[boxName(w.parents[i])].way
	}
	return 0
}

func (w *modelWorld) connect(n *modelState, i int) bool {
	by := time.Since(n.now)
	b := w.make(n, i, by)
	b.node.peers.begin(boxName(w.parents[i]))
	n.keep(i, b, by)
	n.links[i] = modelLink{heard: n.now, unsent: math.MaxInt}
	w.say(n, i)
	return true
}

// hear lets a follower take the next message.
func (w *modelWorld) hear(n *modelState, i int) bool {
	l := &n.links[i]
	m := l.queue[0]
	l.queue, l.heard = l.queue[1:], n.now
	by := time.Since(n.now)
	b := w.make(n, i, by)
	b.table.Receive(m.items...)
	from := boxName(w.parents[i])
	if m.reading {
		old := b.node.peers.statuses[from]
		now := time.Now()
		b.node.peers.receiveStatus(from, m.word, now)
		n.keep(i, b, by)
		if b.node.peers.statuses[from].readAt.After(old.readAt) {
			k := n.boxes[i].words[from]
			k.way = m.way + n.now.Sub(m.sent)
			n.boxes[i].words[from] = k
		}
	}
	n.keep(i, b, by)
	w.changed(n, i, m.items)
	return true
}

// changed counts what the followers of a box have not been sent.
func (w *modelWorld) changed(n *modelState, i int, took []*wire.Item) {
	if len(took) == 0 {
		return
	}
	for j, p := range w.parents {
		if p == i && !n.links[j].down {
			n.links[j].unsent = math.MaxInt
		}
	}
}

// ask begins a call, as run does: a box that is told stands by.
func (w *modelWorld) ask(n *modelState, i int) bool {
	by := time.Since(n.now)
	b := w.make(n, i, by)
	if b.reader.after != 0 && !b.node.mustRead(Endpoints) {
		b.reader.stopReading(time.Now())
		n.keep(i, b, by)
		n.boxes[i].failed, n.boxes[i].held = time.Time{}, false
		return true
	}
	n.boxes[i].begun = n.now
	return true
}

// answer ends the call of a box.
func (w *modelWorld) answer(n *modelState, i int, err error, slow bool) bool {
	begun := n.boxes[i].begun
	by := time.Since(begun)
	b := w.make(n, i, by)
	m := &stepSource{state: n, after: n.now.Sub(begun), fail: err, slow: slow}
	if errors.As(err, &ErrForgotten{}) && b.reader.after == 0 {
		return false
	}
	b.reader.source = m
	_, failed := b.reader.step(context.Background())
	b.reader.note(failed)
	if m.never {
		return false
	}
	n.boxes[i].begun = time.Time{}
	n.keep(i, b, by)
	n.outage(i, failed)
	w.changed(n, i, n.boxes[i].items)
	return true
}

// outage notes how long calls of a box fail. Where none did since it reads, and the source was not restored, nothing
// may be kept for the sake of an outage.
func (s *modelState) outage(i int, err error) {
	b := &s.boxes[i]
	if err != nil && !errors.As(err, &ErrForgotten{}) {
		if b.failed.IsZero() {
			b.failed = s.now
		}
		return
	}
	if b.unsure && b.failed.IsZero() && !b.held && s.epoch == 0 {
		s.fault = boxName(i) + " holds removals back though no call had failed"
	}
	b.failed, b.held = time.Time{}, b.unsure
}

func (w *modelWorld) restart(n *modelState, i int) bool {
	n.left.restarts--
	n.boxes[i] = modelBox{words: make(map[string]modelWord)}
	for j, p := range w.parents {
		if j == i || p == i {
			n.links[j] = modelLink{down: true}
		}
	}
	return true
}
