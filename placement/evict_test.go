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

// fill loads as many adapters as there are slots.
func (b *fixture) fill(c *quicktest.C) {
	for i := 1; i <= slotCount; i++ {
		p, err := b.want(adapter(i), 2*time.Second)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Ready, quicktest.IsTrue)
		b.use(i, 1)
	}
}

// use tells the loader that requests for an adapter run at the endpoint.
func (b *fixture) use(i, running int) {
	b.loader.RecordUsage(fmt.Sprintf("box-%d", i), []Use{{Endpoint: "e1", Adapter: adapter(i), Started: running, Running: running}}, false, time.Now())
}

// A box tells at once that it uses an adapter that is to leave, and says nothing of others.
func TestAPartOfTheUseSaysNothingOfTheRest(t *testing.T) {
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
	c.Assert(r.adapterRequests("e1", adapter(1)), quicktest.Equals, 2) // the other one has said nothing since
	r.expire(now.Add(time.Second + usageReportExpiry))
	c.Assert(r.endpoints, quicktest.HasLen, 0)
}

// The wait for a slot was taken from how many loads began, which says nothing of how many
// could have.
func TestTheWaitForASlotFollowsHowFastSlotsComeToRest(t *testing.T) {
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

// The endpoint was ordered to unload an adapter in use. It waited for the runs, and three
// loads that it had begun before waited for 2.6 s with it.
func TestAnAdapterIsNotUnloadedWhileBoxesUseIt(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.fill(c)
	wanted := make(chan bool, 1)
	go func() {
		p, _ := b.want(adapter(9), 10*time.Second)
		wanted <- p.Ready
	}()
	for range 8 { // both are in use for longer than it takes to believe that they are not
		time.Sleep(usageSettleTime / 2)
		b.use(1, 1)
		b.use(2, 1)
		c.Assert(b.holds(1) && b.holds(2), quicktest.IsTrue)
	}
	c.Assert(<-wanted, quicktest.IsTrue)
}

func TestSomeSlotsAreEmptyAheadOfTheNextLoads(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	l := b.loader
	l.View.SetConfig(topology.NewConfig(2, nil, []*topology.Service{topology.NewService(topology.ServiceSpec{
		Name: "llm", Engine: &topology.EngineSpec{Models: []topology.ModelSpec{{Name: model}}, AdapterSlots: 16},
	})}, topology.Limits{}))
	now := time.Now()
	o := &ownedEndpoint{endpoint: b.endpoint, phase: owning, slots: make(map[topology.Adapter]*slot), models: map[string]bool{model: true}}
	l.owned["e1"] = o
	for i := range 15 {
		o.slots[adapter(i)] = &slot{ready: true, lastUsed: now.Add(-idleThreshold)}
		l.countRequestsLocked(adapter(i), float64(16-i), now)
	}
	o.slots[adapter(14)].lastAnnounced = now // to a box that has not told of its use yet
	c.Assert(l.evictLocked(nil, now), quicktest.HasLen, 1)
	c.Assert(o.slots[adapter(13)].evicting, quicktest.IsTrue) // asked for least of the others
	c.Assert(l.evictLocked(nil, now), quicktest.HasLen, 0)
	c.Assert(l.evictLocked(map[*ownedEndpoint]int{o: 1}, now), quicktest.HasLen, 1)
	c.Assert(l.evictLocked(map[*ownedEndpoint]int{o: 20}, now), quicktest.HasLen, maxConcurrentEvictions-3)
}

// Some thirty of a hundred slots held adapters that were to leave while requests ran on
// them: no new request used them, and they were loaded once more elsewhere.
func TestAdaptersInUseStay(t *testing.T) {
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

// A slot that nobody used was emptied only 250 ms after its adapter began to leave, as long
// as a load from the store takes.
func TestASlotThatRestsIsEmptiedAtOnce(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1")
	o := list["e1"]
	now := time.Now()
	o.slots[adapter(1)] = &slot{ready: true, lastUsed: now.Add(-idleThreshold)}
	o.slots[adapter(2)] = &slot{ready: true, lastUsed: now.Add(-idleThreshold), lastAnnounced: now} // a box was just told of it
	c.Assert(l.freeSlotDelayLocked(o, 0, now), quicktest.Equals, idleUnloadTime)
	c.Assert(l.evictLocked(map[*ownedEndpoint]int{o: 1}, now), quicktest.HasLen, 1)
	c.Assert(o.slots[adapter(1)].unloading, quicktest.IsTrue)
	c.Assert(o.slots[adapter(2)].evicting, quicktest.IsFalse)
	c.Assert(l.cancelEvictionLocked(o, adapter(1)), quicktest.IsFalse)
}

// A new owner unloaded adapters in use before the boxes had told it of them; the endpoint
// held up its other orders for up to four seconds.
func TestANewOwnerEmptiesNoSlotBeforeItHasHeardWhatIsInUse(t *testing.T) {
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

// An adapter left, was wanted again, and left once more; both times an unload followed, and
// the second one emptied a slot that was being filled anew.
func TestAnAdapterThatLeavesTwiceIsUnloadedOnce(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	l := b.loader
	now := time.Now()
	o := &ownedEndpoint{endpoint: b.endpoint, phase: owning, slots: map[topology.Adapter]*slot{adapter(1): {ready: true}}}
	l.owned["e1"] = o
	b.use(1, 1)
	l.beginEvictionLocked(o, adapter(1), now)
	c.Assert(l.cancelEvictionLocked(o, adapter(1)), quicktest.IsTrue)
	later := now.Add(usageSettleTime / 2)
	l.beginEvictionLocked(o, adapter(1), later)
	b.use(1, 0)
	_, leaves := l.evictionDelay(o, 0, adapter(1), now, later.Add(usageSettleTime))
	c.Assert(leaves, quicktest.IsFalse)
	wait, leaves := l.evictionDelay(o, 0, adapter(1), later, later.Add(usageSettleTime))
	c.Assert(leaves, quicktest.IsTrue)
	c.Assert(wait <= 0, quicktest.IsTrue)
}

func TestAnAdapterThatIsWantedAgainBeforeItIsUnloadedStays(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.fill(c)
	l := b.loader
	l.mu.Lock()
	o := l.owned["e1"]
	l.beginEvictionLocked(o, adapter(1), time.Now()) // it is in use: it will be unloaded when it is not
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

// A newer version of an adapter in use was loaded over the older one: the endpoint waited
// for its runs, with all that it was ordered meanwhile.
func TestANewVersionIsLoadedWhenTheOldOneIsNotInUse(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.fill(c)
	ready := make(chan bool, 1)
	go func() {
		w := b.patientRequest(1)
		w.Version = 2
		p, _ := b.loader.Want(context.Background(), w)
		ready <- p.Ready && p.Version == 2
	}()
	for range 6 {
		time.Sleep(usageSettleTime / 2)
		b.use(1, 1)
		c.Assert(b.holds(1), quicktest.IsTrue)
	}
	c.Assert(<-ready, quicktest.IsTrue)
}
