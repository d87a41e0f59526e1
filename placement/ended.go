// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

// Ended hears that an endpoint ended, as a box found out that sent it requests. Its entry stays until
// it lapses; until then no request is brought to it and nothing is loaded there. It guards against
// naming it to each box that asks for an adapter that it held.
func (l *Loader) Ended(endpoint string, until time.Time) {
	l.Init()
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.owned[endpoint]
	if o == nil {
		return
	}
	if until.After(o.endedUntil) {
		o.endedUntil = until
	}
	l.cancelPendingLoadsLocked(endpoint) // who waits for a load there is looked at again
	for _, s := range o.slots {
		s.notifyWaiters()
	}
}

// serves tells whether an endpoint can take requests and loads at now, as far as is known.
func (o *ownedEndpoint) isAvailable(now time.Time) bool {
	return o.phase == owning && !o.endpoint.Draining() && !now.Before(o.endedUntil)
}
