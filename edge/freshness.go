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

// How far a box may be behind its source is divided between the parts of the way of a fact: a leader's watch, the
// steps to a follower (each sends how long ago the source was read), and, where the source stops answering the
// leader without an error, the follower's own call. Of 2 s: 0.67 s between two answers to the leader, and 0.3 s for
// each step; so a status is at most 0.75 s old at the leader and 1.35 s two steps below it. At 1.5 s a box reads by
// itself, 0.1 s later at most, which leaves 0.4 s for the call and for a leader whose link is slow.
const (
	watchParts = 3    // the time between two answers is a third of it
	statusPart = 0.75 // a status that is older than this part of it is ignored
)

// watchTime returns how long a box that reads goes without an answer.
func watchTime(behind time.Duration) time.Duration { return behind / watchParts }

// statusTime returns how old the status of a box that reads the source may be.
func statusTime(behind time.Duration) time.Duration {
	return time.Duration(float64(behind) * statusPart)
}

// freshness is when the source last answered this box. A call that gets no answer says
// nothing of the source until it fails, so the time counts, not how the last call ended.
type freshness struct {
	mu       sync.Mutex
	answered map[Collection]time.Time // by collection; a missing one was never read, its last call failed, or its answer is held back
}

// note notes how a call for a collection went.
func (f *freshness) note(c Collection, w readOutcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answered == nil {
		f.answered = make(map[Collection]time.Time)
	}
	if w.current {
		f.answered[c] = w.asOf
		return
	}
	delete(f.answered, c)
}

// ago returns how long ago the collection was read whose last read is the oldest; false
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
func (n *Node) behind() time.Duration { return n.current.Load().Bounds.MaxStaleness() }

// reads reports whether this box reads the source by itself.
func (n *Node) reads() bool {
	ago, ok := n.fresh.ago(clock.Now())
	return ok && ago < statusTime(n.behind())
}

// noteRead notes how a call for a collection went.
func (n *Node) noteRead(c Collection, w readOutcome) {
	n.fresh.note(c, w)
	if w.current {
		n.checkpoints.advance(c, checkpoint{revision: w.revision, asOf: w.asOf})
	}
	if w.current && c == Settled && !n.state.unread() {
		n.vouched.raise(w.begun)
	}
}

// noteListed notes the revision of a list of the source.
func (n *Node) noteListed(c Collection, revision Revision) {
	if c == Endpoints {
		n.listedRevision.Store(uint64(revision))
	}
}

// hasEnded reports whether an endpoint that is not in the table had left when this box listed the source: its last
// change is not after the list, which did not have it. Of a request in quarantine it reports whether that has expired.
func (n *Node) hasEnded(i *wire.Item) bool {
	if isQuarantineOver(i, time.Now()) {
		return true
	}
	return n.Decoder.Kind(i.GetKey()) == KindEndpoint && !i.GetRemoved() && i.GetVersion() <= n.listedRevision.Load()
}

// readAgo returns how long ago this box, or one that it follows, read the source.
func (n *Node) readAgo() (time.Duration, bool) {
	now := clock.Now()
	own, reads := n.fresh.ago(now)
	received, informed := n.peers.completeStatusAge(now)
	switch {
	case reads && informed:
		return min(own, received), true
	case reads:
		return own, true
	}
	return received, informed
}

// status returns how far this box has read the source, for those that follow it.
func (n *Node) status() (share.Status, bool) {
	settled, endpoints := n.checkpoints.of(Settled), n.checkpoints.of(Endpoints) // first: they hold at least up to then
	age, ok := n.readAgo()
	return share.Status{Age: age, Settled: uint64(settled.revision), Endpoints: uint64(endpoints.revision)}, ok
}

// mustRead reports whether this box reads a collection of the source: it leads its data centre, or its leader does
// not send what it reads. Nothing that is settled is ever removed, so what a followed box sends of it is complete from
// its first status on.
func (n *Node) mustRead(c Collection) bool {
	if c == Settled {
		now := clock.Now()
		_, current := n.peers.statusAge(now)
		return !current || n.mustVouch(now)
	}
	return !n.peers.informed(clock.Now())
}

// sourceAges returns how long ago the source was read: by this box, and by its leader as the followed box reports; one
// that is not known is missing.
func (n *Node) sourceAges() map[string]int64 {
	now := clock.Now()
	ages := make(map[string]int64)
	if ago, ok := n.fresh.ago(now); ok {
		ages["own_ms"] = ago.Milliseconds()
	}
	if ago, ok := n.peers.latestStatusAge(now); ok {
		ages["told_ms"] = ago.Milliseconds()
	}
	return ages
}

// isSuperseded reports whether a fact about an endpoint, in a newer version than the table's, is older than what this
// box knows: it misses nothing up to its checkpoint, but does not receive versions that say the same as the one before. What
// boxes keep against a restored copy is said by no such version.
func (n *Node) isSuperseded(i *wire.Item) bool {
	v := revisionOf(i)
	return n.Decoder.Kind(i.GetKey()) == KindEndpoint && v <= n.checkpoints.of(Endpoints).revision && !v.IsKept() && !v.IsConfirmed()
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
