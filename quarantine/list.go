// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"sync"
	"time"
)

const (
	// Duration is how long a request is kept from endpoints. Three endpoints an hour is what a request
	// that a caller sends all day can end then; a shorter time ends more, each with some ten
	// requests of others. A request that was repaired has other content, and an endpoint that was runs
	// it an hour later.
	Duration = time.Hour
	// maxListed bounds the list; a new one takes the place of the one that ends first. A full one
	// takes 0.4 MB of heap.
	maxListed = 4096
)

// List is the requests that no endpoint is to run. It is safe for concurrent use; the zero value is
// empty. Its times are those of the day: boxes tell each other until when a request is kept away.
type List struct {
	mu      sync.Mutex
	until   map[Fingerprint]time.Time
	dropped []Fingerprint // dropped since the last call of Expire
}

// Add keeps a request from endpoints until a time; it tells whether that is news.
func (l *List) Add(c Fingerprint, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = make(map[Fingerprint]time.Time)
	}
	_, listed := l.until[c]
	if !listed && len(l.until) >= maxListed {
		l.dropEarliestLocked()
	}
	if until.After(l.until[c]) {
		l.until[c] = until
	}
	return !listed
}

// dropEarliestLocked drops the request whose time ends first.
func (l *List) dropEarliestLocked() {
	var first Fingerprint
	var ends time.Time
	for c, u := range l.until {
		if ends.IsZero() || u.Before(ends) {
			first, ends = c, u
		}
	}
	delete(l.until, first)
	l.dropped = append(l.dropped, first)
}

// Remaining tells how much longer a request is kept from endpoints; false: it is not.
func (l *List) Remaining(c Fingerprint, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.until[c]
	if !ok || !now.Before(u) {
		return 0, false
	}
	return u.Sub(now.Round(0)), true // by the time of day, as u is
}

// Expire drops the requests whose time is over, and returns them with those that others took the
// place of since the last call.
func (l *List) Expire(now time.Time) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.dropped
	l.dropped = nil
	for c, u := range l.until {
		if !now.Before(u) {
			removed = append(removed, c)
			delete(l.until, c)
		}
	}
	return removed
}

// Len returns how many requests are kept away.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.until)
}
