// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Platform simulates a key-value service with Consul's HTTP API, including blocking
// queries. List and Watch are for handlers of other protocols. Test controls make it
// unavailable, let it serve stale values, or restore it from a copy. Handler initializes
// the zero value.
type Platform struct {
	WriteDelay time.Duration // delay before a write becomes visible

	mu        sync.Mutex
	index     uint64
	values    map[string]*platformValue
	mode      string // "" or one of the modes
	calls     int
	changed   chan struct{}
	history   []Entry           // latest changes, oldest first; at most HistorySize
	compacted uint64            // revision of the latest change dropped from the history
	snapshot  *platformSnapshot // nil: no copy was made
	epoch     uint64            // number of restores from a copy
}

// platformValue is a value with the one that it replaced, which is served in ModeStale.
type platformValue struct {
	body     []byte
	index    uint64
	previous *platformValue
}

// The modes of a Platform.
const (
	ModeUp    = "up"
	ModeDown  = "down"  // every read fails
	ModeStale = "stale" // every read returns the previous value
)

const maxValueSize = 1 << 20

// Handler serves the key-value API and, under /control/, the test controls.
func (p *Platform) Handler() http.Handler {
	p.values = make(map[string]*platformValue)
	p.changed = make(chan struct{})
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv/{key...}", p.get)
	m.HandleFunc("PUT /v1/kv/{key...}", p.put)
	m.HandleFunc("DELETE /v1/kv/{key...}", p.remove)
	m.HandleFunc("POST /control/mode", p.setMode)
	m.HandleFunc("POST /control/copy", p.takeSnapshot)
	m.HandleFunc("POST /control/restore", p.restore)
	m.HandleFunc("GET /control/calls", p.showCalls)
	return m
}

func (p *Platform) put(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(io.LimitReader(q.Body, maxValueSize+1))
	if err != nil || len(body) > maxValueSize {
		http.Error(w, "value exceeds the limit of 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	time.Sleep(p.WriteDelay)
	ok := p.set(q.PathValue("key"), body, q.URL.Query().Get("cas"))
	_, _ = io.WriteString(w, strconv.FormatBool(ok))
}

func casMatches(cas string, v *platformValue) bool {
	n, err := strconv.ParseUint(cas, 10, 64)
	if err != nil {
		return false
	}
	if v == nil {
		return n == 0
	}
	return n == v.index
}

// set writes a value. If cas is not empty, it must equal the key's index, as in Consul's check-and-set.
func (p *Platform) set(key string, body []byte, cas string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.values[key]
	if cas != "" && !casMatches(cas, current) {
		return false
	}
	p.index++
	if current != nil {
		current.previous = nil // only one previous value is kept
	}
	p.values[key] = &platformValue{body: body, index: p.index, previous: current}
	p.recordChangeLocked(Entry{Key: key, Value: body, Revision: p.index})
	return true
}

func (p *Platform) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) get(w http.ResponseWriter, q *http.Request) {
	index, _ := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64) // absent is zero: respond immediately
	wait, _ := time.ParseDuration(q.URL.Query().Get("wait"))
	deadline := time.After(wait)
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		v, mode, changed := p.read(q.PathValue("key"))
		if mode == ModeDown {
			http.Error(w, "key-value service is down", http.StatusServiceUnavailable)
			return
		}
		if v != nil && v.index != index {
			writeValue(w, v)
			return
		}
		if v == nil && index == 0 {
			http.NotFound(w, q)
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-changed:
		case <-deadline:
			if v == nil {
				http.NotFound(w, q)
				return
			}
			writeValue(w, v)
			return
		}
	}
}

func (p *Platform) read(key string) (*platformValue, string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.values[key]
	if p.mode == ModeStale && v != nil && v.previous != nil {
		v = v.previous
	}
	return v, p.mode, p.changed
}

func writeValue(w http.ResponseWriter, v *platformValue) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(v.index, 10))
	_, _ = w.Write(v.body)
}

func (p *Platform) setMode(w http.ResponseWriter, q *http.Request) {
	mode := q.URL.Query().Get("mode")
	if mode != ModeUp && mode != ModeDown && mode != ModeStale {
		http.Error(w, "mode: must be up, down or stale", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.wakeLocked()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) showCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = io.WriteString(w, strconv.Itoa(p.calls)+"\n")
}
