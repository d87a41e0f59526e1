// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"slices"

	"cairnwick.example/access"
)

// ranks orders requests by the priority of their organisation and then by that of their route.
// Where all organisations have the same priority, a rank is the priority of the route.
type priorityRanks struct {
	organisations []int // the priorities that there are, the most urgent first
	routes        []int
}

func newPriorityRanks(routes []*Route, d *access.Directory) priorityRanks {
	var k priorityRanks
	for _, r := range routes {
		k.routes = append(k.routes, r.Priority())
	}
	for _, o := range d.All() {
		k.organisations = append(k.organisations, o.Priority())
	}
	slices.Sort(k.routes)
	slices.Sort(k.organisations)
	k.routes = slices.Compact(k.routes)
	k.organisations = slices.Compact(k.organisations)
	return k
}

// rankMost is the least urgent rank that endpoints tell from others.
const maxRank = 9

func (k priorityRanks) of(r *Route, o *access.Organisation) int {
	if len(k.organisations) < 2 {
		return r.Priority()
	}
	first := len(k.organisations) - 1 // requests without an organisation are as the least urgent ones
	if o != nil {
		first = max(slices.Index(k.organisations, o.Priority()), 0)
	}
	rank := first*len(k.routes) + max(slices.Index(k.routes, r.Priority()), 0)
	if most := len(k.organisations)*len(k.routes) - 1; most > maxRank {
		return rank * maxRank / most
	}
	return rank
}
