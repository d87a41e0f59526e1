// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
)

// noLimits is Room where endpoints name no limits.
func noLimits(string, time.Time) ratelimit.Room { return ratelimit.Room{Spare: true} }

// isTaken tells whether an endpoint names a limit and gets all that it takes: no adapter is loaded there
// where another one can be had, since each brings it requests. One that takes more than it gets is as
// good as any: its slots are of use to adapters that few ask for.
func (l *Loader) isSaturated(endpoint string, now time.Time) bool {
	r := l.Headroom(endpoint, now)
	return r.Limited && !r.Spare
}

// isCrowded tells whether an endpoint takes no more requests just now.
func (l *Loader) isThrottled(o *ownedEndpoint, now time.Time) bool {
	r := l.Headroom(o.endpoint.ID(), now)
	return r.Limited && r.Wait > 0
}

// hasOthersLocked tells whether an adapter may be loaded in a data centre at an endpoint that takes more
// requests.
func (l *Loader) hasAlternativeLocked(a topology.Adapter, centre string, now time.Time) bool {
	for id, o := range l.owned {
		if o.isAvailable(now) && o.models[a.Model] && o.endpoint.DataCentre() == centre && !l.isSaturated(id, now) {
			return true
		}
	}
	return false
}
