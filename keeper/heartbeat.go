// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"bytes"
	"encoding/hex"

	"cairnwick.example/catalog"
	"cairnwick.example/wire"
)

const digestPrefixBytes = 6 // of a digest, told in every heartbeat

// digestPrefix returns the first bytes of a head's digest.
func digestPrefix(h catalog.Head) []byte {
	raw, err := hex.DecodeString(h.Digest()[:2*digestPrefixBytes])
	if err != nil {
		return nil // a digest is hexadecimal
	}
	return raw
}

// Find returns the head whose digest begins with the given bytes, or the one in
// force when there are none given.
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

// Fill adds the heads held here to a heartbeat.
func (k *Keeper) Fill(h *wire.Heartbeat) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce != nil {
		h.Head = digestPrefix(k.inForce.head)
	}
	for _, d := range k.candidates {
		h.Candidates = append(h.Candidates, digestPrefix(d.head))
	}
}

// unknownHeads returns those heads told by a peer that are not held here. The flag
// of each says whether the peer has it in force.
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
		if !unknown[prefix] { // one that came into force there is news
			delete(unknown, prefix)
		}
	}
	return unknown
}
