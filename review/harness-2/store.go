// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key as the platform's store returns it.
type storeItem struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	refuse   map[string]bool // source addresses that get 503
	down     bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), items: make(map[string]storeItem), changed: make(chan struct{}), refuse: make(map[string]bool)}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a key and returns the revision, which is the acknowledgement.
func (s *store) put(key string, value any) uint64 {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := storeItem{Key: key, Value: raw, Revision: s.revision, Created: s.revision}
	if before, known := s.items[key]; known {
		i.Created = before.Created
	}
	s.items[key] = i
	s.addLocked(i)
	return s.revision
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.addLocked(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) addLocked(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// ServeHTTP implements the three reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/api/kv-key":
		s.mu.Lock()
		i, known := s.items[q.Get("private_key")]
		s.mu.Unlock()
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(i)
	case "/api/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	const page = 500
	s.mu.Lock()
	var list []storeItem
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > page
	list = list[:min(len(list), page)]
	_ = json.NewEncoder(w).Encode(map[string]any{"items": emptyIfNil(list), "has_more": more, "timestamp": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	until := time.After(wait)
	for {
		s.mu.Lock()
		var events []storeItem
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-until:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if ended || len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": emptyIfNil(events), "timestamp": revision})
			return
		}
	}
}

func emptyIfNil(list []storeItem) []storeItem {
	if list == nil {
		return []storeItem{}
	}
	return list
}

// putConfig writes a configuration.
func (s *store) putConfig(version int, routes []map[string]any, services []map[string]any) uint64 {
	return s.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func adapterName(i int) string { return fmt.Sprintf("a%d", i) }
