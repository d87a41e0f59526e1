// SPDX-License-Identifier: Apache-2.0

package member

import "time"

// signs is what a table knows at first hand. Guarded by Table.mu.
type observations struct {
	lastSeen    map[string]time.Time // by name: when a sign of life last came from the member itself
	restartedAt map[string]time.Time // by name: when a higher incarnation was first heard of
	claims      map[string]Member    // by name: what others say of a member that was seen to live
	lastTick    time.Time            // of the last tick
	resumedAt   time.Time            // when the last pause of this process ended
}

func (s *observations) forget(name string) {
	delete(s.lastSeen, name)
	delete(s.restartedAt, name)
	delete(s.claims, name)
}

const (
	// longestTick guards against what a process believes that has not noticed its pause
	// yet: a longer time without a tick is one, whatever it hears before the next.
	maxTickInterval = time.Second
	// distrustFor is how long after a pause this daemon's own view proves nothing.
	postPauseDistrust = 2 * time.Second
	// refusalRemembered guards against a connection that still reports the refusal of its
	// last try while the daemon has started again; daemon.Dialer tries again within 0.6 s.
	refusalCacheTime = time.Second
)

// seenLatelyLocked tells whether a sign of life came from a member itself lately.
func (t *Table) recentlyObservedLocked(name string, now time.Time) bool {
	at, ok := t.observations.lastSeen[name]
	return ok && now.Sub(at) < t.options.SuspectTimeout
}

// inTouchLocked tells whether this daemon heard from another of its data centre
// all the time, without a pause.
func (t *Table) connectedLocked(now time.Time) bool {
	if now.Sub(t.observations.lastTick) > maxTickInterval || now.Sub(t.observations.resumedAt) < postPauseDistrust {
		return false
	}
	for n, m := range t.peers {
		if m.dataCentre == t.self.dataCentre && m.Serving() && t.recentlyObservedLocked(n, now) {
			return true
		}
	}
	return false
}
