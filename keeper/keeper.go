// SPDX-License-Identifier: Apache-2.0

// Package keeper holds the configuration in force on one daemon and decides which
// configuration may replace it.
//
// A configuration is a head document, which names shards by digest, and the shards. A
// head read from the platform is a candidate at first and is announced to the peers. After
// the settling time the candidate with the lowest digest, among those based on the head in
// force, comes into force. So if two operators publish on the same base, the same one of
// the two comes into force everywhere, even where watchers missed the other. A head that a
// peer has in force comes into force at once if it follows the own one. The head in force
// is never replaced by an older one.
package keeper

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"cairnwick.example/catalog"
	"github.com/go-logr/logr"
)

// Keeper holds the configuration in force and the candidates to replace it. It is safe
// for concurrent use. Set the exported fields before use.
type Keeper struct {
	Settle time.Duration // settling time of a candidate
	Log    logr.Logger

	mu         sync.Mutex
	inForce    *document            // nil until there is one
	candidates map[string]*document // by digest; each follows inForce
	rejected   map[string]Verdict   // Rival and Invalid heads, by digest; at most maxRejected
	changed    chan struct{}        // closed when another head comes into force
}

// New returns a keeper without a configuration.
func New(settle time.Duration, log logr.Logger) *Keeper {
	return &Keeper{
		Settle:     settle,
		Log:        log,
		candidates: make(map[string]*document),
		rejected:   make(map[string]Verdict),
		changed:    make(chan struct{}),
	}
}

// Catalog returns the configuration in force, or nil if there is none yet.
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

// Offer evaluates a head document read from a source, and makes it a candidate or puts
// it in force if it qualifies. Shards that are not held yet are fetched from the source.
// An error says why a head is Invalid, or that its shards could not be fetched; the
// verdict is zero in the latter case.
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

// admit makes a validated document a candidate or puts it in force, as its head's
// verdict says.
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

// activateLocked puts a document in force and rejects the candidates that are not based on it.
func (k *Keeper) activateLocked(d *document) {
	k.inForce = d
	for digest, c := range k.candidates {
		if !c.head.DescendsFrom(d.head) {
			delete(k.candidates, digest)
			k.rejectLoserLocked(c.head, d.head)
		}
	}
	close(k.changed)
	k.changed = make(chan struct{})
	debug.FreeOSMemory() // parsing a configuration leaves much garbage, and activations are rare
	k.Log.Info("Configuration is in force", "revision", d.head.Revision(), "digest", d.head.Digest())
}

// rejectLoserLocked rejects a candidate over which another one was preferred.
func (k *Keeper) rejectLoserLocked(lost, won catalog.Head) {
	if lost.Digest() == won.Digest() {
		return
	}
	k.rejectLocked(lost, Rival)
	k.Log.Info("Published head lost to another one on the same base; publish it again on the winner",
		"revision", lost.Revision(), "lost", lost.Digest(), "won", won.Digest())
}

// Tick puts the winning candidate in force once the first candidate's settling time
// has ended, and returns when to call it again, or the zero time if there are no
// candidates.
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
