// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

func poolOf(o *ownedEndpoint) slotPool {
	return slotPool{centre: o.endpoint.DataCentre(), service: o.endpoint.Service()}
}

// demandOf returns the demand of count requests of a rank at now.
func demandOf(priority int, count float64, now time.Time) *slotDemand {
	d := &slotDemand{}
	d.needed[priority].Add(count, now, slotDemandHalfLife)
	return d
}

// Streams of less urgent requests kept all adapter slots in use, and the most urgent kind was refused most. Then a fixed
// part of the slots was kept for urgent kinds, and half of the slots stayed free while others were refused.
func TestFreeSlotsAreKeptAsMoreUrgentRequestsNeedThem(t *testing.T) {
	c := quicktest.New(t)
	for _, k := range []struct {
		demand   float64 // requests of rank 1 that needed a slot just now: 1.59 slots are kept for two of them
		taken    int
		priority int
		returned bool
		loaded   bool
	}{
		{0, 4, 9, false, true},
		{0, 5, 9, false, true}, // it waits for a slot
		{2, 3, 2, false, true},
		{2, 4, 2, false, false},
		{2, 5, 2, true, true}, // less than one is kept from a request that returned
		{6, 3, 2, true, false},
		{6, 5, 1, false, true},
		{6, 5, 0, false, true},
	} {
		l, list := newBalancedLoader("e1")
		now := time.Now()
		busySlots(l, list["e1"], k.taken, now)
		l.slotDemand[poolOf(list["e1"])] = demandOf(1, k.demand, now)
		w := balancedWaiter(list["e1"], 1, now)
		w.Priority, w.Retried, w.Elapsed = k.priority, k.returned, time.Second
		p, waits := ask(l, w, now)
		c.Assert(waits, quicktest.Equals, k.loaded, quicktest.Commentf("%+v: %+v", k, p))
		c.Assert(pendingLoadsOf(l, 1) == 1, quicktest.Equals, k.loaded)
		if !k.loaded {
			c.Assert(strings.HasPrefix(p.Reason, reasonSlotsKept), quicktest.IsTrue)
			c.Assert(p.Busy, quicktest.IsTrue)
		}
	}
}

// slotPlay steps through time with requests that each need an adapter which no endpoint holds.
type slotPlay struct {
	loader *Loader
	list   map[string]*ownedEndpoint
	now    time.Time
	runs   map[topology.Adapter]*playStream
	next   int         // the next adapter
	asked  map[int]int // requests by rank
	served map[int]int
	inUse  int // sum over the steps of the slots in use or being filled
	steps  int
}

type playStream struct {
	priority int
	askedAt  time.Time
	length   time.Duration
	endpoint string // empty: it waits for its load
	until    time.Time
}

const (
	slotPlayStep = 10 * time.Millisecond
	slotPlayLoad = 300 * time.Millisecond
	slotPlayWait = time.Second // longest wait for a load that counts as served
)

