// SPDX-License-Identifier: Apache-2.0

package backoff

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Table holds the endpoints that are in a back-off, and until when. An endpoint whose entry goes and comes back
// meanwhile is still in it: the incarnation is the same. It is safe for concurrent use; the zero value holds none.
type Table struct {
	mu    sync.Mutex
	until map[string]time.Time // by endpoint; expired ones stay until the next Ask
}

// Extend starts or extends an endpoint's back-off; it never shortens one. It reports whether the endpoint was in
// use before.
func (t *Table) Extend(endpoint string, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasAvailable := !now.Before(t.until[endpoint])
	t.dropExpiredLocked(now)
	if until := now.Add(min(d, Max)); until.After(t.until[endpoint]) {
		t.until[endpoint] = until
	}
	return wasAvailable
}

// dropExpiredLocked drops expired back-offs.
func (t *Table) dropExpiredLocked(now time.Time) {
	if t.until == nil {
		t.until = make(map[string]time.Time)
	}
	maps.DeleteFunc(t.until, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// Remaining returns how long an endpoint stays in its back-off; zero: it may be used.
func (t *Table) Remaining(endpoint string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.until[endpoint].Sub(now), 0)
}

// Active returns the endpoints that are in a back-off now, sorted.
func (t *Table) Active(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for e, until := range t.until {
		if now.Before(until) {
			list = append(list, e)
		}
	}
	slices.Sort(list)
	return list
}

// jitterFraction is the part of a back-off by which callers come back later than others: all that are
// refused during one back-off would come back at its end.
const jitterFraction = 0.25

// RetryAfter returns when a caller may come back to endpoints whose back-offs last so long.
func RetryAfter(left time.Duration) time.Duration {
	return left + time.Duration(rand.Float64()*jitterFraction*float64(left))
}
