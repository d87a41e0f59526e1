// SPDX-License-Identifier: Apache-2.0

package member

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// snapshot is an immutable copy of a table. Each heartbeat reads it several times, so it is cached
// until the next change: with 195 members an exchange takes 0.009 ms
// instead of 0.16 ms (BenchmarkIdleExchange).
type snapshot struct {
	members []Member // including self and the dead, sorted by name
	summary viewSummary
}

// viewSummary summarises the members that are not dead.
type viewSummary struct {
	digest    uint64 // equal for tables with the same view
	liveCount int    // including self
}

func (t *Table) snapshotLocked() *snapshot {
	if t.cachedSnapshot == nil {
		t.cachedSnapshot = t.newSnapshotLocked()
	}
	return t.cachedSnapshot
}

func (t *Table) newSnapshotLocked() *snapshot {
	if t.sortedNames == nil {
		t.sortedNames = append(slices.Collect(maps.Keys(t.peers)), t.self.name)
		slices.Sort(t.sortedNames)
	}
	s := &snapshot{members: make([]Member, 0, len(t.sortedNames))}
	h := xxhash.New()
	var buf [8]byte
	for _, n := range t.sortedNames {
		m, _ := t.lookupLocked(n)
		s.members = append(s.members, m)
		if m.state == Dead {
			continue
		}
		s.summary.liveCount++
		_, _ = h.WriteString(m.name)
		binary.LittleEndian.PutUint64(buf[:], m.incarnation<<3|uint64(m.state))
		_, _ = h.Write(buf[:])
	}
	s.summary.digest = h.Sum64()
	return s
}
