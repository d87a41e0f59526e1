// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Platform is a stand-in key-value service in Consul's HTTP style with
// blocking reads; List and Watch are for other dialects. Users put values; it can be
// down, stale or restored from a copy on command. The zero value is ready for Handler.
type Platform struct {
	Lag time.Duration // before a put is seen by readers

	mu      sync.Mutex
	index   uint64
	values  map[string]*platformValue
	mode    string // "", "down" or "stale"
	calls   int
	changed chan struct{}
	history []Fact        // the newest changes, oldest first; at most HistoryKept
	forgot  uint64        // revision of the newest change that history has lost
	copied  *platformCopy // nil: none was made
	epoch   uint64        // restores from a copy so far
}

// platformValue keeps the value before, for a stale platform to serve.
type platformValue struct {
	body  []byte
	index uint64
	old   *platformValue
}

// The modes of a stand-in platform.
const (
	ModeUp    = "up"
	ModeDown  = "down"  // every read fails
	ModeStale = "stale" // every read gives the value before the last
)

const maxPut = 1 << 20

// Handler serves the service and its control paths.
func (p *Platform) Handler() http.Handler {
	p.values = make(map[string]*platformValue)
	p.changed = make(chan struct{})
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv/{key...}", p.get)
	m.HandleFunc("PUT /v1/kv/{key...}", p.put)
	m.HandleFunc("DELETE /v1/kv/{key...}", p.remove)
	m.HandleFunc("POST /control/mode", p.setMode)
	m.HandleFunc("POST /control/copy", p.makeCopy)
	m.HandleFunc("POST /control/restore", p.restore)
	m.HandleFunc("GET /control/calls", p.showCalls)
	return m
}

func (p *Platform) put(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(io.LimitReader(q.Body, maxPut+1))
	if err != nil || len(body) > maxPut {
		http.Error(w, "value larger than a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	time.Sleep(p.Lag)
	done := p.store(q.PathValue("key"), body, q.URL.Query().Get("cas"))
	_, _ = io.WriteString(w, strconv.FormatBool(done))
}

func matches(cas string, v *platformValue) bool {
	n, err := strconv.ParseUint(cas, 10, 64)
	if err != nil {
		return false
	}
	if v == nil {
		return n == 0
	}
	return n == v.index
}

// store puts the value, unless cas is given and is not the key's index.
func (p *Platform) store(key string, body []byte, cas string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.values[key]
	if cas != "" && !matches(cas, old) {
		return false
	}
	p.index++
	if old != nil {
		old.old = nil // one step back is enough
	}
	p.values[key] = &platformValue{body: body, index: p.index, old: old}
	p.changedLocked(Fact{Key: key, Value: body, Revision: p.index})
	return true
}

func (p *Platform) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) get(w http.ResponseWriter, q *http.Request) {
	index, _ := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64) // absent is zero: answer now
	wait, _ := time.ParseDuration(q.URL.Query().Get("wait"))
	deadline := time.After(wait)
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		v, mode, changed := p.read(q.PathValue("key"))
		if mode == ModeDown {
			http.Error(w, "down", http.StatusServiceUnavailable)
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
	if p.mode == ModeStale && v != nil && v.old != nil {
		v = v.old
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
		http.Error(w, "mode: write up, down or stale", http.StatusBadRequest)
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
