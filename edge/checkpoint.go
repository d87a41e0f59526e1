// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"
)

// checkpoints holds, for each collection, the revision up to which this box has no gaps, by its own
// reads and by the status of the boxes that it followed. A watch can resume there at the cost of one
// small response, whereas a full list takes half a megabyte with some thousand routes. The zero value
// has no checkpoints.
type checkpoints struct {
	mu     sync.Mutex
	latest map[Collection]checkpoint
}

// checkpoint is a revision of the source and the time at which it was the latest one.
type checkpoint struct {
	revision Revision
	asOf     time.Time
}

// advance records that a collection has no gaps up to a checkpoint.
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

// of returns the checkpoint of a collection; a zero revision if there is none.
func (k *checkpoints) of(c Collection) checkpoint {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.latest[c]
}
