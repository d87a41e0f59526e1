// SPDX-License-Identifier: Apache-2.0

package member

import "time"

// signs is what a table knows at first hand. Guarded by Table.mu.
type signs struct {
	seen   map[string]time.Time // by name: when a sign of life last came from the member itself
	risen  map[string]time.Time // by name: when a later life of the member was first heard of
	claims map[string]Member    // by name: what others say of a member that was seen to live
	ticked time.Time            // of the last tick
	woke   time.Time            // of the last pause's end
}

func (s *signs) forget(name string) {
	delete(s.seen, name)
	delete(s.risen, name)
	delete(s.claims, name)
}

const (
	// tickLate: a longer time without a tick is a pause of this process, whatever it
	// hears before the next one.
	tickLate = time.Second
	// wokeFor is how long after a pause this daemon's own view proves nothing.
	wokeFor = 2 * time.Second
	// refusedLate: a refused connection may be remembered for so long by those who
	// open it, while the daemon has started again.
	refusedLate = time.Second
)

// seenLocked tells whether a sign of life came from a member itself lately.
func (t *Table) seenLocked(name string, now time.Time) bool {
	at, ok := t.signs.seen[name]
	return ok && now.Sub(at) < t.limits.SuspectFor
}

// amongLocked tells whether this daemon heard from another of its data centre
// all the time, without a pause.
func (t *Table) amongLocked(now time.Time) bool {
	if now.Sub(t.signs.ticked) > tickLate || now.Sub(t.signs.woke) < wokeFor {
		return false
	}
	for n, m := range t.others {
		if m.dataCentre == t.self.dataCentre && m.Serving() && t.seenLocked(n, now) {
			return true
		}
	}
	return false
}
