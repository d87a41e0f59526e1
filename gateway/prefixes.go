// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixTable maps the start of a prompt to the endpoint that last served one: its engine may still have
// the prefix in its cache. This is only a hint for placement. The table is bounded. It is safe for
// concurrent use.
type prefixTable struct {
	mu         sync.Mutex
	entries    map[uint64]prefixEntry // by hashPrefix
	maxEntries int                    // zero disables the table
}

// prefixEntry is where and when a prompt was last served.
type prefixEntry struct {
	endpoint string
	servedAt time.Time
}

const (
	maxPrefixBytes = 64              // bytes of a prompt that are hashed
	prefixTTL      = 2 * time.Minute // an engine is assumed to have evicted the prefix after that
)

func newPrefixTable(maxEntries int) *prefixTable {
	return &prefixTable{entries: make(map[uint64]prefixEntry), maxEntries: maxEntries}
}

// hashPrefix hashes an adapter and the start of a prompt.
func hashPrefix(adapter, prompt string) uint64 {
	return xxhash.Sum64String(adapter + "\x00" + prompt[:min(len(prompt), maxPrefixBytes)])
}

// lastEndpoint returns the endpoint that last served a prompt with this prefix; "" if there is none or its
// entry has expired.
func (p *prefixTable) lastEndpoint(prefix uint64, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.entries[prefix]
	if now.Sub(entry.servedAt) > prefixTTL {
		return ""
	}
	return entry.endpoint
}

// record records the endpoint that served a prompt.
func (p *prefixTable) record(prefix uint64, endpoint string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range p.entries {
		if len(p.entries) < p.maxEntries {
			break
		}
		delete(p.entries, n) // evicts an arbitrary entry
	}
	if p.maxEntries > 0 {
		p.entries[prefix] = prefixEntry{endpoint: endpoint, servedAt: now}
	}
}
