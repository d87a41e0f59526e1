// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
)

// Revision orders everything that a source publishes, even if the source was restored from an older
// copy and assigns the same revision numbers again. It is ordered by epoch, then by the source's
// revision number, then by the flags. The zero Revision comes before all others.
type Revision uint64

// Bit widths of the parts of a Revision, from the highest bits to the lowest.
const (
	epochBits  = 18
	numberBits = 44
	flagBits   = 2
)

// Flags of a fact; none are set on a fact as published by the source.
const (
	// keptFlag marks a fact known before the source was restored that replaces the one in the copy at
	// this revision.
	keptFlag = 1
	// confirmedFlag marks a fact in a restored copy that is valid again, since its entry outlived a
	// lease.
	confirmedFlag = 2
)

// NewRevision returns a revision from the epoch of a source, zero if it has none, and its revision
// number.
func NewRevision(epoch, count uint64) (Revision, error) {
	if epoch >= 1<<epochBits {
		return 0, errors.Errorf("source: epoch %d is above %d", epoch, 1<<epochBits-1)
	}
	if count >= 1<<numberBits {
		return 0, errors.Errorf("source: revision %d is above %d", count, uint64(1<<numberBits-1))
	}
	return Revision(epoch<<(numberBits+flagBits) | count<<flagBits), nil
}

// Epoch returns how often the source was restored, as counted by the source.
func (r Revision) Epoch() uint64 { return uint64(r) >> (numberBits + flagBits) }

// Number returns the source's revision number, which starts over from the copy's at a restore.
func (r Revision) Number() uint64 { return uint64(r) >> flagBits & (1<<numberBits - 1) }

// Kept returns the revision of a fact that replaces the one published at r.
func (r Revision) Kept() Revision { return r | keptFlag }

// IsKept reports whether the fact replaces the one that the source published.
func (r Revision) IsKept() bool { return r&keptFlag != 0 }

// Confirmed returns the revision of a fact in a restored copy that is valid again.
func (r Revision) Confirmed() Revision { return r | confirmedFlag }

// IsConfirmed reports whether a fact in a restored copy is valid again.
func (r Revision) IsConfirmed() bool { return r&confirmedFlag != 0 }

// String returns the revision number, prefixed by the epoch unless that is zero, and the flags.
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