func newSlotPlay(endpoints int) *slotPlay {
	var ids []string
	for i := range endpoints {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	l, list := newBalancedLoader(ids...)
	l.loadLimiter.limit = maxLoadLimit
	return &slotPlay{loader: l, list: list, now: time.Now(), runs: make(map[topology.Adapter]*playStream), asked: make(map[int]int), served: make(map[int]int)}
}

// ask has a caller ask for an adapter of its own, whose stream takes the given time.
func (p *slotPlay) ask(priority int, length time.Duration) {
	p.next++
	w := balancedWaiter(p.list["e0"], p.next, p.now)
	w.Priority, w.PromptTokens = priority, 10
	p.asked[priority]++
	if _, waits := ask(p.loader, w, p.now); waits {
		p.runs[w.Adapter] = &playStream{priority: priority, askedAt: p.now, length: length}
	}
}

// step begins loads, and ends loads, streams and evictions.
func (p *slotPlay) step() {
	p.now = p.now.Add(slotPlayStep)
	l := p.loader
	l.startLoadsLocked(p.now)
	for id, o := range p.list {
		for a, s := range o.slots {
			p.stepSlot(id, o, a, s)
		}
	}
	var uses []Use
	for a, r := range p.runs {
		if r.endpoint == "" {
			continue
		}
		if p.now.Before(r.until) {
			uses = append(uses, Use{Endpoint: r.endpoint, Adapter: a, Running: 1})
		} else {
			delete(p.runs, a)
		}
	}
	l.RecordUsage("box", uses, false, p.now)
	p.inUse += len(p.list)*balancedSlots - l.freeSlotsLocked(p.list["e0"].endpoint, p.now)
	p.steps++
}

func (p *slotPlay) stepSlot(id string, o *ownedEndpoint, a topology.Adapter, s *slot) {
	switch {
	case s.unloading:
		delete(o.slots, a)
	case !s.ready && p.now.Sub(s.loadBegan) >= slotPlayLoad:
		s.ready, s.lastUsed = true, p.now
		p.loader.releasePermitLocked(s, 0, p.now)
		o.loadsInFlight--
		if r := p.runs[a]; r != nil {
			r.endpoint, r.until = id, p.now.Add(r.length)
			if p.now.Sub(r.askedAt) <= slotPlayWait {
				p.served[r.priority]++
			}
		}
	}
}

// Load: long streams of a less urgent kind need four times the slots that there are, beside an urgent kind whose need rises
// to double within a second. The urgent callers find slots, and few slots stay free meanwhile.
func TestUrgentRequestsFindSlotsBesideFloodOfLongStreams(t *testing.T) {
	c := quicktest.New(t)
	p := newSlotPlay(12) // 60 slots
	for i := range 3000 {
		urgent := 25 // steps between two urgent requests: 4 a second
		if i > 1500 {
			urgent = 12
		}
		if i%urgent == 0 {
			p.ask(0, 700*time.Millisecond)
		}
		if i%2 == 0 { // 50 a second
			p.ask(2, 5*time.Second)
		}
		p.step()
	}
	share := float64(p.served[0]) / float64(p.asked[0])
	c.Check(share >= 0.95, quicktest.IsTrue, quicktest.Commentf("of the urgent requests, %.3f are served within %s", share, slotPlayWait))
	used := float64(p.inUse) / float64(p.steps*60)
	c.Check(used >= 0.7, quicktest.IsTrue, quicktest.Commentf("on average %.3f of the slots are in use", used))
	c.Check(p.served[2] > 0, quicktest.IsTrue)
}

// Requests that would be late all the same took a third of the adapter slots for copies, and kept them in use.
func TestLateRequestTakesNoSlotWhileSlotsAreScarce(t *testing.T) {
	c := quicktest.New(t)
	for _, k := range []struct {
		demand   float64 // of rank 1
		priority int
		target   time.Duration
		held     bool
		loads    bool
	}{
		{0, 1, -time.Second, true, true},
		{0, 1, -time.Second, false, true},
		{20, 1, -time.Second, true, false},
		{20, 1, -time.Second, false, false},
		{20, 0, -time.Second, false, true},           // nothing as urgent lacks slots
		{20, 1, 450 * time.Millisecond, false, true}, // the load and the prompt take 0.4 s, more than the margin allows
	} {
		l, list := newBalancedLoader("e1", "e2")
		now := time.Now()
		l.slotDemand[poolOf(list["e1"])] = demandOf(1, k.demand, now)
		w := balancedWaiter(list["e1"], 1, now)
		w.Target, w.Priority = k.target, k.priority
		if k.held {
			hold(1, list["e1"])
			queueAt(l, "e1", 60000, now)
		}
		p, waits := ask(l, w, now)
		c.Assert(waits, quicktest.Equals, k.loads, quicktest.Commentf("%+v: %+v", k, p))
		c.Assert(pendingLoadsOf(l, 1) == 1, quicktest.Equals, k.loads)
		if !k.loads {
			c.Assert(p.Busy, quicktest.IsTrue)
		}
	}
}

// Load: requests for one adapter at two endpoints that hold it, while other adapters need slots. One endpoint suffices for
// them, so that the slot at the other becomes free.
func TestUnneededCopyBecomesIdleWhileSlotsAreScarce(t *testing.T) {
	c := quicktest.New(t)
	for _, scarce := range []bool{false, true} {
		l, list := newBalancedLoader("e1", "e2")
		now := time.Now()
		hold(1, list["e1"], list["e2"])
		l.RecordUsage("box", []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 2, PrefillTokens: 500}, {Endpoint: "e2", Adapter: adapter(1), Running: 1}}, false, now)
		if scarce {
			l.slotDemand[poolOf(list["e1"])] = demandOf(0, 20, now)
		}
		chosen := make(map[string]int)
		for range 10 {
			if scarce {
				l.slotDemand[poolOf(list["e1"])] = demandOf(0, 20, now)
			}
			p, _ := ask(l, balancedWaiter(list["e1"], 1, now), now)
			chosen[p.Endpoint]++
			list[p.Endpoint].grants = nil // the prompt is read before the next one comes
		}
		if scarce {
			c.Check(chosen, quicktest.DeepEquals, map[string]int{"e1": 10})
		} else {
			c.Check(chosen, quicktest.DeepEquals, map[string]int{"e2": 10})
		}
	}
}

