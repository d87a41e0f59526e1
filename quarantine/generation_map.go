// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// memory keeps lists of names by key for a while, and a bounded number of them. It has two
// generations, of which the older is dropped whole: what was put is kept for a span at least, unless
// more came within it than a generation holds, and for two at most.
type memory struct {
	span time.Duration // of a generation
	most int           // keys of a generation

	recent, older map[string][]string
	begun         time.Time // when recent began
}

// turn begins a new generation where the recent one is old or full.
func (m *memory) turn(now time.Time) {
	if m.recent != nil && now.Sub(m.begun) < m.span && len(m.recent) < m.most {
		return
	}
	m.older = m.recent
	if now.Sub(m.begun) >= 2*m.span {
		m.older = nil
	}
	m.recent, m.begun = make(map[string][]string), now
}

func (m *memory) get(key string, now time.Time) (names []string, ok bool) {
	m.turn(now)
	if names, ok = m.recent[key]; !ok {
		names, ok = m.older[key]
	}
	return names, ok
}

func (m *memory) put(key string, names []string, now time.Time) {
	m.turn(now)
	m.recent[key] = names
}

func (m *memory) drop(key string) {
	delete(m.recent, key)
	delete(m.older, key)
}
