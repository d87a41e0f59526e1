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
	"github.com/pkg/errors"
)

// Source gives documents: the platform or a peer.
type Source interface {
	// Head returns a head document, and whether it is in force at the source.
	// An empty prefix asks for the newest, another for the head whose digest
	// begins with it.
	Head(ctx context.Context, prefix []byte) (raw []byte, inForce bool, err error)
	// Shard returns the shard of a digest.
	Shard(ctx context.Context, digest string) ([]byte, error)
}

// Verdict says what became of an offered head.
type Verdict int

// The verdicts.
const (
	Known     Verdict = iota + 1 // in force already, or a candidate already
	Older                        // the head in force follows it
	Candidate                    // waits for the settling time
	InForce                      // accepted
	Rival                        // made from another head than the one in force
	Invalid                      // it does not hold
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"none", "known", "older", "candidate", "in force", "rival", "invalid"}[v]
}

// document is a head with all its shards, checked.
type document struct {
	head    catalog.Head
	shards  map[string][]byte // by name
	catalog *catalog.Catalog
	until   time.Time // of a candidate: when it may come into force
}

// Keeper is safe for concurrent use. Set the exported fields before use.
type Keeper struct {
	Settle time.Duration
	Log    logr.Logger

	mu         sync.Mutex
	inForce    *document            // nil until the first is accepted
	since      time.Time            // when it came into force here
	candidates map[string]*document // by digest; each follows inForce
	refused    map[string]Verdict   // heads that were Rival or Invalid, by digest; bounded
	changed    chan struct{}        // closed when another head comes into force
}

const maxRefused = 64 // verdicts remembered

// New returns a keeper that holds nothing.
func New(settle time.Duration, log logr.Logger) *Keeper {
	return &Keeper{
		Settle:     settle,
		Log:        log,
		candidates: make(map[string]*document),
		refused:    make(map[string]Verdict),
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

// Since returns when the configuration came into force here.
func (k *Keeper) Since() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.since
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
	if v := k.judge(h, peerInForce); v != Candidate && v != InForce {
		return v, nil
	}
	shards, err := k.fetch(ctx, h, from)
	if err != nil {
		return 0, err
	}
	c, err := catalog.Build(h, shards, k.Catalog())
	if err == nil {
		err = k.checkVersions(c)
	}
	if err != nil {
		k.refuse(h, Invalid)
		return Invalid, err
	}
	return k.take(&document{head: h, shards: shards, catalog: c}, peerInForce), nil
}

// judge tells what a head would become now.
func (k *Keeper) judge(h catalog.Head, peerInForce bool) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.judgeLocked(h, peerInForce)
}

func (k *Keeper) judgeLocked(h catalog.Head, peerInForce bool) Verdict {
	if k.inForce == nil {
		if peerInForce {
			return InForce
		}
		return k.candidateLocked(h)
	}
	mine := k.inForce.head
	switch {
	case mine.Digest() == h.Digest():
		return Known
	case h.Follows(mine) && peerInForce:
		return InForce
	case h.Follows(mine):
		return k.candidateLocked(h)
	case mine.Follows(h):
		return Older
	case peerInForce && winsFork(h, mine):
		return InForce
	case h.Revision() < mine.Revision():
		return Older
	}
	return Rival
}

func (k *Keeper) candidateLocked(h catalog.Head) Verdict {
	if k.candidates[h.Digest()] != nil {
		return Known
	}
	if v, ok := k.refused[h.Digest()]; ok {
		return v
	}
	return Candidate
}

// winsFork decides between two heads that came into force on two sides of a
// cut: the higher revision wins, then the lower digest, on both sides alike.
func winsFork(h, mine catalog.Head) bool {
	if h.Revision() != mine.Revision() {
		return h.Revision() > mine.Revision()
	}
	return h.Digest() < mine.Digest()
}

// fetch gathers the shards that a head names.
func (k *Keeper) fetch(ctx context.Context, h catalog.Head, from Source) (map[string][]byte, error) {
	shards := make(map[string][]byte)
	for _, n := range h.Shards() {
		digest := h.ShardDigest(n)
		if raw, ok := k.Shard(digest); ok {
			shards[n] = raw
			continue
		}
		raw, err := from.Shard(ctx, digest)
		if err != nil {
			return nil, errors.Wrapf(err, "keeper: shard %s of revision %d", n, h.Revision())
		}
		shards[n] = raw
	}
	return shards, nil
}

