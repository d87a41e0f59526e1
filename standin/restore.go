// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"maps"
	"net/http"
	"slices"
)

// platformCopy is what a stand-in platform held at one moment.
type platformCopy struct {
	index   uint64
	values  map[string]*platformValue
	history []Fact
	forgot  uint64
}

// makeCopy keeps a copy of all values, in place of the copy before.
func (p *Platform) makeCopy(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copied = &platformCopy{index: p.index, values: maps.Clone(p.values), history: slices.Clone(p.history), forgot: p.forgot}
	w.WriteHeader(http.StatusNoContent)
}

// restore goes back to the copy: what was put since is gone, and its revisions are given out again.
func (p *Platform) restore(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.copied == nil {
		http.Error(w, "restore: make a copy first", http.StatusConflict)
		return
	}
	p.index, p.forgot = p.copied.index, p.copied.forgot
	p.values, p.history = maps.Clone(p.copied.values), slices.Clone(p.copied.history)
	p.epoch++
	p.wakeLocked()
	w.WriteHeader(http.StatusNoContent)
}

// Epoch returns how often the platform was restored from a copy.
func (p *Platform) Epoch() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}