// Guards against a grant that its box never used and that kept the adapter's slot in use for ever: grants expired only when
// the endpoint was a candidate of a later request.
func TestUnusedGrantKeepsSlotInUseForItsTimeoutOnly(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	now := time.Now()
	hold(1, list["e1"])
	_, _ = ask(l, balancedWaiter(list["e1"], 1, now), now)
	c.Assert(l.freeSlotsLocked(list["e1"].endpoint, now.Add(grantTimeout/2)), quicktest.Equals, balancedSlots-1)
	c.Assert(l.freeSlotsLocked(list["e1"].endpoint, now.Add(grantTimeout)), quicktest.Equals, balancedSlots)
}

// Guards against requests that share one load and count as many slots needed: twenty urgent callers of one adapter kept
// all free slots from other adapters, though they take one slot.
func TestRequestsThatShareALoadNeedOneSlot(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	now := time.Now()
	for range 20 {
		w := balancedWaiter(list["e1"], 1, now)
		w.PromptTokens = 10
		_, _ = ask(l, w, now)
	}
	c.Assert(pendingLoadsOf(l, 1), quicktest.Equals, 1)
	w := balancedWaiter(list["e1"], 2, now)
	w.PromptTokens, w.Priority = 10, 2
	p, waits := ask(l, w, now)
	c.Assert(waits, quicktest.IsTrue, quicktest.Commentf("%+v", p))
}

// Guards against a second load, asked for at the same time: a leader that owns only some endpoints answered that the owner had
// not settled, though an endpoint that it owns was loading the adapter, and the box had it loaded in another data centre.
func TestLoadAtOwnedEndpointIsAwaitedBesideUnsettledHolder(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1", "e2")
	now := time.Now()
	l.View.SetAdapterStates("e2", map[topology.Adapter]topology.AdapterState{adapter(1): {Ready: true}})
	list["e2"].phase, list["e2"].since = claiming, now
	list["e1"].slots[adapter(1)] = &slot{loadBegan: now, expectedLoadTime: 300 * time.Millisecond, done: make(chan struct{})}
	p, waits := ask(l, balancedWaiter(list["e1"], 1, now), now)
	c.Assert(waits, quicktest.IsTrue, quicktest.Commentf("%+v", p))
}

// Guards against a load that counts twice from when it begins until loads are ranked again: as waiting and as being filled.
// Less urgent requests were refused although enough slots were free.
func TestLoadThatBeginsTakesOneSlot(t *testing.T) {
	c := quicktest.New(t)
	p := newSlotPlay(1)
	free := func() int { return p.loader.freeSlotsLocked(p.list["e0"].endpoint, p.now) }
	p.ask(0, time.Second)
	c.Assert(free(), quicktest.Equals, balancedSlots-1)
	p.loader.startLoadsLocked(p.now)
	c.Assert(p.list["e0"].slots, quicktest.HasLen, 1)
	c.Assert(free(), quicktest.Equals, balancedSlots-1)
	p.ask(0, time.Second)
	c.Assert(free(), quicktest.Equals, balancedSlots-2)
}

