// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cairnwick.example/engine"
)

// Service simulates a plain HTTP service. It echoes requests and counts them by
// idempotency key. Set Time before calling Handler.
type Service struct {
	Latency      time.Duration // latency of a request
	Repeats      Repeater      // set with /control/repeat; it must wrap the listener
	LateRefusals LateRefuser   // set with /control/refuse-late

	mu   sync.Mutex
	keys map[string]int // requests by idempotency key
	ids  []string       // IDs of these requests
}

// Handler serves all paths, with the test controls under /control/.
func (s *Service) Handler() http.Handler {
	s.keys = make(map[string]int)
	m := http.NewServeMux()
	m.HandleFunc("/", s.echo)
	m.HandleFunc("GET /control/keys", s.showKeys)
	m.HandleFunc("GET /control/runs", s.showRuns)
	m.HandleFunc("POST /control/repeat", s.Repeats.setShare)
	m.HandleFunc("GET /control/repeat", s.Repeats.showCount)
	m.HandleFunc("POST /control/refuse-late", s.LateRefusals.set)
	m.HandleFunc("GET /control/refuse-late", s.LateRefusals.showCount)
	return m
}

func (s *Service) echo(w http.ResponseWriter, q *http.Request) {
	key := q.Header.Get(engine.KeyHeader)
	if key != "" {
		s.mu.Lock()
		s.keys[key]++
		s.ids = append(s.ids, q.Header.Get(engine.RequestIDHeader))
		s.mu.Unlock()
	}
	time.Sleep(s.Latency)
	w.Header().Set("Content-Type", "application/json")
	if id := q.Header.Get(engine.RequestIDHeader); id != "" {
		w.Header().Set(engine.RequestIDHeader, id)
	}
	if refusal, late := s.LateRefusals.next(); late {
		refusal.write(w)
		return
	}
	fmt.Fprintf(w, "{\"method\":%q,\"path\":%q,\"key\":%q}\n", q.Method, q.URL.Path, key)
}

func (s *Service) showKeys(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.keys)
}

func (s *Service) showRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(append([]string{}, s.ids...)) // the client may have disconnected
}
