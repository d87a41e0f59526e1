// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"strings"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/wire"
)

// Status describes the endpoints that this scheduler owns or claims.
func (s *Scheduler) Status() []*wire.EndpointStatus {
	var list []*wire.EndpointStatus
	for _, e := range s.allEndpoints() {
		e.mu.Lock()
		if e.ownership != notOwned {
			list = append(list, e.statusLocked(clock.Now()))
		}
		e.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b *wire.EndpointStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (e *endpoint) statusLocked(now time.Time) *wire.EndpointStatus {
	status := &wire.EndpointStatus{
		Name:      e.name,
		Base:      e.spec.Base(),
		State:     e.ownership.String() + ", " + string(e.spec.State()),
		Fence:     e.fence.String(),
		Running:   int32(e.running()),
		Limit:     int32(e.concurrencyLimitLocked()),
		Waiting:   int32(len(e.waiters)),
		AgeMicros: now.Sub(e.verifiedAt).Microseconds(),
	}
	for n, sl := range e.slots {
		status.Slots = append(status.Slots, &wire.SlotStatus{Adapter: n, State: sl.state.String(), Grants: int32(e.inUse[n])})
	}
	slices.SortFunc(status.Slots, func(a, b *wire.SlotStatus) int { return strings.Compare(a.Adapter, b.Adapter) })
	return status
}
