// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cairnwick.example/engine"
	"github.com/cespare/xxhash/v2"
)

// prefixLength is the length of a prompt's prefix in bytes.
const prefixLength = 64

// prefixCache is an LRU cache of prompt prefixes by adapter. It publishes changes as
// events, which are delayed and, if dropEvery is set, partly lost.
type prefixCache struct {
	capacity     int           // zero: no cache
	delay        time.Duration // delay until an event becomes visible
	dropEvery    int           // every n-th event is dropped; zero: none
	order        []prefixKey   // least recently used first
	events       []cacheEvent  // latest events, oldest first; at most maxEvents
	nextSequence uint64        // sequence number of the next event
	hits         int
	misses       int
}

type prefixKey struct {
	adapter string
	prefix  uint64
}

type cacheEvent struct {
	engine.CacheEvent

	at time.Time
}

const maxEvents = 1024

// touch marks a prefix as used, adding it if necessary, and reports whether it was cached.
func (c *prefixCache) touch(adapter, prompt string, now time.Time) bool {
	if c.capacity == 0 {
		return false
	}
	k := prefixKey{adapter: adapter, prefix: xxhash.Sum64String(prompt[:min(len(prompt), prefixLength)])}
	if i := slices.Index(c.order, k); i >= 0 {
		c.order = append(slices.Delete(c.order, i, i+1), k)
		c.hits++
		return true
	}
	c.misses++
	c.order = append(c.order, k)
	c.publish(engine.CacheStored, k, now)
	for len(c.order) > c.capacity {
		c.publish(engine.CacheRemoved, c.order[0], now)
		c.order = c.order[1:]
	}
	return false
}

// drop removes the prefixes of an unloaded adapter.
func (c *prefixCache) drop(adapter string, now time.Time) {
	c.order = slices.DeleteFunc(c.order, func(k prefixKey) bool {
		if k.adapter == adapter {
			c.publish(engine.CacheRemoved, k, now)
		}
		return k.adapter == adapter
	})
}

func (c *prefixCache) publish(kind string, k prefixKey, now time.Time) {
	c.nextSequence++
	if c.dropEvery > 0 && c.nextSequence%uint64(c.dropEvery) == 0 {
		return // dropped; clients detect the gap by the sequence number
	}
	e := engine.CacheEvent{Sequence: c.nextSequence, Kind: kind, Adapter: k.adapter, Prefix: k.prefix}
	c.events = append(c.events, cacheEvent{CacheEvent: e, at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// after returns the visible events with a sequence number above the given one.
func (c *prefixCache) after(sequence uint64, now time.Time) []engine.CacheEvent {
	list := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && now.Sub(e.at) >= c.delay {
			list = append(list, e.CacheEvent)
		}
	}
	return list
}

func (e *Engine) showEvents(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, engine.CodeBadRequest, "after: must be a non-negative integer")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.prefixes.after(after, time.Now()))
}
