// SPDX-License-Identifier: Apache-2.0

package member

import (
	"sync"
	"time"
)

// TableOptions configures a Table.
type TableOptions struct {
	SuspectTimeout time.Duration // until a suspect that does not refute is declared dead
	DeadRetention  time.Duration // how long dead and leaving members are kept
	FreshFor       time.Duration // how long the view counts as fresh after an exchange
	AllDataCentres bool          // keep members of every data centre, not only of the own
}

// Table is one daemon's view of the members of its data centre, or of all data centres with
// TableOptions.AllDataCentres. It is safe for concurrent use. Callers pass in the current time.
type Table struct {
	mu             sync.Mutex
	options        TableOptions
	self           Member // state Alive or Leaving
	peers          map[string]Member
	pendingUpdates map[string]pendingUpdate // by name
	sortedNames    []string                 // of all members; nil after one was added or removed
	cachedSnapshot *snapshot                // of the current state; nil after a change
	version        uint64                   // increases with each change of the view
	lastExchange   time.Time
	observations   observations
	notify         chan struct{} // closed at each change
}

// NewTable returns a table that contains only self.
func NewTable(self Member, o TableOptions) *Table {
	return &Table{
		options:        o,
		self:           self,
		peers:          make(map[string]Member),
		observations:   observations{lastSeen: make(map[string]time.Time), restartedAt: make(map[string]time.Time), claims: make(map[string]Member)},
		pendingUpdates: map[string]pendingUpdate{self.name: {left: 1}},
		notify:         make(chan struct{}),
	}
}

// Self returns this daemon.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Version returns a number that increases with each change of the view.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Changed returns a channel that closes at the next change of the view.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notify
}

// Members returns every known member, including self and the dead, sorted by name. The slice
// must not be modified.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.membersLocked()
}

func (t *Table) membersLocked() []Member { return t.snapshotLocked().members }

// Serving returns the members of a role that are alive or suspect, sorted by name.
func (t *Table) Serving(role string) []Member {
	var list []Member
	for _, m := range t.Members() {
		if m.role == role && m.Serving() {
			list = append(list, m)
		}
	}
	return list
}

// Find returns a member by name.
func (t *Table) Find(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lookupLocked(name)
}

// setLocked replaces the entry of another member and discards the claims about it.
func (t *Table) setLocked(m Member, now time.Time) {
	delete(t.observations.claims, m.name)
	m.since = now
	if _, known := t.peers[m.name]; !known {
		t.sortedNames = nil
	}
	t.peers[m.name] = m
	t.changedLocked(m.name)
}

// changedLocked schedules an update of name for transmission and notifies waiters.
func (t *Table) changedLocked(name string) {
	t.cachedSnapshot = nil
	t.version++
	t.scheduleUpdateLocked(name)
	close(t.notify)
	t.notify = make(chan struct{})
}

// Leave marks this daemon as leaving. The next exchanges spread the change.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.state = Leaving
	t.changedLocked(t.self.name)
}

// SetCutOff sets whether this daemon can open no connections to the endpoints, though others can. The incarnation rises,
// so that the entry supersedes the previous one. A daemon that is cut off takes it from the clock and so ranks as the
// youngest member: others take over its work, and keep it.
func (t *Table) SetCutOff(cutOff bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.cutOff == cutOff {
		return
	}
	t.self.cutOff = cutOff
	t.self.incarnation++
	if cutOff {
		t.self.incarnation = max(t.self.incarnation, uint64(max(now.UnixMicro(), 0)))
	}
	t.changedLocked(t.self.name)
}

// isLiveAddress reports whether an address belongs to this daemon or to a member that is not dead.
func (t *Table) isLiveAddress(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address == t.self.address {
		return true
	}
	for _, m := range t.peers {
		if m.address == address && m.state != Dead {
			return true
		}
	}
	return false
}

func (t *Table) lookupLocked(name string) (Member, bool) {
	if name == t.self.name {
		return t.self, true
	}
	m, ok := t.peers[name]
	return m, ok
}