// Guards against free slots that are kept although as many become free as more urgent requests need: without the count of
// evictions, less urgent requests were refused beside idle adapters.
func TestReleasedSlotsReduceReserve(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	now := time.Now()
	for i := range balancedSlots {
		hold(i, list["e1"])
	}
	d := demandOf(0, 2, now)
	l.slotDemand[poolOf(list["e1"])] = d
	before := d.reserve(1, now)
	evictions := len(l.evictLocked(map[*ownedEndpoint]int{list["e1"]: 2}, now))
	c.Assert(evictions >= 2, quicktest.IsTrue)
	c.Assert(d.released.Count(now, slotDemandHalfLife), quicktest.Equals, float64(evictions))
	c.Assert(before > 1 && d.reserve(1, now) < 1, quicktest.IsTrue, quicktest.Commentf("%v, then %v", before, d.reserve(1, now)))
}

// Guards against slots that stay in use for 250 ms after each request where this box assigns all requests, and against the
// short threshold elsewhere: boxes send requests there that this box learns of later.
func TestAdapterIsIdleSoonerWhereRequestsAreAssigned(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	for _, balanced := range []bool{true, false} {
		l, list := newIdleLoader("e1")
		if balanced {
			l, list = newBalancedLoader("e1")
		}
		s := &slot{ready: true, lastUsed: now}
		list["e1"].slots[adapter(1)] = s
		c.Check(l.isIdleLocked(list["e1"], adapter(1), s, now.Add(balancedIdleThreshold/2)), quicktest.IsFalse)
		c.Check(l.isIdleLocked(list["e1"], adapter(1), s, now.Add(100*time.Millisecond)), quicktest.Equals, balanced)
		c.Check(l.isIdleLocked(list["e1"], adapter(1), s, now.Add(idleThreshold)), quicktest.IsTrue)
	}
}

// Guards against an adapter that is not loaded because of an endpoint that can't serve the request: it has an older version, or
// reported that it does not hold the adapter.
func TestUnsettledEndpointWithoutTheAdapterIsNotWaitedFor(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1", "e2")
	now := time.Now()
	l.View.SetAdapterStates("e2", map[topology.Adapter]topology.AdapterState{adapter(1): {Ready: true, Version: 1}})
	list["e2"].phase, list["e2"].since = claiming, now
	newer := balancedWaiter(list["e1"], 1, now)
	newer.Version = 2
	lost := balancedWaiter(list["e2"], 1, now)
	lost.NotLoaded = true
	for _, w := range []*waiter{newer, lost} {
		l.pendingLoads = make(map[placementKey]*pendingLoad)
		p, waits := ask(l, w, now)
		c.Check(waits, quicktest.IsTrue, quicktest.Commentf("%+v", p))
	}
}

// Guards against an endpoint that does not answer its claims, and so kept the adapters that its previous owner published from
// being loaded elsewhere in the data centre.
func TestEndpointWithLongClaimIsNotWaitedFor(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1", "e2")
	now := time.Now()
	l.View.SetAdapterStates("e2", map[topology.Adapter]topology.AdapterState{adapter(1): {Ready: true}})
	list["e2"].phase, list["e2"].since = claiming, now
	p, _ := ask(l, balancedWaiter(list["e1"], 1, now.Add(longClaimTime/2)), now.Add(longClaimTime/2))
	c.Assert(p.OwnerChanging, quicktest.IsTrue)
	p, waits := ask(l, balancedWaiter(list["e1"], 1, now.Add(longClaimTime)), now.Add(longClaimTime))
	c.Assert(waits, quicktest.IsTrue, quicktest.Commentf("%+v", p))
}

// Guards against a kind whose target is always shorter than a load, and whose adapters would never be loaded while slots are
// scarce.
func TestAdapterWhoseRequestsAreAlwaysLateDoesNotStarve(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	now := time.Now()
	l.slotDemand[poolOf(list["e1"])] = demandOf(0, 20, now)
	w := balancedWaiter(list["e1"], 1, now)
	w.Target = 0
	for range 3 {
		p, waits := ask(l, w, now)
		c.Assert(waits, quicktest.IsFalse)
		c.Assert(p.Busy, quicktest.IsTrue)
	}
	_, waits := ask(l, w, now)
	c.Assert(waits, quicktest.IsTrue)
}
