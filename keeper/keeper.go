// SPDX-License-Identifier: Apache-2.0

// Package keeper holds the configuration in force on one daemon and decides
// what may follow it.
//
// A head read from the platform is first a candidate: it is told to the peers,
// and after the settling time the candidate of the lowest digest among those
// made from the head in force wins. So two operators who publish on the same
// base end with one in force everywhere, also where watchers missed one of the
// two. A head that a peer has in force is taken over at once when it follows
// the own one. What is in force is never given up for an older head.
package keeper

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"cairnwick.example/catalog"
	"github.com/go-logr/logr"
)

// Keeper is safe for concurrent use. Set the exported fields before use.
type Keeper struct {
	Settle time.Duration
	Log    logr.Logger

	mu         sync.Mutex
	inForce    *document            // nil until the first is accepted
	candidates map[string]*document // by digest; each follows inForce
	rejected   map[string]Verdict   // heads that were Rival or Invalid, by digest; bounded
	changed    chan struct{}        // closed when another head comes into force
}

// New returns a keeper that holds nothing.
func New(settle time.Duration, log logr.Logger) *Keeper {
	return &Keeper{
		Settle:     settle,
		Log:        log,
		candidates: make(map[string]*document),
		rejected:   make(map[string]Verdict),
		changed:    make(chan struct{}),
	}
}

// Catalog returns the configuration in force, or nil when there is none yet.
func (k *Keeper) Catalog() *catalog.Catalog {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce == nil {
		return nil
	}
	return k.inForce.catalog
}

// Changed returns a channel that closes when another head comes into force.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Offer takes in a head document read from a source. Its shards are fetched
// there unless they are held already. An error says why a head is Invalid, or
// that its shards could not be fetched; the verdict is then zero.
func (k *Keeper) Offer(ctx context.Context, raw []byte, peerInForce bool, from Source) (Verdict, error) {
	h, err := catalog.ParseHead(raw)
	if err != nil {
		return Invalid, err
	}
	if v := k.evaluate(h, peerInForce); v != Candidate && v != InForce {
		return v, nil
	}
	shards, err := k.fetchShards(ctx, h, from)
	if err != nil {
		return 0, err
	}
	c, err := catalog.Build(h, shards, k.Catalog())
	if err == nil {
		err = k.checkVersions(c)
	}
	if err != nil {
		k.reject(h, Invalid)
		return Invalid, err
	}
	return k.admit(&document{head: h, shards: shards, catalog: c}, peerInForce), nil
}

// admit makes a checked document a candidate or puts it in force.
func (k *Keeper) admit(d *document, peerInForce bool) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.evaluateLocked(d.head, peerInForce)
	switch v {
	case InForce:
		k.activateLocked(d)
	case Candidate:
		d.settlesAt = time.Now().Add(k.Settle)
		k.candidates[d.head.Digest()] = d
	}
	return v
}

// activateLocked puts a document in force and drops the candidates that cannot follow it.
func (k *Keeper) activateLocked(d *document) {
	k.inForce = d
	for digest, c := range k.candidates {
		if !c.head.Follows(d.head) {
			delete(k.candidates, digest)
			k.rejectLoserLocked(c.head, d.head)
		}
	}
	close(k.changed)
	k.changed = make(chan struct{})
	debug.FreeOSMemory() // reading it left much behind, and it happens seldom
	k.Log.Info("Configuration is in force", "revision", d.head.Revision(), "digest", d.head.Digest())
}

// rejectLoserLocked refuses a candidate that another was preferred to.
func (k *Keeper) rejectLoserLocked(lost, won catalog.Head) {
	if lost.Digest() == won.Digest() {
		return
	}
	k.rejectLocked(lost, Rival)
	k.Log.Info("Published head lost to another on the same base; publish it again on the winner",
		"revision", lost.Revision(), "lost", lost.Digest(), "won", won.Digest())
}

// Tick puts the winning candidate in force once the first has settled, and
// returns when to call again; the zero time says that nothing waits.
func (k *Keeper) Tick(now time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	settlesAt, winner := k.winnerLocked()
	if winner == nil {
		return time.Time{}
	}
	if now.Before(settlesAt) {
		return settlesAt
	}
	k.activateLocked(winner)
	next, _ := k.winnerLocked()
	return next
}
