// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"bytes"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
)

// How far a box may be behind its source is divided between the parts of the way of a fact:
// a leader's watch, the steps to a follower (at each a word of how long ago the source was
// heard), and, where the source stops answering the leader without an error, the follower's
// own call. Of 2 s: 0.67 s between two answers to the leader,
// and 0.3 s for each step; so a word is at most 0.75 s old at the leader and 1.35 s two steps
// below it. At 1.5 s a box reads by itself, 0.1 s later at most, which leaves 0.4 s for the
// call and for a leader whose link is slow.
const (
	watchParts = 3    // the time between two answers is a third of it
	wordPart   = 0.75 // a word that is older than this part of it is none
)

// watchTime returns how long a box that reads goes without an answer.
func watchTime(behind time.Duration) time.Duration { return behind / watchParts }

// wordTime returns how old the word of a box that hears the source may be.
func wordTime(behind time.Duration) time.Duration {
	return time.Duration(float64(behind) * wordPart)
}

// freshness is when the source last answered this box. A call that gets no answer says
// nothing of the source until it fails, so the time counts, not how the last call ended.
type freshness struct {
	mu       sync.Mutex
	answered map[Collection]time.Time // a collection that is missing was not heard, its last call failed, or what it said is held back
}

// note notes how a call for a collection went.
func (f *freshness) note(c Collection, w readOutcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answered == nil {
		f.answered = make(map[Collection]time.Time)
	}
	if w.heard {
		f.answered[c] = w.asOf
		return
	}
	delete(f.answered, c)
}

// ago returns how long ago the collection was heard that was heard the longest ago; false
// where one was not.
func (f *freshness) ago(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var most time.Duration
	for _, c := range [...]Collection{Settled, Endpoints} {
		at, ok := f.answered[c]
		if !ok {
			return 0, false
		}
		most = max(most, now.Sub(at))
	}
	return most, true
}

// behind returns how far this box may be behind the source.
func (n *Node) behind() time.Duration { return n.current.Load().Bounds.Behind() }

// reads tells whether this box hears the source by itself.
func (n *Node) reads() bool {
	ago, ok := n.fresh.ago(clock.Now())
	return ok && ago < wordTime(n.behind())
}

// noteRead notes how a call for a collection went.
func (n *Node) noteRead(c Collection, w readOutcome) {
	n.fresh.note(c, w)
	if w.heard {
		n.known.raise(c, mark{revision: w.revision, asOf: w.asOf})
	}
	if w.heard && c == Settled && !n.state.unread() {
		n.vouched.raise(w.begun)
	}
}

// noteListed notes the revision of a list of the source.
func (n *Node) noteListed(c Collection, revision Revision) {
	if c == Endpoints {
		n.listed.Store(uint64(revision))
	}
}

// isOver tells of an endpoint that is not in the table whether it had left when this box
// listed the source: its last change is not after the list, which did not have it. It tells of a
// request that is kept from endpoints whether its time is over.
func (n *Node) isOver(i *wire.Item) bool {
	if isQuarantineOver(i, time.Now()) {
		return true
	}
	return n.Decoder.Kind(i.GetKey()) == KindEndpoint && !i.GetRemoved() && i.GetVersion() <= n.listed.Load()
}

// readAgo tells how long ago this box, or one that it follows, heard the source.
func (n *Node) readAgo() (time.Duration, bool) {
	now := clock.Now()
	own, reads := n.fresh.ago(now)
	told, informed := n.peers.heardAgo(now)
	switch {
	case reads && informed:
		return min(own, told), true
	case reads:
		return own, true
	}
	return told, informed
}

// word says how far this box has heard the source, for those that follow it.
func (n *Node) word() (share.Word, bool) {
	settled, endpoints := n.known.of(Settled), n.known.of(Endpoints) // first: they hold at least up to then
	age, ok := n.readAgo()
	return share.Word{Age: age, Settled: uint64(settled.revision), Endpoints: uint64(endpoints.revision)}, ok
}

// mustRead tells whether this box reads a collection of the source: it leads its data
// centre, or its leader does not tell it what it reads. Nothing that is settled is ever
// removed, so what a followed box tells of it is complete from its first word on.
func (n *Node) mustRead(c Collection) bool {
	if c == Settled {
		now := clock.Now()
		_, told := n.peers.wordAgo(now)
		return !told || n.mustVouch(now)
	}
	return !n.peers.informed(clock.Now())
}

// sourceAges tells how long ago the source was heard: by this box, and by its leader as
// the box that it follows tells; a box that was not heard of is missing.
func (n *Node) sourceAges() map[string]int64 {
	now := clock.Now()
	ages := make(map[string]int64)
	if ago, ok := n.fresh.ago(now); ok {
		ages["own_ms"] = ago.Milliseconds()
	}
	if ago, ok := n.peers.toldAgo(now); ok {
		ages["told_ms"] = ago.Milliseconds()
	}
	return ages
}

// isOld tells of a fact about an endpoint, in a newer version than this box has, whether it is older
// than what this box knows: up to a revision it misses nothing, but was not told of versions that
// say the same as the one before. What boxes keep against a restored copy is said by no such version.
func (n *Node) isOld(i *wire.Item) bool {
	v := revisionOf(i)
	return n.Decoder.Kind(i.GetKey()) == KindEndpoint && v <= n.known.of(Endpoints).revision && !v.IsKept() && !v.IsConfirmed()
}

// isSame reports whether two versions of a fact say the same. A restored source gives all facts with other revisions,
// and an endpoint writes its entry anew whenever an adapter comes or goes, which boxes get from its owner: such a
// fact need not be sent to all boxes as well.
func (n *Node) isSame(old, now *wire.Item) bool {
	kind := n.Decoder.Kind(now.GetKey())
	if kind == KindOther || revisionOf(now).IsKept() || revisionOf(now).IsConfirmed() || old.GetRemoved() || now.GetRemoved() {
		return false
	}
	if kind != KindEndpoint {
		return bytes.Equal(old.GetValue(), now.GetValue()) && bytes.Equal(old.GetPacked(), now.GetPacked())
	}
	a, errA := n.endpointOf(old)
	b, errB := n.endpointOf(now)
	return errA == nil && errB == nil && a.Alike(b)
}

func (n *Node) endpointOf(i *wire.Item) (*topology.Endpoint, error) {
	value, err := share.Value(i)
	if err != nil {
		return nil, err
	}
	return n.Decoder.Endpoint(i.GetKey(), value)
}
