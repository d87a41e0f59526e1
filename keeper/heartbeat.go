// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"bytes"
	"encoding/hex"

	"cairnwick.example/catalog"
	"cairnwick.example/wire"
)

const prefixBytes = 6 // of a digest, told in every heartbeat

// prefix returns the first bytes of a head's digest.
func prefix(h catalog.Head) []byte {
	raw, err := hex.DecodeString(h.Digest()[:2*prefixBytes])
	if err != nil {
		return nil // a digest is hexadecimal
	}
	return raw
}

// Find returns the head whose digest begins with the given bytes, or the one in
// force when there are none given.
func (k *Keeper) Find(start []byte) (raw []byte, inForce, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce != nil && (len(start) == 0 || bytes.Equal(start, prefix(k.inForce.head))) {
		return k.inForce.head.Raw(), true, true
	}
	for _, d := range k.candidates {
		if bytes.Equal(start, prefix(d.head)) {
			return d.head.Raw(), false, true
		}
	}
	return nil, false, false
}

// Attach adds the heads held here to a heartbeat.
func (k *Keeper) Attach(h *wire.Heartbeat) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce != nil {
		h.Head = prefix(k.inForce.head)
	}
	for _, d := range k.candidates {
		h.Candidates = append(h.Candidates, prefix(d.head))
	}
}

// unknown returns those heads told by a peer that are not held here. The flag
// of each says whether the peer has it in force.
func (k *Keeper) unknown(h *wire.Heartbeat) map[string]bool {
	want := make(map[string]bool)
	if len(h.GetHead()) > 0 {
		want[string(h.GetHead())] = true
	}
	for _, c := range h.GetCandidates() {
		want[string(c)] = false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inForce != nil {
		delete(want, string(prefix(k.inForce.head)))
	}
	for _, d := range k.candidates {
		start := string(prefix(d.head))
		if !want[start] { // one that came into force there is news
			delete(want, start)
		}
	}
	return want
}
