// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixes remembers where prompts with the same beginning ran last: there the
// engine's prefix cache may be warm. It is a hint and nothing more. The table is
// bounded. It is safe for concurrent use.
type prefixes struct {
	mu    sync.Mutex
	seen  map[uint64]ran // by adapter and beginning of the prompt
	limit int            // zero: nothing is remembered
}

// ran is where and when a prompt ran.
type ran struct {
	endpoint string
	at       time.Time
}

const (
	prefixLength = 64              // bytes of a prompt that count
	prefixLife   = 2 * time.Minute // after it a cache is not believed warm
)

func newPrefixes(limit int) *prefixes {
	return &prefixes{seen: make(map[uint64]ran), limit: limit}
}

// prefixOf returns the hash of an adapter and the beginning of a prompt.
func prefixOf(adapter, prompt string) uint64 {
	return xxhash.Sum64String(adapter + "\x00" + prompt[:min(len(prompt), prefixLength)])
}

// warm returns the endpoint that ran a prompt with this prefix lately, or "".
func (p *prefixes) warm(prefix uint64, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.seen[prefix]
	if now.Sub(r.at) > prefixLife {
		return ""
	}
	return r.endpoint
}

// note remembers where a prompt ran.
func (p *prefixes) note(prefix uint64, endpoint string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range p.seen {
		if len(p.seen) < p.limit {
			break
		}
		delete(p.seen, n) // an arbitrary one
	}
	if p.limit > 0 {
		p.seen[prefix] = ran{endpoint: endpoint, at: now}
	}
}
