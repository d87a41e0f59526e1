// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"
)

// freshness is when the source last answered this box.
type freshness struct {
	mu       sync.Mutex
	answered map[Collection]time.Time // a collection that is missing was not heard, or its last call failed
}

// note notes how a call for a collection went.
func (f *freshness) note(c Collection, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answered == nil {
		f.answered = make(map[Collection]time.Time)
	}
	if ok {
		f.answered[c] = now
		return
	}
	delete(f.answered, c)
}

// ago returns how long ago the collection was heard that was heard the longest ago; false
// where one was not.
func (f *freshness) ago(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var most time.Duration
	for _, c := range [...]Collection{Settled, Endpoints} {
		at, ok := f.answered[c]
		if !ok {
			return 0, false
		}
		most = max(most, now.Sub(at))
	}
	return most, true
}
