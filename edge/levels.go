// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"

	"cairnwick.example/wire"
)

// levelFor is how long what a leader told of its endpoints says something of them: boxes
// report, and so hear, at least twice a second while they have requests there.
const levelFor = 1500 * time.Millisecond

// levels is what the leaders of the data centres told lately of what a load costs there.
// The zero value knows nothing.
type levels struct {
	mu       sync.Mutex
	byCentre map[string]level
}

type level struct {
	cost time.Duration
	at   time.Time
}

// hear takes in a leader's answer.
func (l *levels) hear(centre string, a *wire.UseReply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byCentre == nil {
		l.byCentre = make(map[string]level)
	}
	if !a.GetLevelKnown() {
		delete(l.byCentre, centre)
		return
	}
	l.byCentre[centre] = level{cost: time.Duration(a.GetLevelMicros()) * time.Microsecond, at: now}
}

// of returns what a load costs in a data centre; false where that is not known.
func (l *levels) of(centre string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.byCentre[centre]
	return v.cost, ok && now.Sub(v.at) < levelFor
}
