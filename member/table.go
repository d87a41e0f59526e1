// SPDX-License-Identifier: Apache-2.0

package member

import (
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits are the time spans of the table.
type Limits struct {
	SuspectFor time.Duration // a suspect that says nothing for so long is dead
	ForgetDead time.Duration // how long the dead are remembered
	Fresh      time.Duration // how long an exchange vouches for the view
	Wide       bool          // members of every data centre are kept, not only of the own
}

// Table is one daemon's view of its data centre. It is safe for concurrent
// use; time is passed in.
type Table struct {
	mu      sync.Mutex
	limits  Limits
	self    Member // state Alive or Leaving
	others  map[string]Member
	news    map[string]int // how often each name is still to be told
	version uint64         // grows with each change of the view
	heard   time.Time      // when a neighbour was last exchanged with
	signs   signs
	notify  chan struct{} // closed at each change
}

// NewTable returns the view of self alone.
func NewTable(self Member, l Limits) *Table {
	return &Table{
		limits: l,
		self:   self,
		others: make(map[string]Member),
		signs:  signs{seen: make(map[string]time.Time), risen: make(map[string]time.Time), claims: make(map[string]Member)},
		news:   map[string]int{self.name: 1},
		notify: make(chan struct{}),
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

// All returns every member that is remembered, self too, sorted by name.
func (t *Table) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allLocked()
}

func (t *Table) allLocked() []Member {
	list := make([]Member, 0, len(t.others)+1)
	list = append(list, t.self)
	for _, m := range t.others {
		list = append(list, m)
	}
	sortByName(list)
	return list
}

// Serving returns the members of a role that are believed to work and stay,
// sorted by name.
func (t *Table) Serving(role string) []Member {
	var list []Member
	for _, m := range t.All() {
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
	if name == t.self.name {
		return t.self, true
	}
	m, ok := t.others[name]
	return m, ok
}

// Merge takes in what a peer told at now. What is told about this daemon and
// is not true is answered with a higher incarnation.
func (t *Table) Merge(told []Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range told {
		t.mergeLocked(m, now)
	}
}

func (t *Table) mergeLocked(m Member, now time.Time) {
	if m.name == t.self.name {
		t.refuteLocked(m, now)
		return
	}
	old, known := t.others[m.name]
	foreign := !t.limits.Wide && m.dataCentre != t.self.dataCentre
	if foreign || m.state < Alive || m.state > Dead {
		return
	}
	if known && !m.newer(old) {
		return
	}
	if known && m.incarnation == old.incarnation && m.state != Leaving && t.seenLocked(m.name, now) {
		t.signs.claims[m.name] = m // gossip against a sign of life from the member itself, which will refute it
		return
	}
	if !known && m.state == Dead {
		return // nothing to correct, and it would be told for ever
	}
	if known && m.incarnation > old.incarnation {
		t.signs.risen[m.name] = now
	}
	t.setLocked(m, now)
}

// refuteLocked raises the own incarnation above a claim that differs. A member that
// was believed dead begins a new life by the clock: the others have gone on without
// it, and it must not count as the oldest again. Where others of its data centre saw it
// all the time, only the way from elsewhere was cut, and it stays as old as it is.
func (t *Table) refuteLocked(claim Member, now time.Time) {
	if !claim.newer(t.self) {
		return
	}
	t.self.incarnation = claim.incarnation + 1
	if claim.state == Dead && !t.amongLocked(now) {
		t.self.incarnation = max(t.self.incarnation, uint64(max(now.UnixMicro(), 0)))
	}
	t.changedLocked(t.self.name)
}

func (t *Table) setLocked(m Member, now time.Time) {
	delete(t.signs.claims, m.name)
	m.since = now
	t.others[m.name] = m
	t.changedLocked(m.name)
}

// changedLocked schedules the news of name and wakes those who wait.
func (t *Table) changedLocked(name string) {
	t.news[name] = t.tellLocked()
	t.version++
	close(t.notify)
	t.notify = make(chan struct{})
}

// tellLocked is how often one piece of news is told: enough to reach everyone
// with high probability.
func (t *Table) tellLocked() int {
	return 3 + int(math.Ceil(2*math.Log2(float64(len(t.others)+1))))
}

// Exchanged notes that a neighbour answered at now.
func (t *Table) Exchanged(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = now
	t.signs.seen[name] = now
	if m, ok := t.others[name]; ok && m.state == Suspect {
		t.news[name] = t.tellLocked() // its refutation will come with its own news
	}
}

// Missed notes that a member did not answer at now: it becomes suspect.
func (t *Table) Missed(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.others[name]
	if !ok || m.state != Alive {
		return
	}
	m.state = Suspect
	t.setLocked(m, now)
}

// Gone notes that a member's address refuses connections at now: no process
// listens there, so it is dead at once. Of one that has just come up it may be a
// refusal of its life before, so it only becomes suspect.
func (t *Table) Gone(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.others[name]
	if !ok || m.state == Dead {
		return
	}
	state := Dead
	if risen, again := t.signs.risen[name]; again && now.Sub(risen) < refusedLate {
		state = Suspect
	}
	if m.state == state {
		return
	}
	m.state = state
	t.setLocked(m, now)
}

// Tick turns silent suspects into dead members and forgets the long dead.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.signs.ticked = now
	for n, m := range t.others {
		if m.state == Suspect && now.Sub(m.since) > t.limits.SuspectFor {
			m.state = Dead
			t.setLocked(m, now)
			continue
		}
		gone := m.state == Dead || m.state == Leaving
		if gone && now.Sub(m.since) > t.limits.ForgetDead {
			delete(t.others, n)
			t.signs.forget(n)
			delete(t.news, n)
			t.version++
		}
	}
}

// Leave marks this daemon as leaving; the news spreads with the next
// exchanges.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.state = Leaving
	t.changedLocked(t.self.name)
}

// Woke distrusts the view after a pause of this process: it is not fresh until
// a neighbour was exchanged with again, and suspects get their time anew.
func (t *Table) Woke(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard, t.signs.woke = time.Time{}, now
	clear(t.signs.seen)
	for n, m := range t.others {
		if m.state == Suspect {
			m.since = now
			t.others[n] = m
		}
	}
}

// Fresh tells whether a neighbour was exchanged with lately. A daemon that
// knows of no other has nobody to be told by, and counts as fresh.
func (t *Table) Fresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.others {
		if m.state != Dead {
			return now.Sub(t.heard) <= t.limits.Fresh
		}
	}
	return true
}

