// SPDX-License-Identifier: Apache-2.0

package member

import (
	"sync"
	"time"
)

// Limits are the time spans of the table.
type TableOptions struct {
	SuspectTimeout time.Duration // a suspect that says nothing for so long is dead
	DeadRetention  time.Duration // how long the dead are remembered
	FreshFor       time.Duration // how long an exchange vouches for the view
	AllDataCentres bool          // members of every data centre are kept, not only of the own
}

// Table is one daemon's view of its data centre, or of all of them with
// Limits.Wide. It is safe for concurrent use; time is passed in.
type Table struct {
	mu             sync.Mutex
	options        TableOptions
	self           Member // state Alive or Leaving
	peers          map[string]Member
	pendingUpdates map[string]int // how often each name is still to be told
	sortedNames    []string       // of all, sorted; nil: to be made anew, since one came or went
	cachedSnapshot *snapshot      // of the present state; nil: to be made anew
	version        uint64         // grows with each change of the view
	lastExchange   time.Time      // when a neighbour was last exchanged with
	observations   observations
	notify         chan struct{} // closed at each change
}

// NewTable returns the view of self alone.
func NewTable(self Member, l TableOptions) *Table {
	return &Table{
		options:        l,
		self:           self,
		peers:          make(map[string]Member),
		observations:   observations{lastSeen: make(map[string]time.Time), restartedAt: make(map[string]time.Time), claims: make(map[string]Member)},
		pendingUpdates: map[string]int{self.name: 1},
		notify:         make(chan struct{}),
	}
}

// Self returns this daemon.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Version returns a number that grows with each change of the view.
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

// All returns every member that is remembered, self too, sorted by name. Do not change the
// list.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.membersLocked()
}

func (t *Table) membersLocked() []Member { return t.snapshotLocked().members }

// Serving returns the members of a role that are believed to work and stay,
// sorted by name.
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

// setLocked replaces what is known of another member, whose claims it settles.
func (t *Table) setLocked(m Member, now time.Time) {
	delete(t.observations.claims, m.name)
	m.since = now
	if _, known := t.peers[m.name]; !known {
		t.sortedNames = nil
	}
	t.peers[m.name] = m
	t.changedLocked(m.name)
}

// changedLocked schedules the news of name and wakes those who wait.
func (t *Table) changedLocked(name string) {
	t.pendingUpdates[name] = t.transmissionLimitLocked()
	t.cachedSnapshot = nil
	t.version++
	close(t.notify)
	t.notify = make(chan struct{})
}

// Leave marks this daemon as leaving; the news spreads with the next
// exchanges.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.state = Leaving
	t.changedLocked(t.self.name)
}

// knows tells whether an address is that of this daemon or of one that is not
// dead.
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
