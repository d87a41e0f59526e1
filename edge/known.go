// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"
)

// checkpoints holds, per collection, the revision up to which this box misses nothing, by its own reads and by the
// statuses of the boxes that it followed. A watch can resume there: it costs one small answer, where a list of all
// costs half a megabyte with some thousand routes. The zero value knows nothing.
type checkpoints struct {
	mu     sync.Mutex
	latest map[Collection]checkpoint
}

// checkpoint is a revision of the source, and when that was the latest one.
type checkpoint struct {
	revision Revision
	asOf     time.Time
}

// advance records that nothing of a collection is missing up to a checkpoint.
func (k *checkpoints) advance(c Collection, m checkpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.latest == nil {
		k.latest = make(map[Collection]checkpoint)
	}
	old := k.latest[c]
	if m.revision > old.revision || (m.revision == old.revision && m.asOf.After(old.asOf)) {
		k.latest[c] = m
	}
}

// of returns the checkpoint of a collection; a zero revision: nothing is known.
func (k *checkpoints) of(c Collection) checkpoint {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.latest[c]
}
