// SPDX-License-Identifier: Apache-2.0

package member

import "time"

// Exchanged notes that a neighbour answered at now.
func (t *Table) RecordExchange(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastExchange = now
	t.observations.lastSeen[name] = now
	if m, ok := t.peers[name]; ok && m.state == Suspect {
		t.pendingUpdates[name] = t.transmissionLimitLocked() // its refutation will come with its own news
	}
}

// Missed notes that a member did not answer at now: it becomes suspect.
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

// Gone notes that a member's address refuses connections at now: no process
// listens there, so it is dead at once. Of one that has just come up it may be a
// refusal of its life before, so it only becomes suspect.
func (t *Table) RecordRefusal(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.peers[name]
	if !ok || m.state == Dead {
		return
	}
	state := Dead
	if at, again := t.observations.restartedAt[name]; again && now.Sub(at) < refusalCacheTime {
		state = Suspect
	}
	if m.state >= state {
		return // a suspect, or one that leaves and does not come back for that
	}
	m.state = state
	t.setLocked(m, now)
}

// Tick turns silent suspects into dead members and forgets the long dead.
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
		gone := m.state == Dead || m.state == Leaving
		if gone && now.Sub(m.since) > t.options.DeadRetention {
			delete(t.peers, n)
			t.sortedNames, t.cachedSnapshot = nil, nil
			t.observations.forget(n)
			delete(t.pendingUpdates, n)
			t.version++
		}
	}
}

// Paused distrusts the view after a pause of this process: it is not fresh until
// a neighbour was exchanged with again, and suspects get their time anew.
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

// Fresh tells whether a neighbour was exchanged with lately. A daemon that
// knows of no other has nobody to be told by, and counts as fresh.
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

// Seen notes a sign of life at now that came from a member by another way than
// heartbeats, as a stream that it feeds.
func (t *Table) RecordContact(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.observations.lastSeen[name]) {
		t.observations.lastSeen[name] = now
	}
}
