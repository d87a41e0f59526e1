// SPDX-License-Identifier: Apache-2.0

package member

import "time"

// signs is what a table knows at first hand. Guarded by Table.mu.
type signs struct {
	seen      map[string]time.Time // by name: when a sign of life last came from the member itself
	restarted map[string]time.Time // by name: when a higher incarnation was first heard of
	claims    map[string]Member    // by name: what others say of a member that was seen to live
	ticked    time.Time            // of the last tick
	paused    time.Time            // when the last pause of this process ended
}

func (s *signs) forget(name string) {
	delete(s.seen, name)
	delete(s.restarted, name)
	delete(s.claims, name)
}

const (
	// longestTick guards against what a process believes that has not noticed its pause
	// yet: a longer time without a tick is one, whatever it hears before the next.
	longestTick = time.Second
	// distrustFor is how long after a pause this daemon's own view proves nothing.
	distrustFor = 2 * time.Second
	// refusalRemembered guards against a connection that still reports the refusal of its
	// last try while the daemon has started again; daemon.Dialer tries again within 0.6 s.
	refusalRemembered = time.Second
)

// seenLatelyLocked tells whether a sign of life came from a member itself lately.
func (t *Table) seenLatelyLocked(name string, now time.Time) bool {
	at, ok := t.signs.seen[name]
	return ok && now.Sub(at) < t.limits.SuspectFor
}

// inTouchLocked tells whether this daemon heard from another of its data centre
// all the time, without a pause.
func (t *Table) inTouchLocked(now time.Time) bool {
	if now.Sub(t.signs.ticked) > longestTick || now.Sub(t.signs.paused) < distrustFor {
		return false
	}
	for n, m := range t.others {
		if m.dataCentre == t.self.dataCentre && m.Serving() && t.seenLatelyLocked(n, now) {
			return true
		}
	}
	return false
}
