// SPDX-License-Identifier: Apache-2.0

package member

import "time"

// observations holds what this daemon observed itself, rather than through gossip. Guarded by Table.mu.
type observations struct {
	lastSeen    map[string]time.Time // by name: latest direct contact with the member
	restartedAt map[string]time.Time // by name: when a higher incarnation was first received
	claims      map[string]Member    // by name: gossip that contradicts recent direct contact
	lastTick    time.Time
	resumedAt   time.Time // end of the last pause of this process
}

func (o *observations) forget(name string) {
	delete(o.lastSeen, name)
	delete(o.restartedAt, name)
	delete(o.claims, name)
}

const (
	// maxTickInterval bounds the time between two calls of Tick. A longer interval means that the process
	// was paused, even if the heartbeat loop has not detected that yet and messages are already coming in.
	maxTickInterval = time.Second
	// postPauseDistrust is how long after a pause the daemon's own view is not used as evidence.
	postPauseDistrust = 2 * time.Second
	// refusalCacheTime covers connections that still report an earlier refusal although the daemon
	// has restarted since. daemon.Dialer reconnects within 0.6 s.
	refusalCacheTime = time.Second
)

// recentlyObservedLocked reports whether the member was in direct contact within SuspectTimeout.
func (t *Table) recentlyObservedLocked(name string, now time.Time) bool {
	at, ok := t.observations.lastSeen[name]
	return ok && now.Sub(at) < t.options.SuspectTimeout
}

// connectedLocked reports whether this daemon has not been paused lately and was in recent contact with another
// member of its data centre.
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
