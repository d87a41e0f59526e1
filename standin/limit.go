// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"cairnwick.example/ratelimit"
)

// Tolerance for callers of an engine that announces a rate limit: within any window of limitWindow that
// starts at least limitHeard after the first announcement, limitBeyond times the rate plus limitBesides
// requests are allowed.
const (
	limitWindow  = 4 * time.Second
	limitBeyond  = 1.5
	limitBesides = 5
	limitHeard   = 3 * time.Second // by then, every caller has seen the limit
)

// limit holds the rate limit that an engine announces and counts the requests that arrive meanwhile.
type limit struct {
	mu    sync.Mutex
	named []string    // header values of responses; none: no limit is announced
	since time.Time   // first response that announced it; zero: there was none yet
	came  []time.Time // arrival times within the last window
	over  int         // requests above the allowance of a window
	all   int         // requests since the limit was last set
}

// name sets the header values to announce and resets the counts.
func (l *limit) name(values []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named, l.since, l.came, l.over, l.all = values, time.Time{}, nil, 0, 0
}

// arrive records a request and returns the header values for its response.
func (l *limit) arrive(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all++
	p, err := ratelimit.Parse(l.named)
	if err != nil || !p.Named() {
		return l.named
	}
	if l.since.IsZero() { // callers learn the limit from this response at the earliest: the engine may have been unreachable before
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

// LimitHeader records a request and returns the values of the limit header for its response; none: no limit is
// announced. Handlers of other protocols call it once per request.
func (e *Engine) LimitHeader() []string { return e.limit.arrive(time.Now()) }

// AnnounceLimit sets the values of the limit header on responses; without values no limit is announced.
func (e *Engine) AnnounceLimit(values ...string) { e.limit.name(values) }

// setLimit handles POST /control/limit, which sets the announced limit.
func (e *Engine) setLimit(w http.ResponseWriter, q *http.Request) {
	e.AnnounceLimit(q.URL.Query()["a_second"]...)
	w.WriteHeader(http.StatusNoContent)
}

// LimitCounts counts the requests that arrived since the limit was last set.
type LimitCounts struct {
	Requests  int `json:"came"`
	Exceeding int `json:"over"` // above the allowance of a window
}

func (e *Engine) showLimit(w http.ResponseWriter, _ *http.Request) {
	e.limit.mu.Lock()
	c := LimitCounts{Requests: e.limit.all, Exceeding: e.limit.over}
	e.limit.mu.Unlock()
	_ = json.NewEncoder(w).Encode(c) // the client may have disconnected
}
