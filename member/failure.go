// SPDX-License-Identifier: Apache-2.0

package member

import "time"

// RecordExchange records a completed heartbeat exchange with a member at now.
func (t *Table) RecordExchange(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastExchange = now
	t.observations.lastSeen[name] = now
	if m, ok := t.peers[name]; ok && m.state == Suspect {
		t.scheduleUpdateLocked(name) // stays Suspect until its own updates carry the refutation
	}
}

// RecordTimeout marks an alive member as suspect because it did not answer at now.
func (t *Table) RecordTimeout(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.peers[name]
	if !ok || m.state != Alive {
		return
	}
	m.state = Suspect
	t.setLocked(m, now)
}

// RecordRefusal marks a member as dead because its address refused a connection at now, so that no process
// listens there. A member that has just restarted only becomes suspect, since the refusal may
// have been of its previous incarnation.
func (t *Table) RecordRefusal(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.peers[name]
	if !ok || m.state == Dead {
		return
	}
	state := Dead
	if at, restarted := t.observations.restartedAt[name]; restarted && now.Sub(at) < refusalCacheTime {
		state = Suspect
	}
	if m.state >= state {
		return // already suspect, or leaving, which a suspicion must not revert
	}
	m.state = state
	t.setLocked(m, now)
}

// Tick declares suspects dead after SuspectTimeout and removes dead and leaving members after DeadRetention.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observations.lastTick = now
	for n, m := range t.peers {
		if m.state == Suspect && now.Sub(m.since) > t.options.SuspectTimeout {
			m.state = Dead
			t.setLocked(m, now)
			continue
		}
		departed := m.state == Dead || m.state == Leaving
		if departed && now.Sub(m.since) > t.options.DeadRetention {
			delete(t.peers, n)
			t.sortedNames, t.cachedSnapshot = nil, nil
			t.observations.forget(n)
			delete(t.pendingUpdates, n)
			t.version++
		}
	}
}

// RecordPause invalidates the view after this process was paused. The view is not fresh until the next
// exchange, direct contacts are discarded, and the timeouts of suspects start again.
func (t *Table) RecordPause(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastExchange, t.observations.resumedAt = time.Time{}, now
	clear(t.observations.lastSeen)
	for n, m := range t.peers {
		if m.state == Suspect {
			m.since = now
			t.peers[n] = m
			t.cachedSnapshot = nil
		}
	}
}

// Fresh reports whether the latest exchange is within FreshFor. A view without other live members
// has no one to exchange with and counts as fresh.
func (t *Table) Fresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.peers {
		if m.state != Dead {
			return now.Sub(t.lastExchange) <= t.options.FreshFor
		}
	}
	return true
}

// RecordContact records direct contact with a member at now outside heartbeats, such as
// a message on a stream from it.
func (t *Table) RecordContact(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.observations.lastSeen[name]) {
		t.observations.lastSeen[name] = now
	}
}
