// SPDX-License-Identifier: Apache-2.0

// Package decision keeps the most recent routing and scheduling decisions of a daemon, so
// that operators can query the decisions on a request and watch new ones as they are made.
package decision

import (
	"context"
	"sync"
	"sync/atomic"

	"cairnwick.example/wire"
)

// History is a ring buffer of decisions. It is safe for concurrent use.
type History struct {
	mu           sync.Mutex
	ring         []*wire.Decision // fixed length; nil entries have not been written yet
	next         int
	watchers     map[*watcher]struct{}
	watcherCount atomic.Int32
}

// watcher receives the decisions that match its filter.
type watcher struct {
	filter *wire.WatchRequest
	queue  chan *wire.Decision
}

const watcherQueueLength = 256 // decisions queued for a slow watcher; further ones are dropped

// NewHistory returns a history that holds up to length decisions.
func NewHistory(length int) *History {
	return &History{ring: make([]*wire.Decision, length), watchers: make(map[*watcher]struct{})}
}

// Add stores a decision and sends it to the watchers. The caller must not modify the
// decision afterwards.
func (h *History) Add(d *wire.Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ring[h.next] = d
	h.next = (h.next + 1) % len(h.ring)
	if h.watcherCount.Load() == 0 {
		return
	}
	for w := range h.watchers {
		w.send(d)
	}
}

// send queues d if it matches the filter and the queue has room.
func (w *watcher) send(d *wire.Decision) {
	if !Matches(w.filter, d) {
		return
	}
	select {
	case w.queue <- d:
	default: // dropped, so that a slow watcher does not block the daemon
	}
}

// Matches reports whether a decision matches a filter. An empty field matches every decision.
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

// ForRequest returns the stored decisions on a request, oldest first.
func (h *History) ForRequest(request string) []*wire.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*wire.Decision
	for i := range h.ring {
		d := h.ring[(h.next+i)%len(h.ring)]
		if d != nil && d.GetRequest() == request {
			list = append(list, d)
		}
	}
	return list
}

// Watch calls send with every new decision that matches the filter, until ctx ends or
// send fails.
func (h *History) Watch(ctx context.Context, f *wire.WatchRequest, send func(*wire.Decision) error) error {
	w := &watcher{filter: f, queue: make(chan *wire.Decision, watcherQueueLength)}
	h.addWatcher(w)
	defer h.removeWatcher(w)
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-w.queue:
			if err := send(d); err != nil {
				return err
			}
		}
	}
}

func (h *History) addWatcher(w *watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers[w] = struct{}{}
	h.watcherCount.Add(1)
}

func (h *History) removeWatcher(w *watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.watchers, w)
	h.watcherCount.Add(-1)
}
