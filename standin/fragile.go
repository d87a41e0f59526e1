// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	rejectionWindow     = time.Second     // over which rejections are counted
	queueShrinkDelay    = 3 * time.Second // from the first announcement until the queue shrinks
	rejectionCrashPause = 3 * time.Second // how long an engine that crashed is down
)

// fragility makes an engine crash when it has to reject too many requests in a second for want of room. It is used
// under Engine.mu, except by announced and down.
type fragility struct {
	mu        sync.Mutex
	limit     int         // rejections in rejectionWindow that it survives; negative: any number
	queue     int         // queue limit from shrinkAt on
	shrinkAt  time.Time   // zero: nothing was announced
	recent    []time.Time // rejections within the window
	downUntil time.Time
	counts    FragilityCounts
}

// FragilityCounts counts the rejections and the crashes of an engine since its fragility was last set.
type FragilityCounts struct {
	Rejections int `json:"rejections"`
	Most       int `json:"most"` // rejections in a second
	Crashes    int `json:"crashes"`
}

// announced returns the number of rejections in a second that the engine announces; false: it announces none.
func (f *fragility) announced() (limit int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limit, !f.shrinkAt.IsZero()
}

func (f *fragility) down(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.downUntil)
}

// queueLimit returns the limit of the queue that normally has the given one.
func (f *fragility) queueLimit(normal int, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shrinkAt.IsZero() || now.Before(f.shrinkAt) {
		return normal
	}
	return f.queue
}

// reject records a rejection, and reports whether the engine crashes by it.
func (f *fragility) reject(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shrinkAt.IsZero() {
		return false
	}
	first := 0
	for first < len(f.recent) && now.Sub(f.recent[first]) >= rejectionWindow {
		first++
	}
	f.recent = append(f.recent[first:], now)
	f.counts.Rejections++
	f.counts.Most = max(f.counts.Most, len(f.recent))
	if len(f.recent) <= f.limit {
		return false
	}
	f.counts.Crashes++
	f.recent, f.downUntil = nil, now.Add(rejectionCrashPause)
	return true
}

// RejectionLimit returns the header value that announces how many rejections in a second the engine survives; empty:
// it announces none.
func (e *Engine) RejectionLimit() string {
	if limit, ok := e.fragility.announced(); ok {
		return strconv.Itoa(limit)
	}
	return ""
}

// setFragility handles POST /control/fragility: with rejections=N, the engine announces that it crashes after more than N
// rejections in a second, and lets only queue=M requests wait after queueShrinkDelay. Without parameters it recovers.
func (e *Engine) setFragility(w http.ResponseWriter, q *http.Request) {
	limit, err := strconv.Atoi(q.URL.Query().Get("rejections"))
	queue, _ := strconv.Atoi(q.URL.Query().Get("queue")) // zero by default
	f := &e.fragility
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit, f.queue, f.shrinkAt, f.recent, f.counts = limit, queue, time.Time{}, nil, FragilityCounts{}
	if err == nil {
		f.shrinkAt = time.Now().Add(queueShrinkDelay)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) showFragility(w http.ResponseWriter, _ *http.Request) {
	e.fragility.mu.Lock()
	c := e.fragility.counts
	e.fragility.mu.Unlock()
	_ = json.NewEncoder(w).Encode(c) // the client may have disconnected
}

// dropWhileDown breaks off all requests but those to the test controls while the engine is down.
func (e *Engine) dropWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if e.fragility.down(time.Now()) && q.URL.Path != fragilityPath {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, q)
	})
}

// fragilityPath is the path of the test control of an engine's fragility.
const fragilityPath = "/control/fragility"
