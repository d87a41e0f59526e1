// SPDX-License-Identifier: Apache-2.0

package member

// Neighbours returns up to count members that are not dead, in name order starting after self
// and wrapping around.
func (t *Table) Neighbours(count int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var after, before []Member
	for _, m := range t.membersLocked() {
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

// Rank returns how many serving members sort before this daemon by name.
func (t *Table) Rank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := 0
	for _, m := range t.peers {
		if m.Serving() && m.name < t.self.name {
			rank++
		}
	}
	return rank
}
