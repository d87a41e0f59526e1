// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"maps"

	"cairnwick.example/clock"
)

// BalanceCounts is a snapshot of the loader's state for endpoints that are balanced by work.
type BalanceCounts struct {
	Endpoints map[string]EndpointWork `json:"endpoints"` // owned by this box
	Slots     map[string]SlotCounts   `json:"slots"`     // by data centre and service, as in "dc-1/llm"
	Decisions map[string]int64        `json:"decisions"` // by reason
}

// SlotCounts are the adapter slots of a service's endpoints in one data centre, of those that this box owns.
type SlotCounts struct {
	Free     int     `json:"free"`     // not in use and not being filled, less the loads that wait; may be negative
	Needed   float64 `json:"needed"`   // requests per second whose adapter no endpoint held
	Released float64 `json:"released"` // slots per second that were emptied for other adapters
	Reserved float64 `json:"reserved"` // free slots that the least urgent requests leave to more urgent ones
}

// EndpointWork is the work of one endpoint, of the requests of all boxes.
type EndpointWork struct {
	Slowdown     float64 `json:"slowdown"`      // times as long as endpoints in general take to read a prompt
	UnreadTokens int     `json:"unread_tokens"` // tokens of prompts that it has not read, grants not included
	MemoryTokens int     `json:"memory_tokens"` // tokens of prompts and outputs, grants not included
	Grants       int     `json:"grants"`        // requests assigned to it that no box has reported yet
}

// BalanceCounts returns a snapshot of the state of the endpoints that this box owns and that are balanced by work.
func (l *Loader) BalanceCounts() BalanceCounts {
	l.Init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	c := BalanceCounts{Endpoints: make(map[string]EndpointWork), Slots: make(map[string]SlotCounts), Decisions: maps.Clone(l.decisions)}
	for id, o := range l.owned {
		if o.phase != owning || !l.engineSpec(o.endpoint).IsMemoryBound() {
			continue
		}
		o.expireGrants(now)
		c.Endpoints[id] = EndpointWork{
			Slowdown:     l.speeds.Slowdown(id, now),
			UnreadTokens: l.inFlight.prefillTokens(id),
			MemoryTokens: l.inFlight.memoryTokens(id),
			Grants:       len(o.grants),
		}
		if name := o.endpoint.DataCentre() + "/" + o.endpoint.Service(); c.Slots[name] == (SlotCounts{}) {
			c.Slots[name] = l.slotCountsLocked(o.endpoint, now)
		}
	}
	return c
}
