// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

// Ended marks an endpoint as ended after a box observed so while sending it requests. The
// endpoint's entry remains until it expires; until then the endpoint gets no requests or loads.
// Otherwise it would be named to every box that asks for an adapter that it held.
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
	l.cancelPendingLoadsLocked(endpoint) // re-evaluates the requests that wait for loads there
	for _, s := range o.slots {
		s.notifyWaiters()
	}
}

// isAvailable reports whether an endpoint can take requests and loads, as far as is known.
func (o *ownedEndpoint) isAvailable(now time.Time) bool {
	return o.phase == owning && !o.endpoint.Draining() && !now.Before(o.endedUntil)
}
