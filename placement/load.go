// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
	"github.com/pkg/errors"
)

const (
	// wantLife is how long after the last request a load is still worth its while: a
	// refused caller comes back within it.
	wantLife = 2 * time.Second
	// demandHalfLife is after which a request that was not served counts half: popularity
	// lasts some ten seconds before it shifts.
	demandHalfLife = 20 * time.Second
	// demandLife is how long requests that were not served are remembered.
	demandLife = time.Minute
)

// startLoadsLocked begins the queued loads that may begin now, the most wanted first.
func (l *Loader) startLoadsLocked(now time.Time) []func(context.Context) {
	var tasks []func(context.Context)
	waiting := make(map[*owned]int)
	for _, r := range l.rankedLocked(now) {
		key, w := r.key, r.want
		o := l.owned[key.endpoint]
		if o == nil || o.phase != owning {
			continue
		}
		cold := !l.isWarmLocked(o, key.adapter)
		if cold && !l.pace.free() {
			continue
		}
		if w.spare(now) && w.far < farEnough {
			continue
		}
		if !o.serves(now) || !l.roomLocked(o, key.adapter, w.version) {
			o = l.moveLocked(w, key, o, now)
			key.endpoint = o.endpoint.ID()
			if !o.serves(now) || !l.roomLocked(o, key.adapter, w.version) {
				waiting[o]++
				continue
			}
			cold = !l.isWarmLocked(o, key.adapter)
		}
		if cold && !l.pace.take(now) {
			continue
		}
		delete(l.wants, key)
		tasks = append(tasks, l.beginLocked(o, key.adapter, w.version, cold, now))
		w.end()
	}
	return append(tasks, l.retireLocked(waiting, now)...)
}

// moveLocked moves a load that waits for a slot to where it costs less by now, and returns
// the endpoint. Copies stay: they are for one endpoint.
func (l *Loader) moveLocked(w *want, key wantKey, o *owned, now time.Time) *owned {
	if w.copies || o.slots[key.adapter] != nil {
		return o
	}
	better := l.siteLocked(key.adapter, o, nil, now)
	to := wantKey{endpoint: better.endpoint.ID(), adapter: key.adapter}
	if better == o || l.wants[to] != nil || better.slots[key.adapter] != nil {
		return o
	}
	delete(l.wants, key)
	l.wants[to] = w
	return better
}

// farEnough is how many requests must have gone to another data centre for a copy
// to be worth its load: a load is priced like the bytes of some ten requests between data
// centres.
const farEnough = 12

// roomLocked tells whether an adapter may be loaded at an endpoint now: a slot is free, or
// is the adapter's own. An older version of it that may be in use leaves first, since a
// replacement would wait for its runs and hold up every other order there.
func (l *Loader) roomLocked(o *owned, a topology.Adapter, version int64) bool {
	g := l.engine(o.endpoint)
	if g == nil || o.orders >= loadsAtOnce || !o.models[a.Model] {
		return false
	}
	s := o.slots[a]
	if s == nil {
		return len(o.slots) < g.SlotsBeside(o.models)
	}
	if s.ready && s.version < version {
		s.outdated = true
	}
	return !s.leaving && !s.outdated
}

// beginLocked takes the slot and returns the task that gives the orders.
func (l *Loader) beginLocked(o *owned, a topology.Adapter, version int64, cold bool, now time.Time) func(context.Context) {
	s := o.slots[a]
	if s == nil {
		s = &slot{}
		o.slots[a] = s
	}
	s.ready, s.begun, s.used, s.expected = false, now, now, l.warm
	s.version = version
	s.left, s.remembered = l.View.Left(o.endpoint.ID(), a)
	if cold {
		s.expected = l.cold
		s.paced = true
	}
	s.done = make(chan struct{})
	o.orders++
	l.publishLocked(o)
	l.Log.Info("Load begins", "adapter", a.String(), "adapter_version", version, "endpoint", o.endpoint.ID(),
		"slots", len(o.slots), "on_their_way", o.orders, "from_store", cold, "fence", o.fence)
	claim := o.claims
	return func(ctx context.Context) { l.finish(ctx, o, claim, a) }
}

