// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/topology"
)

// grant is a request that was assigned to an endpoint and that its box has not reported yet.
type grant struct {
	box     string
	adapter topology.Adapter
	tokens  int // of the prompt
	memory  int // tokens of prompt and output
	at      time.Time
}

// grantTimeout is how long a grant counts at most: boxes report a request within some 25 ms, and one that has used up
// its processor share some 100 ms later.
const grantTimeout = 500 * time.Millisecond

// expireGrants drops the grants that were not used.
func (o *ownedEndpoint) expireGrants(now time.Time) {
	expired := 0
	for expired < len(o.grants) && now.Sub(o.grants[expired].at) >= grantTimeout {
		expired++
	}
	o.grants = o.grants[expired:]
}

// settleGrants drops the oldest grants of a box for an adapter, whose requests it has reported.
func (o *ownedEndpoint) settleGrants(box string, a topology.Adapter, started int) {
	kept := o.grants[:0]
	for _, g := range o.grants {
		if started > 0 && g.box == box && g.adapter == a {
			started--
			continue
		}
		kept = append(kept, g)
	}
	o.grants = kept
}

// granted returns the tokens of the grants of an endpoint.
func (o *ownedEndpoint) granted() (tokens, memory int) {
	for _, g := range o.grants {
		tokens += g.tokens
		memory += g.memory
	}
	return tokens, memory
}

// grantsFor returns the number of grants of an endpoint for an adapter.
func (o *ownedEndpoint) grantsFor(a topology.Adapter) int {
	n := 0
	for _, g := range o.grants {
		if g.adapter == a {
			n++
		}
	}
	return n
}
