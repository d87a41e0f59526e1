// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"time"

	"cairnwick.example/catalog"
)

// Verdict is the result of offering a head.
type Verdict int

// The verdicts.
const (
	Known     Verdict = iota + 1 // already in force or a candidate
	Older                        // precedes the head in force
	Candidate                    // waits for the end of its settling time
	InForce                      // put in force
	Rival                        // not based on the head in force
	Invalid                      // failed validation
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{"none", "known", "older", "candidate", "in force", "rival", "invalid"}[v]
}

// evaluate returns the verdict on a head, provided that it is valid.
func (k *Keeper) evaluate(h catalog.Head, peerInForce bool) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.evaluateLocked(h, peerInForce)
}

// evaluateLocked compares the digests and revisions of the offered head and the head in
// force, so it needs no shards.
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
	case h.DescendsFrom(current) && peerInForce:
		return InForce
	case h.DescendsFrom(current):
		return k.evaluateSuccessorLocked(h)
	case current.DescendsFrom(h):
		return Older
	case peerInForce && winsSplitBrain(h, current):
		return InForce
	case h.Revision() < current.Revision():
		return Older
	}
	return Rival
}

// evaluateSuccessorLocked returns the verdict on a head that may replace the one in force.
func (k *Keeper) evaluateSuccessorLocked(h catalog.Head) Verdict {
	if k.candidates[h.Digest()] != nil {
		return Known
	}
	if v, ok := k.rejected[h.Digest()]; ok {
		return v
	}
	return Candidate
}

// winsSplitBrain decides between two heads that came into force on the two sides of a
// network partition. The higher revision wins, then the lower digest, so that both sides
// choose the same head.
func winsSplitBrain(h, current catalog.Head) bool {
	if h.Revision() != current.Revision() {
		return h.Revision() > current.Revision()
	}
	return h.Digest() < current.Digest()
}

// maxRejected limits the remembered verdicts.
const maxRejected = 64

// reject remembers the verdict on a head, so that its shards are not fetched and
// validated again on every offer.
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

// winnerLocked returns when the first candidate's settling time ends, and the candidate
// that comes into force then: the one with the lowest digest among those based on the head
// in force. A candidate based on another candidate waits until that one is in force.
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

// precedes orders candidates by revision, then by digest.
func precedes(a, b catalog.Head) bool {
	if a.Revision() != b.Revision() {
		return a.Revision() < b.Revision()
	}
	return a.Digest() < b.Digest()
}
