// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"maps"
	"net/http"
	"slices"
)

// platformSnapshot is a snapshot of a Platform's data.
type platformSnapshot struct {
	index     uint64
	values    map[string]*platformValue
	history   []Entry
	compacted uint64
}

// takeSnapshot handles POST /control/copy: it takes a snapshot and replaces the previous one.
func (p *Platform) takeSnapshot(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = &platformSnapshot{index: p.index, values: maps.Clone(p.values), history: slices.Clone(p.history), compacted: p.compacted}
	w.WriteHeader(http.StatusNoContent)
}

// restore handles POST /control/restore: it goes back to the snapshot. Later writes are lost, and their
// revisions are reused.
func (p *Platform) restore(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot == nil {
		http.Error(w, "restore: no copy was made", http.StatusConflict)
		return
	}
	p.index, p.compacted = p.snapshot.index, p.snapshot.compacted
	p.values, p.history = maps.Clone(p.snapshot.values), slices.Clone(p.snapshot.history)
	p.epoch++
	p.wakeLocked()
	w.WriteHeader(http.StatusNoContent)
}

// Epoch returns how many times the platform was restored.
func (p *Platform) Epoch() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}
