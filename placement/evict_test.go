// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// fillSlots loads one adapter per slot and reports it as in use.
func (b *fixture) fillSlots(c *quicktest.C) {
	for i := 1; i <= slotCount; i++ {
		p, err := b.want(adapter(i), 2*time.Second)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Ready, quicktest.IsTrue)
		b.reportUse(i, 1)
	}
}

// reportUse reports requests in progress for an adapter.
func (b *fixture) reportUse(i, running int) {
	b.loader.RecordUsage(fmt.Sprintf("box-%d", i), []Use{{Endpoint: "e1", Adapter: adapter(i), Started: running, Running: running}}, false, time.Now())
}

// A box reports at once that it uses an adapter being evicted; such a report omits all others.
func TestPartialUsageReportKeepsOtherEntries(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	now := time.Now()
	uses := []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 2}, {Endpoint: "e1", Adapter: adapter(2), Running: 1}}
	b.loader.RecordUsage("box", uses, false, now)
	b.loader.RecordUsage("box", []Use{{Endpoint: "e1", Adapter: adapter(3), Running: 1}}, true, now)
	b.loader.RecordUsage("other", uses[:1], false, now)
	r := &b.loader.inFlight
	for i, n := range map[int]int{1: 4, 2: 1, 3: 1} {
		c.Assert(r.adapterRequests("e1", adapter(i)), quicktest.Equals, n)
	}
	c.Assert(r.endpointRequests("e1"), quicktest.Equals, 6)
	b.loader.RecordUsage("box", uses[:1], false, now.Add(time.Second))
	c.Assert(r.adapterRequests("e1", adapter(2)), quicktest.Equals, 0)
	r.expire(now.Add(usageReportExpiry))
	c.Assert(r.adapterRequests("e1", adapter(1)), quicktest.Equals, 2) // the other box has not reported since
	r.expire(now.Add(time.Second + usageReportExpiry))
	c.Assert(r.endpoints, quicktest.HasLen, 0)
}

// The wait for a slot was estimated from the rate of loads, which does not show how many could
// have begun.
func TestSlotWaitFollowsIdleRate(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	l := b.loader
	now := time.Now()
	o := &ownedEndpoint{endpoint: b.endpoint, phase: owning, slots: map[topology.Adapter]*slot{adapter(1): {ready: true}}}
	l.owned["e1"] = o
	slow := l.slotWaitLocked(o, 0, now)
	for range 40 {
		for running := range 2 {
			l.RecordUsage("box", []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 1 - running}}, true, now)
		}
	}
	c.Assert(l.idleTransitions.Count(now, idleRateHalfLife) > 35, quicktest.IsTrue)
	quick := l.slotWaitLocked(o, 0, now)
	c.Assert(quick < slow, quicktest.IsTrue)
	c.Assert(l.slotWaitLocked(o, 5, now) > quick, quicktest.IsTrue)
}

func (b *fixture) holds(i int) bool {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	return b.fake.slots[adapter(i)]
}

// The endpoint was ordered to unload an adapter in use. It waited for the requests to end, and
// three earlier loads were blocked for 2.6 s.
func TestAdapterInUseIsNotUnloaded(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.fillSlots(c)
	wanted := make(chan bool, 1)
	go func() {
		p, _ := b.want(adapter(9), 10*time.Second)
		wanted <- p.Ready
	}()
	for range 8 { // both stay in use for longer than usageSettleTime
		time.Sleep(usageSettleTime / 2)
		b.reportUse(1, 1)
		b.reportUse(2, 1)
		c.Assert(b.holds(1) && b.holds(2), quicktest.IsTrue)
	}
	c.Assert(<-wanted, quicktest.IsTrue)
}

func TestSpareSlotsAreEmptiedInAdvance(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	l := b.loader
	l.View.SetConfig(topology.NewConfig(2, nil, []*topology.Service{topology.NewService(topology.ServiceSpec{
		Name: "llm", Engine: &topology.EngineSpec{Models: []topology.ModelSpec{{Name: model}}, AdapterSlots: 16},
	})}, topology.RequestLimits{}))
	now := time.Now()
	o := &ownedEndpoint{endpoint: b.endpoint, phase: owning, slots: make(map[topology.Adapter]*slot), models: map[string]bool{model: true}}
	l.owned["e1"] = o
	for i := range 15 {
		o.slots[adapter(i)] = &slot{ready: true, lastUsed: now.Add(-idleThreshold)}
		l.countRequestsLocked(adapter(i), float64(16-i), now)
	}
	o.slots[adapter(14)].lastAnnounced = now // to a box that has not reported its use yet
	c.Assert(l.evictLocked(nil, now), quicktest.HasLen, 1)
	c.Assert(o.slots[adapter(13)].evicting, quicktest.IsTrue) // the least requested of the others
	c.Assert(l.evictLocked(nil, now), quicktest.HasLen, 0)
	c.Assert(l.evictLocked(map[*ownedEndpoint]int{o: 1}, now), quicktest.HasLen, 1)
	c.Assert(l.evictLocked(map[*ownedEndpoint]int{o: 20}, now), quicktest.HasLen, maxConcurrentEvictions-3)
}

