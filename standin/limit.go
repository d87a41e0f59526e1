// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"cairnwick.example/ratelimit"
)

// What a caller of an endpoint that names a limit may send beyond it, in any window that begins a while
// after the endpoint first named it.
const (
	limitWindow  = 4 * time.Second
	limitBeyond  = 1.5
	limitBesides = 5
	limitHeard   = 3 * time.Second // by then all callers have heard of it
)

// limit is how many requests a second an engine says that it takes, and what came in since it said so.
type limit struct {
	mu    sync.Mutex
	named []string    // as it is named in answers; none: it names no limit
	since time.Time   // the first answer that named it; zero: there was none yet
	came  []time.Time // the requests of the last window
	over  int         // requests that were more than a window allows
	all   int         // requests since it was named
}

// name sets what is named in answers.
func (l *limit) name(values []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named, l.since, l.came, l.over, l.all = values, time.Time{}, nil, 0, 0
}

// arrive notes a request, and returns what its answer names.
func (l *limit) arrive(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all++
	p, err := ratelimit.Parse(l.named)
	if err != nil || !p.IsSet() {
		return l.named
	}
	if l.since.IsZero() { // until now nobody could know of it: the engine may have been out of reach
		l.since = now
	}
	first := 0
	for first < len(l.came) && now.Sub(l.came[first]) > limitWindow {
		first++
	}
	l.came = append(l.came[first:], now)
	allowed := limitBeyond*p.Rate()*limitWindow.Seconds() + limitBesides
	if now.Sub(l.since) > limitHeard+limitWindow && float64(len(l.came)) > allowed {
		l.over++
	}
	return l.named
}

// Limit returns what the answer to a request that comes now names as the engine's limit, for another
// dialect; none: it names no limit.
func (e *Engine) Limit() []string { return e.limit.arrive(time.Now()) }

// Name makes the engine name limits in its answers; none: it names none any more.
func (e *Engine) Name(values ...string) { e.limit.name(values) }

// setLimit serves the command to name a limit.
func (e *Engine) setLimit(w http.ResponseWriter, q *http.Request) {
	e.Name(q.URL.Query()["a_second"]...)
	w.WriteHeader(http.StatusNoContent)
}

// LimitCounts is what an engine that names a limit saw since it was told to.
type LimitCounts struct {
	Came int `json:"came"`
	Over int `json:"over"` // more than a window allows
}

func (e *Engine) showLimit(w http.ResponseWriter, _ *http.Request) {
	e.limit.mu.Lock()
	c := LimitCounts{Came: e.limit.all, Over: e.limit.over}
	e.limit.mu.Unlock()
	_ = json.NewEncoder(w).Encode(c) // the reader may be gone
}
