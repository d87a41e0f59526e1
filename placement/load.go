// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/topology"
)

// wantLife is how long after the last request a load is still worth its while:
// a refused caller comes back within it.
const wantLife = 2 * time.Second

// pumpLocked begins the queued loads that may begin now, the most wanted first.
func (l *Loader) pumpLocked(now time.Time) []func(context.Context) {
	var tasks []func(context.Context)
	passed := make(map[wantKey]bool)
	for {
		key, w := l.nextLocked(passed, now)
		if w == nil {
			return tasks
		}
		passed[key] = true
		o := l.owned[key.endpoint]
		if o == nil || o.phase != owning || (w.waiting == 0 && now.Sub(w.last) > wantLife) {
			delete(l.wants, key)
			w.end()
			continue
		}
		victim, ok := l.roomLocked(o, key.adapter, now)
		if !ok {
			continue
		}
		cold := !o.isWarm(key.adapter)
		if cold && !l.bucket.take(now, 0) {
			continue
		}
		delete(l.wants, key)
		tasks = append(tasks, l.beginLocked(o, key.adapter, w.version, victim, cold, now))
		w.end()
	}
}

// nextLocked returns the most wanted load that was not passed over yet.
func (l *Loader) nextLocked(passed map[wantKey]bool, now time.Time) (wantKey, *want) {
	var best *want
	var at wantKey
	most := 0.0
	for k, w := range l.wants {
		if passed[k] {
			continue
		}
		if score := l.scoreLocked(k, w, now); best == nil || score > most {
			at, best, most = k, w, score
		}
	}
	return at, best
}

// roomLocked finds room for one more adapter: a free slot, the adapter's own, or
// the slot of the least wanted that nobody uses.
func (l *Loader) roomLocked(o *owned, a topology.Adapter, now time.Time) (victim *topology.Adapter, ok bool) {
	g := l.engine(o.endpoint)
	if g == nil || o.orders >= loadsAtOnce {
		return nil, false
	}
	if o.slots[a] != nil || len(o.slots) < g.AdapterSlots {
		return nil, true
	}
	least := 0.0
	for b, s := range o.slots {
		if !s.ready || s.leaving || now.Sub(s.used) < idleFor {
			continue
		}
		if r := l.rateLocked(b, now); victim == nil || r < least {
			victim, least = &b, r
		}
	}
	return victim, victim != nil
}

// beginLocked takes the slot and returns the task that gives the orders.
func (l *Loader) beginLocked(o *owned, a topology.Adapter, version int64, victim *topology.Adapter, cold bool, now time.Time) func(context.Context) {
	if victim != nil {
		o.slots[*victim].leaving = true
	}
	s := o.slots[a]
	if s == nil {
		s = &slot{}
		o.slots[a] = s
	}
	s.ready, s.begun, s.used, s.expected = false, now, now, l.warm
	s.version = version
	if cold {
		s.expected = l.cold
	}
	s.done = make(chan struct{})
	o.orders++
	if victim != nil {
		l.publishLocked(o)
	}
	return func(ctx context.Context) { l.load(ctx, o, a, version, victim) }
}

// load empties a slot where one is needed, and loads the adapter.
func (l *Loader) load(ctx context.Context, o *owned, a topology.Adapter, version int64, victim *topology.Adapter) {
	if victim != nil && !l.unload(ctx, o, *victim) {
		l.abandon(o, a)
		return
	}
	l.finish(ctx, o, a)
}

// unload empties a slot. Only the endpoint's word that it is empty counts.
func (l *Loader) unload(ctx context.Context, o *owned, a topology.Adapter) bool {
	until := time.Now().Add(loadMost)
	for time.Now().Before(until) {
		out, err := l.order(ctx, o, Order{Unload: true, Adapter: a})
		if err != nil {
			return false
		}
		if out == Done {
			l.mu.Lock()
			delete(o.slots, a)
			o.remember(a)
			l.mu.Unlock()
			return true
		}
		if out != Begun && out != Busy {
			return false
		}
		if !sleep(ctx, askAgain) {
			return false
		}
	}
	return false
}

// finish orders the load and repeats the order until the endpoint says that it
// holds the adapter; a repeated order changes nothing at the endpoint.
func (l *Loader) finish(ctx context.Context, o *owned, a topology.Adapter) {
	begun := time.Now()
	s, version, expected := l.slotOf(o, a)
	if s == nil {
		return
	}
	first := true
	for time.Since(begun) < loadMost {
		out, err := l.order(ctx, o, Order{Adapter: a, Version: version})
		if err != nil {
			return
		}
		switch out {
		case Done:
			l.loaded(o, a, s, time.Since(begun))
			return
		case Begun, Busy:
		default:
			l.abandon(o, a)
			return
		}
		pause := askAgain
		if first && out == Begun {
			pause = max(askAgain, expected*4/5)
			first = false
		}
		if !sleep(ctx, pause) {
			return
		}
	}
	l.doubt(o, "a load did not end")
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

// order gives one order under the endpoint's fence, and reckons with refusals.
func (l *Loader) order(ctx context.Context, o *owned, d Order) (Outcome, error) {
	l.mu.Lock()
	d.Fence, d.Holder = o.fence, l.Box
	e, owns := o.endpoint, o.phase == owning && l.owned[o.endpoint.ID()] == o
	l.mu.Unlock()
	if !owns {
		return 0, context.Canceled
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := l.Control.Order(call, e, d)
	switch {
	case err != nil:
		l.doubt(o, "an order got no answer: "+err.Error())
	case out == Fenced:
		l.yield(o)
	case out == Gone:
		l.doubt(o, "another endpoint has the address")
	}
	return out, err
}

// loaded notes that an adapter is ready.
func (l *Loader) loaded(o *owned, a topology.Adapter, s *slot, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.slots[a] != s {
		return
	}
	if s.expected == l.warm {
		l.warm += (took - l.warm) / smoothing
	} else {
		l.cold += (took - l.cold) / smoothing
	}
	s.ready, s.used = true, time.Now()
	o.orders--
	o.refused = 0
	s.end()
	l.publishLocked(o)
	l.nudge()
	l.Log.Info("Adapter is loaded", "adapter", a.String(), "adapter_version", s.version, "endpoint", o.endpoint.ID(),
		"took_ms", took.Milliseconds(), "fence", o.fence)
}

// smoothing is the weight of the past against one new load time.
const smoothing = 8

// abandon ends a load that will not be.
func (l *Loader) abandon(o *owned, a topology.Adapter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := o.slots[a]
	if s == nil {
		return
	}
	l.Log.Info("Load is given up", "adapter", a.String(), "endpoint", o.endpoint.ID())
	s.end()
	delete(o.slots, a)
	o.orders--
	l.publishLocked(o)
}
