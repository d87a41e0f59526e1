// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/forward"
)

const (
	// promisedHalf is the half-life of the tokens of prompts that boxes were told where to
	// send and of which they have not told yet: they do within some 25 ms.
	promisedHalf = 25 * time.Millisecond
	// spreadMargin is how much sooner a prompt must be read elsewhere for its adapter to be
	// loaded there too: the copy takes a slot from other adapters.
	spreadMargin = 100 * time.Millisecond
)

// spreadLocked answers a request whose adapter is ready at an endpoint, as far as its box
// knows: it goes where its prompt is read first, of the endpoints that hold the adapter; or
// it says where the adapter is better loaded, when that is much sooner.
func (l *Loader) spreadLocked(o *owned, w *waiter, now time.Time) forward.Placed {
	centre := o.endpoint.DataCentre()
	var best *owned
	var soonest time.Duration
	for _, p := range l.owned {
		s := p.slots[w.Adapter]
		if s == nil || !s.ready || s.leaving || s.version < w.Version || p.phase != owning || p.endpoint.Draining() || p.endpoint.DataCentre() != centre {
			continue
		}
		if cost := l.readsLocked(p, now); best == nil || cost < soonest {
			best, soonest = p, cost
		}
	}
	if best == nil {
		return forward.Placed{Settling: true, Reason: "the adapter is not ready here"}
	}
	if p := l.siteLocked(w.Adapter, best, now); p.slots[w.Adapter] == nil && l.emptyInLocked(p, p.queued, now) <= emptyNow && l.pace.free() {
		if l.factsLocked(p, w.Adapter, false, now).Cost()+spreadMargin < soonest {
			return forward.Placed{Endpoint: p.endpoint.ID(), Reason: "prompts are read much sooner there"}
		}
	}
	s := best.slots[w.Adapter]
	s.used, s.given = now, now
	best.promised.Add(float64(w.Tokens), now, promisedHalf)
	return forward.Placed{Ready: true, Endpoint: best.endpoint.ID(), Version: s.version}
}

// readsLocked is how long an endpoint takes to read the prompts that wait there, those on
// their way and those that wait for loads there too.
func (l *Loader) readsLocked(o *owned, now time.Time) time.Duration {
	return l.Reads(l.runs.reading(o.endpoint.ID()) + int(o.promised.Count(now, promisedHalf)) + o.pending)
}

// waitAtLocked notes where a request waits for a load; nil: nowhere.
func (l *Loader) waitAtLocked(w *waiter, o *owned) {
	if w.at != nil {
		w.at.pending -= w.Tokens
	}
	if w.at = o; o != nil {
		o.pending += w.Tokens
	}
}
