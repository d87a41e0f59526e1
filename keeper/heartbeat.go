// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"bytes"
	"encoding/hex"

	"cairnwick.example/catalog"
	"cairnwick.example/wire"
)

// digestPrefixBytes is how many bytes of a digest each heartbeat carries.
const digestPrefixBytes = 6

// digestPrefix returns the first bytes of a head's digest.
func digestPrefix(h catalog.Head) []byte {
	raw, err := hex.DecodeString(h.Digest()[:2*digestPrefixBytes])
	if err != nil {
		return nil // impossible: a digest is hexadecimal
	}
	return raw
}

// Find returns the head whose digest begins with prefix, or the head in force if
// prefix is empty.
func (k *Keeper) Find(prefix []byte) (raw []byte, inForce, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce != nil && (len(prefix) == 0 || bytes.Equal(prefix, digestPrefix(k.inForce.head))) {
		return k.inForce.head.Raw(), true, true
	}
	for _, d := range k.candidates {
		if bytes.Equal(prefix, digestPrefix(d.head)) {
			return d.head.Raw(), false, true
		}
	}
	return nil, false, false
}

// Attach adds the digest prefixes of the heads held here to a heartbeat.
func (k *Keeper) Attach(h *wire.Heartbeat) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce != nil {
		h.Head = digestPrefix(k.inForce.head)
	}
	for _, d := range k.candidates {
		h.Candidates = append(h.Candidates, digestPrefix(d.head))
	}
}

// unknownHeads returns the digest prefixes in a peer's heartbeat that need to be fetched,
// each with whether the peer has the head in force.
func (k *Keeper) unknownHeads(h *wire.Heartbeat) map[string]bool {
	unknown := make(map[string]bool)
	if len(h.GetHead()) > 0 {
		unknown[string(h.GetHead())] = true
	}
	for _, c := range h.GetCandidates() {
		unknown[string(c)] = false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce != nil {
		delete(unknown, string(digestPrefix(k.inForce.head)))
	}
	for _, d := range k.candidates {
		prefix := string(digestPrefix(d.head))
		if !unknown[prefix] { // a candidate here that is in force at the peer is fetched
			delete(unknown, prefix)
		}
	}
	return unknown
}