// Some thirty of a hundred slots held adapters that were being evicted while in use: no new
// request used them, and they were loaded again elsewhere.
func TestAdaptersInUseAreNotEvicted(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1")
	o := list["e1"]
	now := time.Now()
	var uses []Use
	for i := range slotCount {
		o.slots[adapter(i)] = &slot{ready: true}
		uses = append(uses, Use{Endpoint: "e1", Adapter: adapter(i), Running: 1})
	}
	l.RecordUsage("box", uses, false, now)
	waiting := map[*ownedEndpoint]int{o: 1}
	c.Assert(l.evictLocked(waiting, now), quicktest.HasLen, 0)
	l.RecordUsage("box", uses[:1], false, now)
	rested := now.Add(idleThreshold)
	c.Assert(l.evictLocked(waiting, rested), quicktest.HasLen, 1)
	c.Assert(o.slots[adapter(1)].unloading, quicktest.IsTrue)
	c.Assert(o.slots[adapter(0)].evicting, quicktest.IsFalse)
}

// An idle slot was emptied only 250 ms after the eviction began, which is as long as a load
// from the store takes.
func TestIdleAdapterIsUnloadedAtOnce(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1")
	o := list["e1"]
	now := time.Now()
	o.slots[adapter(1)] = &slot{ready: true, lastUsed: now.Add(-idleThreshold)}
	o.slots[adapter(2)] = &slot{ready: true, lastUsed: now.Add(-idleThreshold), lastAnnounced: now} // just announced to a box
	c.Assert(l.freeSlotDelayLocked(o, 0, now), quicktest.Equals, idleUnloadTime)
	c.Assert(l.evictLocked(map[*ownedEndpoint]int{o: 1}, now), quicktest.HasLen, 1)
	c.Assert(o.slots[adapter(1)].unloading, quicktest.IsTrue)
	c.Assert(o.slots[adapter(2)].evicting, quicktest.IsFalse)
	c.Assert(l.cancelEvictionLocked(o, adapter(1)), quicktest.IsFalse)
}

// A new owner unloaded adapters in use before the boxes had reported them; the endpoint blocked
// its other orders for up to four seconds.
func TestNewOwnerEvictsNothingBeforeUsageIsReported(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	l := b.loader
	now := time.Now()
	o := &ownedEndpoint{endpoint: b.endpoint, phase: owning, since: now, slots: make(map[topology.Adapter]*slot), models: map[string]bool{model: true}}
	l.owned["e1"] = o
	for i := range slotCount {
		o.slots[adapter(i)] = &slot{ready: true}
	}
	waiting := map[*ownedEndpoint]int{o: 1}
	c.Assert(l.evictLocked(waiting, now.Add(usageSyncTime/2)), quicktest.HasLen, 0)
	c.Assert(l.evictLocked(waiting, now.Add(usageSyncTime)), quicktest.HasLen, 1)
}

// An eviction was cancelled and then begun again. Both evictions sent an unload, and the
// second unload emptied a slot that was being filled again.
func TestAdapterEvictedTwiceIsUnloadedOnce(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	l := b.loader
	now := time.Now()
	o := &ownedEndpoint{endpoint: b.endpoint, phase: owning, slots: map[topology.Adapter]*slot{adapter(1): {ready: true}}}
	l.owned["e1"] = o
	b.reportUse(1, 1)
	l.beginEvictionLocked(o, adapter(1), now)
	c.Assert(l.cancelEvictionLocked(o, adapter(1)), quicktest.IsTrue)
	later := now.Add(usageSettleTime / 2)
	l.beginEvictionLocked(o, adapter(1), later)
	b.reportUse(1, 0)
	_, leaves := l.evictionDelay(o, 0, adapter(1), now, later.Add(usageSettleTime))
	c.Assert(leaves, quicktest.IsFalse)
	wait, leaves := l.evictionDelay(o, 0, adapter(1), later, later.Add(usageSettleTime))
	c.Assert(leaves, quicktest.IsTrue)
	c.Assert(wait <= 0, quicktest.IsTrue)
}

func TestEvictionIsCancelledWhenAdapterIsRequested(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.fillSlots(c)
	l := b.loader
	l.mu.Lock()
	o := l.owned["e1"]
	l.beginEvictionLocked(o, adapter(1), time.Now()) // in use, so it is not unloaded yet
	c.Assert(o.slots[adapter(1)].unloading, quicktest.IsFalse)
	l.mu.Unlock()
	p, err := b.want(adapter(1), 10*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Ready, quicktest.IsTrue)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Assert(o.slots[adapter(1)].evicting, quicktest.IsFalse)
	c.Assert(b.holds(1), quicktest.IsTrue)
}

// A newer version was loaded over one in use: the endpoint waited for its requests to end and
// blocked all other orders meanwhile.
func TestNewVersionIsLoadedWhenOldOneIsIdle(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.fillSlots(c)
	ready := make(chan bool, 1)
	go func() {
		w := b.patientRequest(1)
		w.Version = 2
		p, _ := b.loader.Place(context.Background(), w)
		ready <- p.Ready && p.Version == 2
	}()
	for range 6 {
		time.Sleep(usageSettleTime / 2)
		b.reportUse(1, 1)
		c.Assert(b.holds(1), quicktest.IsTrue)
	}
	c.Assert(<-ready, quicktest.IsTrue)
}
