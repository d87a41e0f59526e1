// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"
)

// known is up to where this box misses nothing of what the source published: by what it read
// itself, and by the words of the boxes that it followed. A box that must read again goes on
// from there: a watch of what changed since costs one small answer, where a list of all costs
// half a megabyte with some thousand routes. The zero value knows nothing.
type known struct {
	mu    sync.Mutex
	marks map[Collection]mark
}

// mark is a revision of the source, and when that was the latest one.
type mark struct {
	revision Revision
	asOf     time.Time
}

// raise notes that nothing of a collection is missing up to a mark.
func (k *known) raise(c Collection, m mark) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.marks == nil {
		k.marks = make(map[Collection]mark)
	}
	old := k.marks[c]
	if m.revision > old.revision || (m.revision == old.revision && m.asOf.After(old.asOf)) {
		k.marks[c] = m
	}
}

// of returns up to where nothing of a collection is missing; a zero revision: nothing is known.
func (k *known) of(c Collection) mark {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.marks[c]
}
