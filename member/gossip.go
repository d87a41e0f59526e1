// SPDX-License-Identifier: Apache-2.0

package member

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Merge applies member entries received from a peer at now. A false claim about this daemon is
// refuted with a higher incarnation.
func (t *Table) Merge(received []Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range received {
		t.mergeLocked(m, now)
	}
}

// maxIncarnation is the highest incarnation accepted from a peer. It is above any clock reading in microseconds
// and leaves room for refutations, which set the own incarnation to one more than claimed and must not overflow.
const maxIncarnation = 1 << 62

// mergeLocked applies one entry, unless the known entry is as recent or recent direct contact
// with the member contradicts it.
func (t *Table) mergeLocked(m Member, now time.Time) {
	if m.incarnation > maxIncarnation {
		return
	}
	if m.name == t.self.name {
		t.refuteLocked(m, now)
		return
	}
	old, known := t.peers[m.name]
	outOfScope := !t.options.AllDataCentres && m.dataCentre != t.self.dataCentre
	if outOfScope || m.state < Alive || m.state > Dead {
		return
	}
	if known && !m.supersedes(old) {
		return
	}
	if known && m.incarnation == old.incarnation && m.state != old.state && m.state != Leaving && t.recentlyObservedLocked(m.name, now) {
		t.observations.claims[m.name] = m // contradicts direct contact; passed to the member, which refutes it
		return
	}
	if !known && m.state == Dead {
		return // there is no entry to correct, and forgotten dead members would circulate indefinitely
	}
	if known && m.incarnation > old.incarnation {
		t.observations.restartedAt[m.name] = now
	}
	t.setLocked(m, now)
}

// refuteLocked raises the own incarnation above a claim that supersedes the own entry. A daemon that
// was declared dead takes a new incarnation from the clock: others took over its work, and
// it must not rank as the oldest member again. If it stayed connected to members of its own data centre,
// only the path to other data centres was interrupted, and it keeps its seniority.
func (t *Table) refuteLocked(claim Member, now time.Time) {
	if !claim.supersedes(t.self) {
		return
	}
	t.self.incarnation = claim.incarnation + 1
	if claim.state == Dead && !t.connectedLocked(now) {
		t.self.incarnation = max(t.self.incarnation, uint64(max(now.UnixMicro(), 0)))
	}
	t.changedLocked(t.self.name)
}

// pendingUpdate is a change of an entry that is still being sent to other members.
type pendingUpdate struct {
	left    int    // transmissions left
	version uint64 // of the table when the entry changed
}

// newestUpdates is the part of the updates of a heartbeat that goes to the latest changes. While a large cluster starts,
// each entry has many transmissions left: a later change lost its precedence after six of them, and members that
// had not received it by then waited for more than a second.
const newestUpdates = 0.5

// NextUpdates returns at most limit pending updates: the latest changes, and those with the most transmissions left. It
// counts one transmission of each. After a simultaneous start, each of 195 daemons has 195 updates to send about twenty
// times: with random selection a change took more than 2 s to reach half of the daemons; sending the least
// transmitted first, it reaches nearly all within 0.5 s.
func (t *Table) NextUpdates(limit int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Collect(maps.Keys(t.pendingUpdates))
	if len(names) > limit {
		newest := int(newestUpdates * float64(limit))
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Compare(t.pendingUpdates[b].version, t.pendingUpdates[a].version)
		})
		slices.SortFunc(names[newest:], func(a, b string) int {
			return cmp.Compare(t.pendingUpdates[b].left, t.pendingUpdates[a].left)
		})
		names = names[:limit]
	}
	var list []Member
	for _, n := range names {
		if m, ok := t.lookupLocked(n); ok {
			list = append(list, m)
		}
		u := t.pendingUpdates[n]
		if u.left--; u.left > 0 {
			t.pendingUpdates[n] = u
		} else {
			delete(t.pendingUpdates, n)
		}
	}
	return list
}

// scheduleUpdateLocked makes the next heartbeats carry the entry of a member.
func (t *Table) scheduleUpdateLocked(name string) {
	t.pendingUpdates[name] = pendingUpdate{left: t.transmissionLimitLocked(), version: t.version}
}

// transmissionLimitLocked returns how many times an update is sent, enough to reach every member
// with high probability.
func (t *Table) transmissionLimitLocked() int {
	return 3 + int(math.Ceil(2*math.Log2(float64(len(t.peers)+1))))
}

// viewSummary summarises the members that are not dead.
func (t *Table) viewSummary() viewSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshotLocked().summary
}

// ClaimsAbout returns the claims, from this table or from gossip, that the member at address is suspect or dead.
// They are sent to the member so that it can refute them.
func (t *Table) ClaimsAbout(address string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for n, m := range t.peers {
		if m.address != address {
			continue
		}
		if claim, ok := t.observations.claims[n]; ok {
			list = append(list, claim)
		} else if m.state == Suspect || m.state == Dead {
			list = append(list, m)
		}
	}
	return list
}
