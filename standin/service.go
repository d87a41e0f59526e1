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

// Service is a stand-in plain service: it echoes each call and counts the runs
// of each key. Set the exported field before Handler.
type Service struct {
	Time time.Duration // of one call

	mu   sync.Mutex
	keys map[string]int // runs by key
}

// Handler serves every path, and its control paths.
func (s *Service) Handler() http.Handler {
	s.keys = make(map[string]int)
	m := http.NewServeMux()
	m.HandleFunc("/", s.answer)
	m.HandleFunc("GET /control/keys", s.showKeys)
	return m
}

func (s *Service) answer(w http.ResponseWriter, q *http.Request) {
	key := q.Header.Get(engine.KeyHeader)
	if key != "" {
		s.mu.Lock()
		s.keys[key]++
		s.mu.Unlock()
	}
	time.Sleep(s.Time)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"method\":%q,\"path\":%q,\"key\":%q}\n", q.Method, q.URL.Path, key)
}

func (s *Service) showKeys(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.keys)
}
