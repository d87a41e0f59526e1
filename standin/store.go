// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Store simulates a weight store with a rate limit and a shared bandwidth. Set the
// exported fields before calling Handler.
type Store struct {
	Rate           float64       // loads started per second
	FullSpeedLoads int           // concurrent loads at full speed; more share the bandwidth
	LoadTime       time.Duration // duration of a load at full speed

	mu       sync.Mutex
	limiter  *rate.Limiter
	active   int
	failEach int // every n-th load fails; zero: none
	started  int
	refused  int
}

// StoreBusyError means that the store's rate limit is exceeded.
type StoreBusyError struct{ Retry time.Duration }

func (e *StoreBusyError) Error() string { return "store: rate limit exceeded" }

// Handler serves GET /store/PATH, whose content is derived from the path:
// adapters/NAME/VERSION yields NAME@VERSION.
func (s *Store) Handler() http.Handler {
	s.limiter = rate.NewLimiter(rate.Limit(s.Rate), max(1, int(s.Rate)))
	m := http.NewServeMux()
	m.HandleFunc("GET /store/{path...}", s.get)
	m.HandleFunc("POST /control/store", s.setFailEach)
	m.HandleFunc("GET /control/store", s.showCounts)
	return m
}

func (s *Store) get(w http.ResponseWriter, q *http.Request) {
	if !s.limiter.Allow() {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	if s.startLoad() {
		http.Error(w, "load failed by test control", http.StatusInternalServerError)
		return
	}
	defer s.endLoad()
	if err := s.transfer(q.Context()); err != nil {
		return
	}
	fmt.Fprint(w, contentFor(q.PathValue("path")))
}

// startLoad counts a load and reports whether it must fail.
func (s *Store) startLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	if s.failEach > 0 && s.started%s.failEach == 0 {
		return true
	}
	s.active++
	return false
}

func (s *Store) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// transfer sleeps for LoadTime, longer while more than FullSpeedLoads loads share the bandwidth.
func (s *Store) transfer(ctx context.Context) error {
	const parts = 10
	for range parts {
		s.mu.Lock()
		share := max(1, float64(s.active)/float64(s.FullSpeedLoads))
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(float64(s.LoadTime) / parts * share)):
		}
	}
	return nil
}

func contentFor(path string) string {
	parts := strings.Split(path, "/")
	if len(parts) < 2 {
		return path
	}
	return parts[len(parts)-2] + "@" + parts[len(parts)-1]
}

func (s *Store) setFailEach(w http.ResponseWriter, q *http.Request) {
	n, err := strconv.Atoi(q.URL.Query().Get("fail-each"))
	if err != nil || n < 0 {
		http.Error(w, "fail-each: must be a non-negative integer", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failEach = n
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) showCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(w, "{\"begun\":%d,\"refused\":%d}\n", s.started, s.refused)
}

// StoreFetcher returns a function for Engine.Store that reads from the store at a base URL.
func StoreFetcher(baseURL string) func(context.Context, string) (string, error) {
	return func(ctx context.Context, path string) (string, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/store/"+path, nil)
		if err != nil {
			return "", errors.Wrap(err, "standin: create store request")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", errors.Wrap(err, "standin: fetch from store")
		}
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusTooManyRequests {
			return "", &StoreBusyError{Retry: time.Second}
		}
		if resp.StatusCode != http.StatusOK {
			return "", errors.Errorf("standin: fetch from store: status %d", resp.StatusCode)
		}
		body, err := io.ReadAll(resp.Body)
		return string(body), errors.Wrap(err, "standin: read store response")
	}
}
