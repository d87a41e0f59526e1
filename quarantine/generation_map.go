// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// generationMap keeps lists of names by key for a while, and a bounded number of them. It has two
// generations, of which the older is dropped whole: what was put is kept for a span at least, unless
// more came within it than a generation holds, and for two at most.
type generationMap struct {
	lifetime time.Duration // of a generation
	maxKeys  int           // keys of a generation

	current, previous map[string][]string
	rotatedAt         time.Time // when recent began
}

// rotate begins a new generation where the recent one is old or full.
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

func (m *generationMap) put(key string, names []string, now time.Time) {
	m.rotate(now)
	m.current[key] = names
}

func (m *generationMap) remove(key string) {
	delete(m.current, key)
	delete(m.previous, key)
}