// finish orders the load and repeats the order until the endpoint says that it
// holds the adapter; a repeated order changes nothing at the endpoint. The load's time
// counts from when the endpoint began it.
func (l *Loader) finish(ctx context.Context, o *owned, claim int, a topology.Adapter) {
	s, version, expected := l.slotOf(o, a)
	if s == nil {
		return
	}
	ordered, begun := clock.Now(), time.Time{}
	for clock.Since(ordered) < loadMost {
		out, err := l.order(ctx, o, claim, Order{Adapter: a, Version: version})
		if err != nil {
			return
		}
		now, pause := clock.Now(), askAgain
		switch out {
		case Done:
			l.loaded(o, a, s, begun, now)
			return
		case Begun:
			if begun.IsZero() {
				begun = now
			}
			pause = l.nextLook(s, now.Sub(begun), expected)
		case Busy:
			pause = askMost
		default:
			l.abandon(o, claim, a)
			return
		}
		if !sleep(ctx, pause) {
			return
		}
	}
	l.relearn(o, claim, "a load did not end")
}

// nextLook is when a load is asked after again that began so long ago: when it would be
// done if it came from memory, just before the quickest from the store, and then often.
// A smoothed time would follow its own question upwards.
func (l *Loader) nextLook(s *slot, ago, expected time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	quickest := l.pace.quickest() * 9 / 10
	switch {
	case ago < warmLook:
		return warmLook - ago
	case s.paced && ago < quickest:
		return quickest - ago
	case ago > outlier*expected:
		return askMost
	}
	return askAgain
}

func (l *Loader) slotOf(o *owned, a topology.Adapter) (*slot, int64, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := o.slots[a]
	if s == nil {
		return nil, 0, 0
	}
	return s, s.version, s.expected
}

// errLost says that the endpoint is no longer owned as it was when the task began.
var errLost = errors.New("placement: the endpoint is not owned any more")

// order gives one order under the endpoint's fence, and handles refusals.
func (l *Loader) order(ctx context.Context, o *owned, claim int, d Order) (Outcome, error) {
	e, fence, owns := l.callBegins(o, claim)
	if !owns {
		return 0, errLost
	}
	d.Fence, d.Holder = fence, l.Box
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := l.Control.Order(call, e, d)
	l.callEnded(o, claim, d, out, err)
	switch {
	case err != nil:
		l.relearn(o, claim, "an order got no answer: "+err.Error())
	case out == Fenced:
		l.yield(o, owning, d.Fence)
	case out == Gone:
		l.relearn(o, claim, "another endpoint has the address")
	}
	return out, err
}

// loaded notes that an adapter is ready; begun is zero when it was so already.
func (l *Loader) loaded(o *owned, a topology.Adapter, s *slot, begun, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.slots[a] != s {
		return
	}
	if begun.IsZero() {
		begun = now
	}
	l.timeLocked(s, now.Sub(begun), now)
	s.ready, s.used, s.given = true, now, now // who waited for it is told now
	o.orders--
	o.refused = 0
	s.end()
	l.publishLocked(o)
	l.nudge()
	l.Log.Info("Adapter is loaded", "adapter", a.String(), "adapter_version", s.version, "endpoint", o.endpoint.ID(),
		"took_ms", now.Sub(begun).Milliseconds(), "pace", l.pace.limit, "fence", o.fence)
}

// abandon ends a load that will not be.
func (l *Loader) abandon(o *owned, claim int, a topology.Adapter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := o.slots[a]
	if s == nil || o.claims != claim {
		return
	}
	l.Log.Info("Load is given up", "adapter", a.String(), "endpoint", o.endpoint.ID())
	l.unpaceLocked(s, 0, clock.Now())
	s.end()
	delete(o.slots, a)
	o.orders--
	l.publishLocked(o)
}
