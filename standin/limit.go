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
// starts at least limitReactionTime after the first announcement, limitFactor times the rate plus limitBurst
// requests are allowed.
const (
	limitWindow       = 4 * time.Second
	limitFactor       = 1.5
	limitBurst        = 5
	limitReactionTime = 3 * time.Second // by then, every caller has seen the limit
)

// limit holds the rate limit that an engine announces and counts the requests that arrive meanwhile.
type limit struct {
	mu          sync.Mutex
	header      []string    // header values of responses; none: no limit is announced
	announcedAt time.Time   // first response that announced it; zero: there was none yet
	recent      []time.Time // arrival times within the last window
	exceeding   int         // requests above the allowance of a window
	total       int         // requests since the limit was last set
}

// set sets the header values to announce and resets the counts.
func (l *limit) set(values []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.header, l.announcedAt, l.recent, l.exceeding, l.total = values, time.Time{}, nil, 0, 0
}

// record records a request and returns the header values for its response.
func (l *limit) record(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	p, err := ratelimit.Parse(l.header)
	if err != nil || !p.IsSet() {
		return l.header
	}
	if l.announcedAt.IsZero() { // callers learn the limit from this response at the earliest: the engine may have been unreachable before
		l.announcedAt = now
	}
	first := 0
	for first < len(l.recent) && now.Sub(l.recent[first]) > limitWindow {
		first++
	}
	l.recent = append(l.recent[first:], now)
	allowed := limitFactor*p.Rate()*limitWindow.Seconds() + limitBurst
	if now.Sub(l.announcedAt) > limitReactionTime+limitWindow && float64(len(l.recent)) > allowed {
		l.exceeding++
	}
	return l.header
}

// LimitHeader records a request and returns the values of the limit header for its response; none: no limit is
// announced. Handlers of other protocols call it once per request.
func (e *Engine) LimitHeader() []string { return e.limit.record(time.Now()) }

// AnnounceLimit sets the values of the limit header on responses; without values no limit is announced.
func (e *Engine) AnnounceLimit(values ...string) { e.limit.set(values) }

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
	c := LimitCounts{Requests: e.limit.total, Exceeding: e.limit.exceeding}
	e.limit.mu.Unlock()
	_ = json.NewEncoder(w).Encode(c) // the client may have disconnected
}
