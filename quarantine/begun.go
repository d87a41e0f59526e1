// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"sync"
	"time"
)

const (
	// begunTTL is how long the beginning of a response clears the parts of its prompt. A part that many requests share
	// begins several times a second, also while endpoints terminate.
	begunTTL = 10 * time.Second
	// maxBegun bounds the entries of a generation. Two full generations take 1.8 MB of heap.
	maxBegun = 8192
	// maxBegunServices bounds the services for which the latest response is known.
	maxBegunServices = 256
)

// begunParts remembers the parts of prompts to which endpoints recently began to respond: those that terminate endpoints
// do so before. It is safe for concurrent use; the zero value is empty.
type begunParts struct {
	mu       sync.Mutex
	parts    *generationMap
	services *generationMap
}

func (b *begunParts) initLocked() {
	if b.parts == nil {
		b.parts = &generationMap{lifetime: begunTTL, maxKeys: maxBegun}
		b.services = &generationMap{lifetime: begunTTL, maxKeys: maxBegunServices}
	}
}

// add records that an endpoint of a service began to respond to a request with these parts. It returns the fingerprints
// that were not known.
func (b *begunParts) add(service string, parts []Part, now time.Time) (added []Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	b.services.put(service, nil, now)
	for _, p := range parts {
		for _, f := range []Fingerprint{p.own, p.common} {
			if !b.parts.hasCurrent(string(f[:]), now) {
				added = append(added, f)
				b.parts.put(string(f[:]), nil, now)
			}
		}
	}
	return added
}

// addOne records that a part began somewhere.
func (b *begunParts) addOne(f Fingerprint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	b.parts.put(string(f[:]), nil, now)
}

// has reports whether an endpoint recently began to respond to a request with a part.
func (b *begunParts) has(f Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	_, ok := b.parts.get(string(f[:]), now)
	return ok
}

// hasService reports whether an endpoint of a service recently began to respond to a request.
func (b *begunParts) hasService(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	_, ok := b.services.get(service, now)
	return ok
}
