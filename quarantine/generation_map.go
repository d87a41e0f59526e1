// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// generationMap is a bounded map from keys to lists of names whose entries expire. It has two generations;
// the previous one is discarded as a whole. An entry is kept for at least one lifetime, unless maxKeys
// newer ones arrive earlier, and for at most two.
type generationMap struct {
	lifetime time.Duration // of a generation
	maxKeys  int           // of a generation

	current, previous map[string][]string
	rotatedAt         time.Time // when current was created
}

// rotate starts a new generation if the current one is expired or full.
func (m *generationMap) rotate(now time.Time) {
	if m.current != nil && now.Sub(m.rotatedAt) < m.lifetime && len(m.current) < m.maxKeys {
		return
	}
	m.previous = m.current
	if now.Sub(m.rotatedAt) >= 2*m.lifetime {
		m.previous = nil
	}
	m.current, m.rotatedAt = make(map[string][]string), now
}

func (m *generationMap) get(key string, now time.Time) (names []string, ok bool) {
	m.rotate(now)
	if names, ok = m.current[key]; !ok {
		names, ok = m.previous[key]
	}
	return names, ok
}

// hasCurrent reports whether the key is in the current generation, so that put would change nothing but its names.
func (m *generationMap) hasCurrent(key string, now time.Time) bool {
	m.rotate(now)
	_, ok := m.current[key]
	return ok
}

func (m *generationMap) put(key string, names []string, now time.Time) {
	m.rotate(now)
	m.current[key] = names
}

func (m *generationMap) remove(key string) {
	delete(m.current, key)
	delete(m.previous, key)
}
