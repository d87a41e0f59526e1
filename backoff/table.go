// SPDX-License-Identifier: Apache-2.0

package backoff

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Table holds the endpoints that are in a back-off. An endpoint whose entry is removed and returns stays in
// its back-off, since it is the same incarnation. It is safe for concurrent use; the zero value is empty.
type Table struct {
	mu    sync.Mutex
	until map[string]time.Time // by endpoint; expired entries stay until the next Extend
}

// Extend starts or extends an endpoint's back-off; it never shortens one. It reports whether the endpoint was
// available before.
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

func (t *Table) dropExpiredLocked(now time.Time) {
	if t.until == nil {
		t.until = make(map[string]time.Time)
	}
	maps.DeleteFunc(t.until, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// Remaining returns how long an endpoint stays in its back-off; zero if it may be used.
func (t *Table) Remaining(endpoint string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.until[endpoint].Sub(now), 0)
}

// Active returns the endpoints that are in a back-off, sorted.
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

// jitterFraction is the maximum jitter as a fraction of the back-off. Without jitter, all callers that are
// refused during a back-off would retry at its end.
const jitterFraction = 0.25

// RetryAfter returns the remaining back-off of endpoints with random jitter added, as the Retry-After for a caller.
func RetryAfter(left time.Duration) time.Duration {
	return left + time.Duration(rand.Float64()*jitterFraction*float64(left))
}
