// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"slices"

	"cairnwick.example/access"
)

// priorityRanks orders requests by the priority of their organisation and then by that of their route.
// If all organisations have the same priority, the rank is the priority of the route.
type priorityRanks struct {
	organisations []int // distinct priorities, the most urgent first
	routes        []int // likewise
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

// maxRank is the least urgent rank that endpoints distinguish. Higher ranks are scaled down to it.
const maxRank = 9

func (k priorityRanks) of(r *Route, o *access.Organisation) int {
	if len(k.organisations) < 2 {
		return r.Priority()
	}
	rank := k.organisationStep(o)*len(k.routes) + max(slices.Index(k.routes, r.Priority()), 0)
	if highest := len(k.organisations)*len(k.routes) - 1; highest > maxRank {
		return rank * maxRank / highest
	}
	return rank
}

// organisationStep returns how many distinct priorities of organisations are more urgent than o's. Without an
// organisation a request is as urgent as one of the least urgent organisation.
func (k priorityRanks) organisationStep(o *access.Organisation) int {
	switch {
	case len(k.organisations) == 0:
		return 0
	case o == nil:
		return len(k.organisations) - 1
	}
	return max(slices.Index(k.organisations, o.Priority()), 0)
}
