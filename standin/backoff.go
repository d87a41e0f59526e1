// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"cairnwick.example/backoff"
)

// backoffReactionTime is how long a caller has to react to a Retry-After before further requests count as ignoring it.
const backoffReactionTime = 500 * time.Millisecond

// backoffState holds the Retry-After value of an engine that rejects requests, and counts the requests that arrive nevertheless.
type backoffState struct {
	mu            sync.Mutex
	retryAfter    string    // Retry-After value in seconds; empty: requests are accepted
	periodStart   time.Time // first rejection of the current back-off period
	requests      int       // requests since the setting was last changed
	duringBackoff int       // of these, requests within a back-off period
	periods       int       // back-off periods started
}

// record records a request and returns the Retry-After value to reject it with; empty: it may run.
func (b *backoffState) record(now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retryAfter == "" {
		return ""
	}
	b.requests++
	d, _ := backoff.Parse([]string{b.retryAfter}) // an unreadable value counts as zero seconds
	switch elapsed := now.Sub(b.periodStart); {
	case elapsed >= d:
		b.periodStart = now
		b.periods++
	case elapsed > backoffReactionTime:
		b.duringBackoff++
	}
	return b.retryAfter
}

// RetryAfter records a request and returns the Retry-After value, in seconds, to reject it with; empty: it
// may run. Handlers of other protocols call it once per request.
func (e *Engine) RetryAfter() string { return e.backoff.record(time.Now()) }

// setBackoff handles POST /control/backoff: with seconds=N, requests are rejected with Retry-After: N.
func (e *Engine) setBackoff(w http.ResponseWriter, q *http.Request) {
	e.backoff.mu.Lock()
	defer e.backoff.mu.Unlock()
	e.backoff.retryAfter, e.backoff.periodStart = q.URL.Query().Get("seconds"), time.Time{}
	e.backoff.requests, e.backoff.duringBackoff, e.backoff.periods = 0, 0, 0
	w.WriteHeader(http.StatusNoContent)
}

// BackoffCounts counts the requests that arrived since the back-off setting was last changed.
type BackoffCounts struct {
	Requests      int `json:"came"`
	DuringBackoff int `json:"during"` // within a back-off period, from any caller
	Periods       int `json:"asked"`  // back-off periods started
}

func (e *Engine) showBackoff(w http.ResponseWriter, _ *http.Request) {
	e.backoff.mu.Lock()
	c := BackoffCounts{Requests: e.backoff.requests, DuringBackoff: e.backoff.duringBackoff, Periods: e.backoff.periods}
	e.backoff.mu.Unlock()
	_ = json.NewEncoder(w).Encode(c) // the client may have disconnected
}
