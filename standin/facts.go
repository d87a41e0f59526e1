// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The same keys are served as the users' platform serves its store: lists by prefix and
// watches from a revision on. Its names are spelled here once more, so that a wrong one in
// the platform's own package shows.

const (
	rangeItems  = 500  // in one page of a list
	historyKept = 4096 // changes that a watch can go back
	watchMost   = 30 * time.Second
)

// fact is one key as it is told; of a removed one only the revision counts.
type fact struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type rangeAnswer struct {
	Items    []fact `json:"items"`
	More     bool   `json:"has_more"`
	Revision uint64 `json:"timestamp"`
}

type watchAnswer struct {
	Events   []fact `json:"events"`
	Revision uint64 `json:"timestamp"`
}

// changedLocked keeps a change for those who watch, and wakes them.
func (p *Platform) changedLocked(f fact) {
	p.history = append(p.history, f)
	if len(p.history) > historyKept {
		p.forgot = p.history[0].Revision
		p.history = p.history[1:]
	}
	p.wakeLocked()
}

// remove takes a key away.
func (p *Platform) remove(w http.ResponseWriter, q *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := q.PathValue("key")
	if p.values[key] == nil {
		http.NotFound(w, q)
		return
	}
	p.index++
	delete(p.values, key)
	p.changedLocked(fact{Key: key, Revision: p.index, Deleted: true})
	w.WriteHeader(http.StatusNoContent)
}

// kvRange lists the keys with a prefix, page by page.
func (p *Platform) kvRange(w http.ResponseWriter, q *http.Request) {
	prefix, after := q.URL.Query().Get("path_prefix"), q.URL.Query().Get("after")
	p.mu.Lock()
	p.calls++
	if p.mode == ModeDown {
		p.mu.Unlock()
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	a := rangeAnswer{Items: []fact{}, Revision: p.index}
	for k, v := range p.values {
		if strings.HasPrefix(k, prefix) && k > after {
			a.Items = append(a.Items, fact{Key: k, Value: v.body, Revision: v.index})
		}
	}
	p.mu.Unlock()
	slices.SortFunc(a.Items, func(x, y fact) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Items) > rangeItems {
		a.Items, a.More = a.Items[:rangeItems], true
	}
	writeJSON(w, a)
}

// kvWatch answers with the changes after a revision, once there is one or the time is over.
func (p *Platform) kvWatch(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, err := strconv.ParseUint(v.Get("after"), 10, 64)
	ms, waitErr := strconv.Atoi(v.Get("wait_ms"))
	if err != nil || waitErr != nil || ms < 0 || time.Duration(ms)*time.Millisecond > watchMost {
		http.Error(w, "after, wait_ms: write whole numbers", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	over := time.After(time.Duration(ms) * time.Millisecond)
	for ended := false; ; {
		events, revision, mode, changed := p.since(v.Get("path_prefix"), after)
		switch {
		case mode == ModeDown:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case events == nil:
			http.Error(w, "that history is gone", http.StatusGone)
			return
		case len(events) > 0 || ended:
			writeJSON(w, watchAnswer{Events: events, Revision: revision})
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-changed:
		case <-over:
			ended = true
		}
	}
}

// since returns the changes under a prefix after a revision; nil when they are forgotten.
func (p *Platform) since(prefix string, after uint64) (list []fact, revision uint64, mode string, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.forgot {
		return nil, p.index, p.mode, p.changed
	}
	list = []fact{}
	for _, f := range p.history {
		if f.Revision > after && strings.HasPrefix(f.Key, prefix) {
			list = append(list, f)
		}
	}
	return list, p.index, p.mode, p.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the reader may be gone
}
