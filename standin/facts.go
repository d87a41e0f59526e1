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

// HistoryKept is how many changes a watch can go back.
const HistoryKept = 4096

// What List and Watch fail with, besides the end of their context.
var (
	ErrDown      = errors.New("standin: down")
	ErrForgotten = errors.New("standin: that history is gone")
)

// Fact is one key as it is told; of a removed one only the revision counts.
type Fact struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Page is a part of a list.
type Page struct {
	Facts    []Fact // by key
	More     bool   // keys follow
	Revision uint64 // of the newest change of any key
	Epoch    uint64 // restores from a copy until then
}

// changedLocked keeps a change for those who watch, and wakes them.
func (p *Platform) changedLocked(f Fact) {
	p.history = append(p.history, f)
	if len(p.history) > HistoryKept {
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
	p.changedLocked(Fact{Key: key, Revision: p.index, Removed: true})
	w.WriteHeader(http.StatusNoContent)
}

// List returns the first keys with a prefix that come after a key, at most so many.
func (p *Platform) List(prefix, after string, most int) (Page, error) {
	a, err := p.all(prefix, after)
	if err != nil {
		return Page{}, err
	}
	slices.SortFunc(a.Facts, func(x, y Fact) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Facts) > most {
		a.Facts, a.More = a.Facts[:most], true
	}
	return a, nil
}

// all returns every key with a prefix that comes after a key, in no order.
func (p *Platform) all(prefix, after string) (Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.mode == ModeDown {
		return Page{}, ErrDown
	}
	a := Page{Revision: p.index, Epoch: p.epoch}
	for k, v := range p.values {
		if strings.HasPrefix(k, prefix) && k > after {
			a.Facts = append(a.Facts, Fact{Key: k, Value: v.body, Revision: v.index})
		}
	}
	return a, nil
}

// Watch returns the changes under a prefix after a revision, once there is a change or the time is over.
func (p *Platform) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	over := time.After(wait)
	for ended := false; ; {
		a, changed, err := p.since(prefix, after)
		if err != nil || len(a.Facts) > 0 || ended {
			return a, err
		}
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-changed:
		case <-over:
			ended = true
		}
	}
}

// since returns the changes under a prefix after a revision.
func (p *Platform) since(prefix string, after uint64) (a Page, changed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeDown {
		return Page{}, nil, ErrDown
	}
	if after < p.forgot || after > p.index {
		return Page{}, nil, ErrForgotten
	}
	a = Page{Revision: p.index, Epoch: p.epoch}
	for _, f := range p.history {
		if f.Revision > after && strings.HasPrefix(f.Key, prefix) {
			a.Facts = append(a.Facts, f)
		}
	}
	return a, p.changed, nil
}
