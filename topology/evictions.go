// SPDX-License-Identifier: Apache-2.0

package topology

// memoryMost is how many adapters that left an endpoint are remembered for it: more than
// an endpoint's memory keeps.
const maxEvictionHistory = 256

// memory is the adapters that left an endpoint's slots, by when they did: its own memory
// keeps the latest. The zero value holds none.
type evictionHistory struct {
	sequences map[Adapter]int // when each left, counted in adapters
	count     int
}

// add notes that an adapter left just now; the one that left first is forgotten where
// there are too many.
func (m *evictionHistory) add(a Adapter) {
	if m.sequences == nil {
		m.sequences = make(map[Adapter]int)
	}
	m.count++
	m.sequences[a] = m.count
	if len(m.sequences) <= maxEvictionHistory {
		return
	}
	first, least := a, m.count
	for b, n := range m.sequences {
		if n < least {
			first, least = b, n
		}
	}
	delete(m.sequences, first)
}

// since returns how many times an adapter left since one did; false where it is not
// remembered.
func (m *evictionHistory) evictionsSince(a Adapter) (int, bool) {
	n, ok := m.sequences[a]
	return m.count - n, ok
}
