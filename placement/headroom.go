// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
)

// noLimits is the default of Loader.Headroom: no endpoint announces a limit.
func noLimits(string, time.Time) ratelimit.Headroom { return ratelimit.Headroom{HasSpare: true} }

// isSaturated reports whether an endpoint announces a rate limit and receives all the requests
// that it accepts. Adapters are loaded elsewhere where possible, since each adapter attracts
// requests. An endpoint that accepts more than it receives is as good as any other: its slots
// are useful for rarely requested adapters.
func (l *Loader) isSaturated(endpoint string, now time.Time) bool {
	r := l.Headroom(endpoint, now)
	return r.Limited && !r.HasSpare
}

// isThrottled reports whether an endpoint currently accepts no more requests.
func (l *Loader) isThrottled(o *ownedEndpoint, now time.Time) bool {
	r := l.Headroom(o.endpoint.ID(), now)
	return r.Limited && r.Wait > 0
}

// hasAlternativeLocked reports whether the home's service has an endpoint in its data centre that accepts more requests
// and on which the adapter may be loaded.
func (l *Loader) hasAlternativeLocked(a topology.Adapter, home *topology.Endpoint, now time.Time) bool {
	for id, o := range l.owned {
		if o.isAvailable(now) && o.models[a.Model] && isSameSite(o.endpoint, home) && !l.isSaturated(id, now) {
			return true
		}
	}
	return false
}
