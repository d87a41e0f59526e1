// SPDX-License-Identifier: Apache-2.0

package backoff

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Table is the endpoints that asked this box to be left alone, and until when. An endpoint whose entry goes
// and comes back meanwhile is still left alone: the same life counts on. It is safe for concurrent use; the
// zero value holds none.
type Table struct {
	mu    sync.Mutex
	until map[string]time.Time // by endpoint; those that are over stay until the next word
}

// Ask notes that an endpoint wants nothing for so long. An earlier word that holds for longer stays: the
// endpoint counts each. It tells whether the endpoint was used until now.
func (t *Table) Ask(endpoint string, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := !now.Before(t.until[endpoint])
	t.forgetLocked(now)
	if until := now.Add(min(d, Longest)); until.After(t.until[endpoint]) {
		t.until[endpoint] = until
	}
	return used
}

// forgetLocked forgets endpoints whose time is over.
func (t *Table) forgetLocked(now time.Time) {
	if t.until == nil {
		t.until = make(map[string]time.Time)
	}
	maps.DeleteFunc(t.until, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// Left returns for how long an endpoint wants nothing more; zero: it may be used.
func (t *Table) Left(endpoint string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.until[endpoint].Sub(now), 0)
}

// Under returns the endpoints that want nothing now, sorted.
func (t *Table) Under(now time.Time) []string {
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

// spreadPart is the part of a time by which callers are told to come back later than others: all that are
// refused during one back-off would come back at its end.
const spreadPart = 0.25

// ComeBack returns when a caller may come back to endpoints that want nothing for so long.
func ComeBack(left time.Duration) time.Duration {
	return left + time.Duration(rand.Float64()*spreadPart*float64(left))
}
