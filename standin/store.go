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

// Store is a stand-in weight store: so many loads a second, so many at once at
// full speed. Set the exported fields before Handler.
type Store struct {
	Rate     float64       // loads begun a second
	AtOnce   int           // loads at full speed; more share the speed
	LoadTime time.Duration // of one load at full speed

	mu       sync.Mutex
	limiter  *rate.Limiter
	active   int
	failEach int // every n-th load fails; zero: none
	begun    int
	refused  int
}

// StoreBusyError says that the store's rate is used up.
type StoreBusyError struct{ Retry time.Duration }

func (e *StoreBusyError) Error() string { return "store: rate used up" }

// Handler serves GET /store/PATH: the content is named by the path,
// adapters/NAME/VERSION gives NAME@VERSION.
func (s *Store) Handler() http.Handler {
	s.limiter = rate.NewLimiter(rate.Limit(s.Rate), max(1, int(s.Rate)))
	m := http.NewServeMux()
	m.HandleFunc("GET /store/{path...}", s.get)
	m.HandleFunc("POST /control/store", s.control)
	m.HandleFunc("GET /control/store", s.show)
	return m
}

func (s *Store) get(w http.ResponseWriter, q *http.Request) {
	if !s.limiter.Allow() {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate used up", http.StatusTooManyRequests)
		return
	}
	if s.begin() {
		http.Error(w, "failed on command", http.StatusInternalServerError)
		return
	}
	defer s.end()
	if err := s.transfer(q.Context()); err != nil {
		return
	}
	fmt.Fprint(w, contentOf(q.PathValue("path")))
}

// begin counts a load and tells whether it shall fail.
func (s *Store) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun++
	if s.failEach > 0 && s.begun%s.failEach == 0 {
		return true
	}
	s.active++
	return false
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// transfer takes LoadTime, longer while more than AtOnce share the speed.
func (s *Store) transfer(ctx context.Context) error {
	const parts = 10
	for range parts {
		s.mu.Lock()
		share := max(1, float64(s.active)/float64(s.AtOnce))
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(float64(s.LoadTime) / parts * share)):
		}
	}
	return nil
}

func contentOf(path string) string {
	parts := strings.Split(path, "/")
	if len(parts) < 2 {
		return path
	}
	return parts[len(parts)-2] + "@" + parts[len(parts)-1]
}

func (s *Store) control(w http.ResponseWriter, q *http.Request) {
	n, err := strconv.Atoi(q.URL.Query().Get("fail-each"))
	if err != nil || n < 0 {
		http.Error(w, "fail-each: write a whole number, zero or more", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failEach = n
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) show(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(w, "{\"begun\":%d,\"refused\":%d}\n", s.begun, s.refused)
}

// FetchFrom returns a reader of the store at the URL, for Engine.Store.
func FetchFrom(address string) func(context.Context, string) (string, error) {
	return func(ctx context.Context, path string) (string, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/store/"+path, nil)
		if err != nil {
			return "", errors.Wrap(err, "standin: store request")
		}
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			return "", errors.Wrap(err, "standin: store")
		}
		defer a.Body.Close()
		if a.StatusCode == http.StatusTooManyRequests {
			return "", &StoreBusyError{Retry: time.Second}
		}
		if a.StatusCode != http.StatusOK {
			return "", errors.Errorf("standin: store: status %d", a.StatusCode)
		}
		body, err := io.ReadAll(a.Body)
		return string(body), errors.Wrap(err, "standin: store answer")
	}
}
