// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"cairnwick.example/backoff"
)

// backoffHeard is after which a caller that was asked for a back-off keeps to it.
const backoffHeard = 500 * time.Millisecond

// backoffs is what an engine asks for that turns requests away, and what came in all the same.
type backoffs struct {
	mu     sync.Mutex
	asks   string    // seconds, as its answers say; empty: it turns nothing away for this
	since  time.Time // the first answer of the present back-off
	came   int       // requests since the command
	during int       // of these, those that came while it wanted none
	asked  int       // back-offs that began
}

// arrive notes a request, and returns what its answer asks for; empty: it may run.
func (b *backoffs) arrive(now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asks == "" {
		return ""
	}
	b.came++
	d, _ := backoff.Parse([]string{b.asks}) // what can't be read asks for nothing
	switch ago := now.Sub(b.since); {
	case ago >= d:
		b.since = now
		b.asked++
	case ago > backoffHeard:
		b.during++
	}
	return b.asks
}

// Backoff returns for how many seconds the engine wants nothing more from the caller of a request that
// comes now, and turns away, for another dialect; empty: it may run.
func (e *Engine) Backoff() string { return e.backoffs.arrive(time.Now()) }

// setBackoff serves the command to turn requests away and ask for back-offs.
func (e *Engine) setBackoff(w http.ResponseWriter, q *http.Request) {
	e.backoffs.mu.Lock()
	defer e.backoffs.mu.Unlock()
	e.backoffs.asks, e.backoffs.since = q.URL.Query().Get("seconds"), time.Time{}
	e.backoffs.came, e.backoffs.during, e.backoffs.asked = 0, 0, 0
	w.WriteHeader(http.StatusNoContent)
}

// BackoffCounts is what an engine saw since it was told to ask for back-offs.
type BackoffCounts struct {
	Came   int `json:"came"`
	During int `json:"during"` // while it wanted nothing, whoever sent it
	Asked  int `json:"asked"`  // back-offs, one after the other
}

func (e *Engine) showBackoff(w http.ResponseWriter, _ *http.Request) {
	e.backoffs.mu.Lock()
	c := BackoffCounts{Came: e.backoffs.came, During: e.backoffs.during, Asked: e.backoffs.asked}
	e.backoffs.mu.Unlock()
	_ = json.NewEncoder(w).Encode(c) // the reader may be gone
}
