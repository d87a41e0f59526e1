// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/topology"
)

// noLimits is Room where endpoints name no limits.
func noLimits(string, time.Time) (time.Duration, bool) { return 0, false }

// isLimited tells whether an endpoint names a limit of how many requests it takes: it gets no further
// adapters where another one can be had, since each brings it requests.
func (l *Loader) isLimited(o *owned, now time.Time) bool {
	_, limited := l.Room(o.endpoint.ID(), now)
	return limited
}

// isCrowded tells whether an endpoint takes no more requests just now.
func (l *Loader) isCrowded(o *owned, now time.Time) bool {
	wait, limited := l.Room(o.endpoint.ID(), now)
	return limited && wait > 0
}

// hasOthersLocked tells whether an adapter may be loaded in a data centre at an endpoint that names no
// limit.
func (l *Loader) hasOthersLocked(a topology.Adapter, centre string, now time.Time) bool {
	for _, o := range l.owned {
		if o.serves(now) && o.models[a.Model] && o.endpoint.DataCentre() == centre && !l.isLimited(o, now) {
			return true
		}
	}
	return false
}
