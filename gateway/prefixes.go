// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixes maps the start of a prompt to the endpoint that last served one: its engine may still have
// the prefix in its cache. This is only a hint for placement. The table is bounded. It is safe for
// concurrent use.
type prefixes struct {
	mu    sync.Mutex
	seen  map[uint64]ran // by prefixOf
	limit int            // entries; zero disables the table
}

// ran is where and when a prompt was last served.
type ran struct {
	endpoint string
	at       time.Time
}

const (
	prefixLength = 64              // bytes of a prompt that are hashed
	prefixLife   = 2 * time.Minute // an engine is assumed to have evicted the prefix after that
)

func newPrefixes(limit int) *prefixes {
	return &prefixes{seen: make(map[uint64]ran), limit: limit}
}

// prefixOf hashes an adapter and the start of a prompt.
func prefixOf(adapter, prompt string) uint64 {
	return xxhash.Sum64String(adapter + "\x00" + prompt[:min(len(prompt), prefixLength)])
}

// warm returns the endpoint that last served a prompt with this prefix; "" if there is none or its entry has
// expired.
func (p *prefixes) warm(prefix uint64, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.seen[prefix]
	if now.Sub(r.at) > prefixLife {
		return ""
	}
	return r.endpoint
}

// note records the endpoint that served a prompt.
func (p *prefixes) note(prefix uint64, endpoint string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range p.seen {
		if len(p.seen) < p.limit {
			break
		}
		delete(p.seen, n) // evicts an arbitrary entry
	}
	if p.limit > 0 {
		p.seen[prefix] = ran{endpoint: endpoint, at: now}
	}
}
