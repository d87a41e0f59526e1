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
	epochBits    = 18
	countBits    = 44
	standingBits = 2
)

// The standings of a fact at a revision, combined by or; none: it is as the source published it.
const (
	// keptStanding is of a fact that boxes knew before the source was restored, and that stays in place of what
	// the copy says at that revision.
	keptStanding = 1
	// confirmedStanding is of a fact of the copy that is true again, since its entry outlived a lease.
	confirmedStanding = 2
)

// NewRevision returns a revision by the source's epoch, zero where it has none, and its own number.
func NewRevision(epoch, count uint64) (Revision, error) {
	if epoch >= 1<<epochBits {
		return 0, errors.Errorf("source: epoch %d is above %d", epoch, 1<<epochBits-1)
	}
	if count >= 1<<countBits {
		return 0, errors.Errorf("source: revision %d is above %d", count, uint64(1<<countBits-1))
	}
	return Revision(epoch<<(countBits+standingBits) | count<<standingBits), nil
}

// Epoch returns how often the source was restored, by its own count.
func (r Revision) Epoch() uint64 { return uint64(r) >> (countBits + standingBits) }

// Count returns the source's own number.
func (r Revision) Count() uint64 { return uint64(r) >> standingBits & (1<<countBits - 1) }

// Kept returns the revision of a fact that stays in place of the one published at r.
func (r Revision) Kept() Revision { return r | keptStanding }

// IsKept reports whether the fact stays in place of what the source says.
func (r Revision) IsKept() bool { return r&keptStanding != 0 }

// Confirmed returns the revision of a fact of a restored copy that is true again.
func (r Revision) Confirmed() Revision { return r | confirmedStanding }

// IsConfirmed reports whether a fact of a restored copy is true again.
func (r Revision) IsConfirmed() bool { return r&confirmedStanding != 0 }

// String returns the source's number, with the epoch before it where there is one.
func (r Revision) String() string {
	text := strconv.FormatUint(r.Count(), 10)
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
