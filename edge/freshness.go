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

// The maximum staleness of a box is split among the steps of a fact's path: the leader's watch, the
// hops to a follower (each message carries the age of the read), and the follower's own call in case
// the source stops responding to the leader without an error. With 2 s: at most 0.67 s between two
// responses to the leader, and 0.3 s for each hop, so a status is at most 0.75 s old at the leader and
// 1.35 s two hops below it. At 1.5 s a box reads by itself, after at most another 0.1 s, which leaves
// 0.4 s for the call and for a leader with a slow link.
const (
	watchDivisor   = 3    // a third of the maximum staleness passes between two responses
	statusFraction = 0.75 // a status older than this fraction of the maximum staleness is ignored
)

// maxAnswerInterval returns the longest time between two responses to a box that reads.
func maxAnswerInterval(behind time.Duration) time.Duration { return behind / watchDivisor }

// maxStatusAge returns the age up to which the status of a box that reads the source counts.
func maxStatusAge(behind time.Duration) time.Duration {
	return time.Duration(float64(behind) * statusFraction)
}

// freshness records when the source last responded to this box. A call without a response tells
// nothing until it fails, so the time of the last response counts rather than the result of the last
// call.
type freshness struct {
	mu       sync.Mutex
	answered map[Collection]time.Time // missing: never read, the last call failed, or removals are deferred
}

// record records the result of a call for a collection.
func (f *freshness) record(c Collection, w readResult) {
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

// age returns the age of the oldest of the last reads of all collections; false if one has no valid
// read.
func (f *freshness) age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var most time.Duration
	for _, c := range [...]Collection{Configuration, Endpoints} {
		at, ok := f.answered[c]
		if !ok {
			return 0, false
		}
		most = max(most, now.Sub(at))
	}
	return most, true
}

// behind returns how far this box may lag behind the source.
func (n *Node) behind() time.Duration { return n.current.Load().Bounds.MaxStaleness() }

// readsSource reports whether this box has a recent read of its own.
func (n *Node) readsSource() bool {
	age, ok := n.fresh.age(clock.Now())
	return ok && age < maxStatusAge(n.behind())
}

// recordRead records the result of a call for a collection.
func (n *Node) recordRead(c Collection, w readResult) {
	n.fresh.record(c, w)
	n.extendCoverage(clock.Now())
	if w.current {
		n.checkpoints.advance(c, checkpoint{revision: w.revision, asOf: w.asOf})
	}
	if w.current && c == Configuration && !n.state.configUnreadable() {
		n.configFreshness.advance(w.startedAt)
	}
}

// recordList records the revision of a list.
func (n *Node) recordList(c Collection, revision Revision) {
	if c == Endpoints {
		n.listedRevision.Store(uint64(revision))
	}
}

// hasEnded reports whether an endpoint that is not in the table was removed before this box listed the
// source: the list did not contain it, and its last change is not after that list. For a request in
// quarantine it reports whether the quarantine has expired.
func (n *Node) hasEnded(i *wire.Item) bool {
	if isQuarantineOver(i, time.Now()) {
		return true
	}
	return n.Decoder.Kind(i.GetKey()) == KindEndpoint && !i.GetRemoved() && i.GetVersion() <= n.listedRevision.Load()
}

// sourceAge returns the age of the last read of the source, by this box or by one that it follows.
func (n *Node) sourceAge() (time.Duration, bool) {
	now := clock.Now()
	own, reads := n.fresh.age(now)
	received, current := n.peers.completeStatusAge(now)
	switch {
	case reads && current:
		return min(own, received), true
	case reads:
		return own, true
	}
	return received, current
}

// status returns how far this box has read the source, for the boxes that follow it.
func (n *Node) status() (share.ReadStatus, bool) {
	settled, endpoints := n.checkpoints.of(Configuration), n.checkpoints.of(Endpoints) // read before the age: they hold at least up to then
	age, ok := n.sourceAge()
	return share.ReadStatus{Age: age, SettledRevision: uint64(settled.revision), EndpointsRevision: uint64(endpoints.revision)}, ok
}

// mustRead reports whether this box has to read a collection: it leads its data centre, or its
// leader's updates are not current. Configuration is never removed, so for that collection a followed
// box is complete from its first status on.
func (n *Node) mustRead(c Collection) bool {
	if c == Configuration {
		now := clock.Now()
		_, current := n.peers.statusAge(now)
		return !current || n.mustConfirmConfig(now)
	}
	return !n.peers.leaderIsCurrent(clock.Now())
}

// sourceAges returns the ages of the last reads of the source, by this box and by its leader according
// to the followed box. An unknown age is left out.
func (n *Node) sourceAges() map[string]int64 {
	now := clock.Now()
	ages := make(map[string]int64)
	if age, ok := n.fresh.age(now); ok {
		ages["own_ms"] = age.Milliseconds()
	}
	if age, ok := n.peers.latestStatusAge(now); ok {
		ages["told_ms"] = age.Milliseconds()
	}
	return ages
}

// isSuperseded reports whether a received fact about an endpoint is outdated although its version is
// above the one in the table. This box has no gaps up to its checkpoint, but versions equal in content
// to the one before are not sent to it. Facts marked as kept or confirmed after a restore are never
// skipped that way.
func (n *Node) isSuperseded(i *wire.Item) bool {
	v := revisionOf(i)
	return n.Decoder.Kind(i.GetKey()) == KindEndpoint && v <= n.checkpoints.of(Endpoints).revision && !v.IsKept() && !v.IsConfirmed()
}

// isSame reports whether two versions of a fact are equal in content. A restored source publishes all
// facts under other revisions, and an endpoint rewrites its entry whenever an adapter is loaded or
// unloaded, which other boxes learn from its owner. Such versions need not be sent to all boxes.
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
	return errA == nil && errB == nil && a.EqualIgnoringAdapters(b)
}

func (n *Node) endpointOf(i *wire.Item) (*topology.Endpoint, error) {
	value, err := share.Value(i)
	if err != nil {
		return nil, err
	}
	return n.Decoder.Endpoint(i.GetKey(), value)
}
