// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
)

// Revision orders everything that a source publishes, also where the source was restored from an older copy and
// gives its own revisions out again: a later epoch comes first, then the source's revision, then the standing.
// The zero Revision is before all others.
type Revision uint64

// The parts of a Revision, from the highest bits to the lowest.
const (
	epochBits  = 18
	numberBits = 44
	flagBits   = 2
)

// The standings of a fact at a revision, combined by or; none: it is as the source published it.
const (
	// keptFlag is of a fact that boxes knew before the source was restored, and that stays in place of what
	// the copy says at that revision.
	keptFlag = 1
	// confirmedFlag is of a fact of the copy that is true again, since its entry outlived a lease.
	confirmedFlag = 2
)

// NewRevision returns a revision by the source's epoch, zero where it has none, and its own number.
func NewRevision(epoch, count uint64) (Revision, error) {
	if epoch >= 1<<epochBits {
		return 0, errors.Errorf("source: epoch %d is above %d", epoch, 1<<epochBits-1)
	}
	if count >= 1<<numberBits {
		return 0, errors.Errorf("source: revision %d is above %d", count, uint64(1<<numberBits-1))
	}
	return Revision(epoch<<(numberBits+flagBits) | count<<flagBits), nil
}

// Epoch returns how often the source was restored, by its own count.
func (r Revision) Epoch() uint64 { return uint64(r) >> (numberBits + flagBits) }

// Number returns the source's own number.
func (r Revision) Number() uint64 { return uint64(r) >> flagBits & (1<<numberBits - 1) }

// Kept returns the revision of a fact that stays in place of the one published at r.
func (r Revision) Kept() Revision { return r | keptFlag }

// IsKept reports whether the fact stays in place of what the source says.
func (r Revision) IsKept() bool { return r&keptFlag != 0 }

// Confirmed returns the revision of a fact of a restored copy that is true again.
func (r Revision) Confirmed() Revision { return r | confirmedFlag }

// IsConfirmed reports whether a fact of a restored copy is true again.
func (r Revision) IsConfirmed() bool { return r&confirmedFlag != 0 }

// String returns the source's number, with the epoch before it where there is one.
func (r Revision) String() string {
	text := strconv.FormatUint(r.Number(), 10)
	if e := r.Epoch(); e != 0 {
		text = fmt.Sprintf("%d/%s", e, text)
	}
	if r.IsKept() {
		text += " kept"
	}
	if r.IsConfirmed() {
		text += " confirmed"
	}
	return text
}
