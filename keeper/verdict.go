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

// evaluate tells what a head would become now.
func (k *Keeper) evaluate(h catalog.Head, peerInForce bool) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.evaluateLocked(h, peerInForce)
}

// evaluateLocked needs no shards: the digests and the revisions of both heads decide.
func (k *Keeper) evaluateLocked(h catalog.Head, peerInForce bool) Verdict {
	if k.inForce == nil {
		if peerInForce {
			return InForce
		}
		return k.evaluateSuccessorLocked(h)
	}
	current := k.inForce.head
	switch {
	case current.Digest() == h.Digest():
		return Known
	case h.Follows(current) && peerInForce:
		return InForce
	case h.Follows(current):
		return k.evaluateSuccessorLocked(h)
	case current.Follows(h):
		return Older
	case peerInForce && winsSplitBrain(h, current):
		return InForce
	case h.Revision() < current.Revision():
		return Older
	}
	return Rival
}

// evaluateSuccessorLocked tells what a head is that may follow the one in force.
func (k *Keeper) evaluateSuccessorLocked(h catalog.Head) Verdict {
	if k.candidates[h.Digest()] != nil {
		return Known
	}
	if v, ok := k.rejected[h.Digest()]; ok {
		return v
	}
	return Candidate
}

// winsSplitBrain decides between two heads that came into force on two sides of a
// cut: the higher revision wins, then the lower digest, on both sides alike.
func winsSplitBrain(h, current catalog.Head) bool {
	if h.Revision() != current.Revision() {
		return h.Revision() > current.Revision()
	}
	return h.Digest() < current.Digest()
}

const maxRejected = 64 // verdicts remembered

// reject remembers a verdict, so that the head is not read again with every offer.
func (k *Keeper) reject(h catalog.Head, v Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rejectLocked(h, v)
}

func (k *Keeper) rejectLocked(h catalog.Head, v Verdict) {
	if len(k.rejected) >= maxRejected {
		clear(k.rejected)
	}
	k.rejected[h.Digest()] = v
}

// winnerLocked returns when the first candidate has settled and which one wins
// then: among those made from the head in force the lowest digest. A candidate
// that only follows another candidate waits for it.
func (k *Keeper) winnerLocked() (time.Time, *document) {
	var settlesAt time.Time
	var winner *document
	for _, d := range k.candidates {
		if settlesAt.IsZero() || d.settlesAt.Before(settlesAt) {
			settlesAt = d.settlesAt
		}
		if winner == nil || precedes(d.head, winner.head) {
			winner = d
		}
	}
	return settlesAt, winner
}

// precedes orders candidates: a lower revision first, then the lower digest.
func precedes(a, b catalog.Head) bool {
	if a.Revision() != b.Revision() {
		return a.Revision() < b.Revision()
	}
	return a.Digest() < b.Digest()
}
