// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"sync"
	"time"
)

const (
	// Duration is how long a request stays in quarantine. With it, a request that a caller keeps sending
	// terminates at most three endpoints per hour. A shorter time would terminate more, each with some
	// ten unrelated requests. A corrected request has another fingerprint, and an endpoint with the
	// cause fixed runs the request an hour later.
	Duration = time.Hour
	// maxListed bounds the list. A new entry replaces the one that expires first. A full list takes
	// 0.4 MB of heap.
	maxListed = 4096
)

// List holds the quarantined requests. It is safe for concurrent use; the zero value is empty. Times are
// wall-clock times, since boxes send the expiry to each other.
type List struct {
	mu      sync.Mutex
	until   map[Fingerprint]time.Time
	lifted  map[Fingerprint]bool // of those in until: the quarantine was lifted, which is remembered until then
	dropped []Fingerprint        // removed by Add since the last call of Expire
}

// Add quarantines a request until a time, and reports whether it was not listed before. An earlier
// expiry does not replace a later one.
func (l *List) Add(f Fingerprint, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = make(map[Fingerprint]time.Time)
	}
	_, listed := l.until[f]
	if !listed && len(l.until) >= maxListed {
		l.dropEarliestLocked()
	}
	if until.After(l.until[f]) {
		l.until[f] = until
		if l.lifted[f] {
			delete(l.lifted, f)
			listed = false
		}
	}
	return !listed
}

// Lift ends a quarantine, unless it lasts longer than until, and reports whether there was one. The entry is kept until then.
func (l *List) Lift(f Fingerprint, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, listed := l.until[f]
	if !listed || l.lifted[f] || u.After(until) {
		return false
	}
	if l.lifted == nil {
		l.lifted = make(map[Fingerprint]bool)
	}
	l.until[f], l.lifted[f] = until, true
	return true
}

// dropEarliestLocked removes the request that expires first.
func (l *List) dropEarliestLocked() {
	var first Fingerprint
	var ends time.Time
	for f, u := range l.until {
		if ends.IsZero() || u.Before(ends) {
			first, ends = f, u
		}
	}
	l.removeLocked(first)
	l.dropped = append(l.dropped, first)
}

func (l *List) removeLocked(f Fingerprint) {
	delete(l.until, f)
	delete(l.lifted, f)
}

// Remaining returns how much longer a request is quarantined; false if it is not.
func (l *List) Remaining(f Fingerprint, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.until[f]
	if !ok || l.lifted[f] || !now.Before(u) {
		return 0, false
	}
	return u.Sub(now.Round(0)), true // without the monotonic clock, as u has none
}

// Expire removes the expired requests. It returns them together with those that Add has removed since the
// last call.
func (l *List) Expire(now time.Time) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.dropped
	l.dropped = nil
	for f, u := range l.until {
		if !now.Before(u) {
			removed = append(removed, f)
			l.removeLocked(f)
		}
	}
	return removed
}

// Len returns the number of quarantines, including expired ones that Expire has not removed yet.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.until) - len(l.lifted)
}
