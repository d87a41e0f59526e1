// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

const (
	awayFor        = time.Second            // a data centre that did not answer is not asked for so long
	failuresMost   = 3                      // endpoints of one data centre that could not be reached
	failuresWithin = 700 * time.Millisecond // within so long mean that the way there is cut
	silenceTimeout = 350 * time.Millisecond // a request without any answer for so long, while nothing else came from its data centre either, counts as a failure: a first event takes some 50 ms
)

// away remembers data centres that did not answer lately.
type away struct {
	mu       sync.Mutex
	until    map[string]time.Time
	failures map[string]map[string]time.Time // by data centre and endpoint
	heard    map[string]time.Time            // by data centre: when anything came from an endpoint there
}

// hear notes that something came from an endpoint of a data centre.
func (a *away) hear(centre string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.heard == nil {
		a.heard = make(map[string]time.Time)
	}
	a.heard[centre] = now
}

// silence notes that a request sent some time ago has had no answer: a failure, where nothing
// at all came from the data centre meanwhile.
func (a *away) silence(centre, endpoint string, sent, now time.Time) {
	a.mu.Lock()
	heard := a.heard[centre].After(sent)
	a.mu.Unlock()
	if !heard {
		a.fail(centre, endpoint, now)
	}
}

// note avoids a data centre for a while.
func (a *away) note(centre string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteLocked(centre, now)
}

func (a *away) noteLocked(centre string, now time.Time) {
	if a.until == nil {
		a.until = make(map[string]time.Time)
	}
	a.until[centre] = now.Add(awayFor)
}

// fail notes that an endpoint of a data centre could not be reached: several in a
// short time are a cut, which other boxes' heartbeats show only later.
func (a *away) fail(centre, endpoint string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failures == nil {
		a.failures = make(map[string]map[string]time.Time)
	}
	if a.failures[centre] == nil {
		a.failures[centre] = make(map[string]time.Time)
	}
	a.failures[centre][endpoint] = now
	for e, at := range a.failures[centre] {
		if now.Sub(at) >= failuresWithin {
			delete(a.failures[centre], e)
		}
	}
	if len(a.failures[centre]) >= failuresMost {
		a.noteLocked(centre, now)
	}
}

func (a *away) is(centre string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.until[centre])
}
