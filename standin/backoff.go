// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"cairnwick.example/backoff"
)

// backoffHeard is how long a caller has to react to a Retry-After before further requests count as ignoring it.
const backoffHeard = 500 * time.Millisecond

// backoffs holds the Retry-After value of an engine that rejects requests, and counts the requests that arrive nevertheless.
type backoffs struct {
	mu     sync.Mutex
	asks   string    // Retry-After value in seconds; empty: requests are accepted
	since  time.Time // first rejection of the current back-off period
	came   int       // requests since the setting was last changed
	during int       // of these, requests within a back-off period
	asked  int       // back-off periods started
}

// arrive records a request and returns the Retry-After value to reject it with; empty: it may run.
func (b *backoffs) arrive(now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asks == "" {
		return ""
	}
	b.came++
	d, _ := backoff.Parse([]string{b.asks}) // an unreadable value counts as zero seconds
	switch ago := now.Sub(b.since); {
	case ago >= d:
		b.since = now
		b.asked++
	case ago > backoffHeard:
		b.during++
	}
	return b.asks
}

// RetryAfter records a request and returns the Retry-After value, in seconds, to reject it with; empty: it
// may run. Handlers of other protocols call it once per request.
func (e *Engine) RetryAfter() string { return e.backoffs.arrive(time.Now()) }

// setBackoff handles POST /control/backoff: with seconds=N, requests are rejected with Retry-After: N.
func (e *Engine) setBackoff(w http.ResponseWriter, q *http.Request) {
	e.backoffs.mu.Lock()
	defer e.backoffs.mu.Unlock()
	e.backoffs.asks, e.backoffs.since = q.URL.Query().Get("seconds"), time.Time{}
	e.backoffs.came, e.backoffs.during, e.backoffs.asked = 0, 0, 0
	w.WriteHeader(http.StatusNoContent)
}

// BackoffCounts counts the requests that arrived since the back-off setting was last changed.
type BackoffCounts struct {
	Requests      int `json:"came"`
	DuringBackoff int `json:"during"` // within a back-off period, from any caller
	Periods       int `json:"asked"`  // back-off periods started
}

func (e *Engine) showBackoff(w http.ResponseWriter, _ *http.Request) {
	e.backoffs.mu.Lock()
	c := BackoffCounts{Requests: e.backoffs.came, DuringBackoff: e.backoffs.during, Periods: e.backoffs.asked}
	e.backoffs.mu.Unlock()
	_ = json.NewEncoder(w).Encode(c) // the client may have disconnected
}