// checkVersions refuses a catalog that changes what a published version is.
func (k *Keeper) checkVersions(next *catalog.Catalog) error {
	old := k.Catalog()
	if old == nil {
		return nil
	}
	var found []catalog.Problem
	for _, n := range next.Adapters() {
		now, _ := next.Adapter(n)
		before, known := old.Adapter(n)
		if !known {
			continue
		}
		found = append(found, changedVersions(before, now)...)
	}
	if len(found) > 0 {
		return &catalog.CheckError{Revision: next.Revision(), Problems: found}
	}
	return nil
}

func changedVersions(before, now catalog.Adapter) []catalog.Problem {
	var found []catalog.Problem
	for _, v := range now.Versions() {
		path, _ := now.Path(v)
		old, had := before.Path(v)
		if had && (old != path || before.Base() != now.Base()) {
			found = append(found, catalog.Problem{
				Document: "all shards",
				Field:    "adapters[" + now.Name() + "].versions[" + v + "]",
				Value:    path,
				Mend:     "a published version never changes; publish a new version",
			})
		}
	}
	return found
}

// take makes a checked document a candidate or puts it in force.
func (k *Keeper) take(d *document, peerInForce bool) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.judgeLocked(d.head, peerInForce)
	switch v {
	case InForce:
		k.acceptLocked(d)
	case Candidate:
		d.until = time.Now().Add(k.Settle)
		k.candidates[d.head.Digest()] = d
	}
	return v
}

func (k *Keeper) acceptLocked(d *document) {
	k.inForce = d
	k.since = time.Now()
	for digest, c := range k.candidates {
		if !c.head.Follows(d.head) {
			delete(k.candidates, digest)
			k.loseLocked(c.head, d.head)
		}
	}
	close(k.changed)
	k.changed = make(chan struct{})
	debug.FreeOSMemory() // reading it left much behind, and it happens seldom
	k.Log.Info("Configuration is in force", "revision", d.head.Revision(), "digest", d.head.Digest())
}

func (k *Keeper) loseLocked(lost, won catalog.Head) {
	if lost.Digest() == won.Digest() {
		return
	}
	k.refuseLocked(lost, Rival)
	k.Log.Info("Published head lost to another on the same base; publish it again on the winner",
		"revision", lost.Revision(), "lost", lost.Digest(), "won", won.Digest())
}

func (k *Keeper) refuse(h catalog.Head, v Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refuseLocked(h, v)
}

func (k *Keeper) refuseLocked(h catalog.Head, v Verdict) {
	if len(k.refused) >= maxRefused {
		clear(k.refused)
	}
	k.refused[h.Digest()] = v
}

// Tick puts the winning candidate in force once the first has settled, and
// returns when to call again; the zero time says that nothing waits.
func (k *Keeper) Tick(now time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	first, winner := k.winnerLocked()
	if winner == nil {
		return time.Time{}
	}
	if now.Before(first) {
		return first
	}
	k.acceptLocked(winner)
	next, _ := k.winnerLocked()
	return next
}

// winnerLocked returns when the first candidate has settled and which one wins
// then: among those made from the head in force the lowest digest. A candidate
// that only follows another candidate waits for it.
func (k *Keeper) winnerLocked() (time.Time, *document) {
	var first time.Time
	var winner *document
	for _, d := range k.candidates {
		if first.IsZero() || d.until.Before(first) {
			first = d.until
		}
		if winner == nil || precedes(d.head, winner.head) {
			winner = d
		}
	}
	return first, winner
}

// precedes orders candidates: a lower revision first, then the lower digest.
func precedes(a, b catalog.Head) bool {
	if a.Revision() != b.Revision() {
		return a.Revision() < b.Revision()
	}
	return a.Digest() < b.Digest()
}

// Shard returns a shard's text by digest, when it is held.
func (k *Keeper) Shard(digest string) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if raw, ok := k.inForce.shard(digest); ok {
		return raw, true
	}
	for _, d := range k.candidates {
		if raw, ok := d.shard(digest); ok {
			return raw, true
		}
	}
	return nil, false
}

func (d *document) shard(digest string) ([]byte, bool) {
	if d == nil {
		return nil, false
	}
	for _, n := range d.head.Shards() {
		if d.head.ShardDigest(n) == digest {
			return d.shards[n], true
		}
	}
	return nil, false
}
