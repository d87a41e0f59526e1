// SPDX-License-Identifier: Apache-2.0

// Package decision keeps the last decisions of a daemon, so that operators can
// ask why a request went where it did, and watch decisions as they are made.
package decision

import (
	"context"
	"sync"
	"sync/atomic"

	"cairnwick.example/wire"
)

// Record is a bounded ring of decisions. It is safe for concurrent use.
type Record struct {
	mu       sync.Mutex
	ring     []*wire.Decision // of fixed length; nil where none was written yet
	next     int
	watchers map[*watcher]struct{}
	watched  atomic.Int32 // how many watchers there are
}

// watcher receives the decisions that match its filter.
type watcher struct {
	filter *wire.WatchRequest
	feed   chan *wire.Decision
}

const watcherBuffer = 256 // decisions held for a slow watcher; more are dropped

// NewRecord returns a ring of the given length.
func NewRecord(length int) *Record {
	return &Record{ring: make([]*wire.Decision, length), watchers: make(map[*watcher]struct{})}
}

// Add keeps a decision and hands it to those who watch; it must not be changed
// afterwards.
func (r *Record) Add(d *wire.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = d
	r.next = (r.next + 1) % len(r.ring)
	if r.watched.Load() == 0 {
		return
	}
	for w := range r.watchers {
		w.offer(d)
	}
}

func (w *watcher) offer(d *wire.Decision) {
	if !Matches(w.filter, d) {
		return
	}
	select {
	case w.feed <- d:
	default: // a slow watcher misses decisions, the daemon does not wait
	}
}

// Matches tells whether a decision passes a filter; empty fields pass all.
func Matches(f *wire.WatchRequest, d *wire.Decision) bool {
	switch {
	case f.GetClass() != "" && f.GetClass() != d.GetClass():
	case f.GetAdapter() != "" && f.GetAdapter() != d.GetAdapter():
	case f.GetEndpoint() != "" && f.GetEndpoint() != d.GetEndpoint():
	case f.GetReason() != 0 && f.GetReason() != d.GetReason():
	default:
		return true
	}
	return false
}

// Of returns the decisions kept for a request, oldest first.
func (r *Record) Of(request string) []*wire.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*wire.Decision
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if d != nil && d.GetRequest() == request {
			list = append(list, d)
		}
	}
	return list
}

// Watch hands every decision that passes the filter to send, until ctx ends or
// send fails.
func (r *Record) Watch(ctx context.Context, f *wire.WatchRequest, send func(*wire.Decision) error) error {
	w := &watcher{filter: f, feed: make(chan *wire.Decision, watcherBuffer)}
	r.join(w)
	defer r.part(w)
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-w.feed:
			if err := send(d); err != nil {
				return err
			}
		}
	}
}

func (r *Record) join(w *watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[w] = struct{}{}
	r.watched.Add(1)
}

func (r *Record) part(w *watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.watchers, w)
	r.watched.Add(-1)
}
