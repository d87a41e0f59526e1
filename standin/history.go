// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// HistorySize is the number of changes kept for watches.
const HistorySize = 4096

// Errors of List and Watch.
var (
	ErrUnavailable = errors.New("standin: key-value service is down")
	ErrCompacted   = errors.New("standin: revision is no longer in the history")
)

// Entry is a key with its value, or the removal of a key, which has no value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Page is a result of List or Watch.
type Page struct {
	Entries  []Entry // from List: sorted by key
	More     bool    // more keys follow
	Revision uint64  // of the latest change to any key
	Epoch    uint64  // number of restores from a copy so far
}

// recordChangeLocked appends a change to the history and wakes the watchers.
func (p *Platform) recordChangeLocked(change Entry) {
	p.history = append(p.history, change)
	if len(p.history) > HistorySize {
		p.compacted = p.history[0].Revision
		p.history = p.history[1:]
	}
	p.wakeLocked()
}

// remove handles DELETE for a key.
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
	p.recordChangeLocked(Entry{Key: key, Revision: p.index, Deleted: true})
	w.WriteHeader(http.StatusNoContent)
}

// List returns up to limit keys that have the prefix and sort after the given key.
func (p *Platform) List(prefix, after string, limit int) (Page, error) {
	page, err := p.listAll(prefix, after)
	if err != nil {
		return Page{}, err
	}
	slices.SortFunc(page.Entries, func(x, y Entry) int { return strings.Compare(x.Key, y.Key) })
	if len(page.Entries) > limit {
		page.Entries, page.More = page.Entries[:limit], true
	}
	return page, nil
}

// listAll returns every key that has the prefix and sorts after the given key, unordered.
func (p *Platform) listAll(prefix, after string) (Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.mode == ModeDown {
		return Page{}, ErrUnavailable
	}
	page := Page{Revision: p.index, Epoch: p.epoch}
	for k, v := range p.values {
		if strings.HasPrefix(k, prefix) && k > after {
			page.Entries = append(page.Entries, Entry{Key: k, Value: v.body, Revision: v.index})
		}
	}
	return page, nil
}

// Watch returns the changes to keys with the prefix after a revision. It blocks until there is one or wait has passed.
func (p *Platform) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	timeout := time.After(wait)
	for timedOut := false; ; {
		page, changed, err := p.changesAfter(prefix, after)
		if err != nil || len(page.Entries) > 0 || timedOut {
			return page, err
		}
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-changed:
		case <-timeout:
			timedOut = true
		}
	}
}

// changesAfter returns the changes to keys with the prefix after a revision, and a channel that is closed by the next change.
func (p *Platform) changesAfter(prefix string, after uint64) (page Page, changed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeDown {
		return Page{}, nil, ErrUnavailable
	}
	if after < p.compacted || after > p.index {
		return Page{}, nil, ErrCompacted
	}
	page = Page{Revision: p.index, Epoch: p.epoch}
	for _, change := range p.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			page.Entries = append(page.Entries, change)
		}
	}
	return page, p.changed, nil
}
