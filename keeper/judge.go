// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"time"

	"cairnwick.example/catalog"
)

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

// judge tells what a head would become now.
func (k *Keeper) judge(h catalog.Head, peerInForce bool) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.judgeLocked(h, peerInForce)
}

// judgeLocked needs no shards: the digests and the revisions of both heads decide.
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
	case h.DescendsFrom(mine) && peerInForce:
		return InForce
	case h.DescendsFrom(mine):
		return k.candidateLocked(h)
	case mine.DescendsFrom(h):
		return Older
	case peerInForce && winsFork(h, mine):
		return InForce
	case h.Revision() < mine.Revision():
		return Older
	}
	return Rival
}

// candidateLocked tells what a head is that may follow the one in force.
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

const maxRefused = 64 // verdicts remembered

// refuse remembers a verdict, so that the head is not read again with every offer.
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