// News returns at most limit pieces of news that are still to be told, self
// first, and counts them as told once more.
func (t *Table) News(limit int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for n, left := range t.news {
		if len(list) == limit {
			break
		}
		if m, ok := t.lookupLocked(n); ok {
			list = append(list, m)
		}
		t.news[n] = left - 1
		if left <= 1 {
			delete(t.news, n)
		}
	}
	return list
}

func (t *Table) lookupLocked(name string) (Member, bool) {
	if name == t.self.name {
		return t.self, true
	}
	m, ok := t.others[name]
	return m, ok
}

// knows tells whether an address is that of this daemon or of one that is not
// dead.
func (t *Table) knows(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address == t.self.address {
		return true
	}
	for _, m := range t.others {
		if m.address == address && m.state != Dead {
			return true
		}
	}
	return false
}

// Digest returns a number that equals another table's when both hold the same
// view.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := xxhash.New()
	var number [8]byte
	for _, m := range t.allLocked() {
		if m.state == Dead {
			continue
		}
		_, _ = h.WriteString(m.name)
		binary.LittleEndian.PutUint64(number[:], m.incarnation<<3|uint64(m.state))
		_, _ = h.Write(number[:])
	}
	return h.Sum64()
}

// Neighbours returns the next count members that are not dead, after self on
// the ring of names.
func (t *Table) Neighbours(count int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var after, before []Member
	for _, m := range t.allLocked() {
		if m.name == t.self.name || m.state == Dead {
			continue
		}
		if m.name > t.self.name {
			after = append(after, m)
		} else {
			before = append(before, m)
		}
	}
	ring := append(after, before...)
	return ring[:min(count, len(ring))]
}

// Rank returns this daemon's place among the serving members of its data
// centre on the ring, from zero.
func (t *Table) Rank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := 0
	for _, m := range t.others {
		if m.Serving() && m.name < t.self.name {
			rank++
		}
	}
	return rank
}
