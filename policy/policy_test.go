// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("endpoint-%d", i)
	}
	return list
}

func TestRankMovesOnlyKeysOfTheRemovedName(t *testing.T) {
	c := quicktest.New(t)
	all := names(6)
	for i := range 200 {
		key := fmt.Sprintf("adapter-%d@1", i)
		before, after := First(key, all), First(key, all[:5])
		c.Assert(Rank(key, all)[0], quicktest.Equals, before)
		if before != all[5] {
			c.Assert(after, quicktest.Equals, before)
		}
	}
}

func TestRankDistributesKeysEvenly(t *testing.T) {
	c := quicktest.New(t)
	count := make(map[string]int)
	for i := range 6000 {
		count[First(fmt.Sprintf("adapter-%d@1", i), names(6))]++
	}
	for n, k := range count {
		c.Assert(k > 850 && k < 1150, quicktest.IsTrue, quicktest.Commentf("%s has %d", n, k))
	}
}

func order(p Placement, homeCount int, states []EndpointState) []int {
	o, _ := p.Order(PlacementRequest{Key: "roses@1", Names: names(len(states)), States: states, HomeCount: homeCount, Rand: rand.New(rand.NewPCG(1, 2))})
	return o
}

func TestHomesUsesTheFirstEndpointForOneHome(t *testing.T) {
	c := quicktest.New(t)
	states := make([]EndpointState, 4)
	first := order(hashOnly{}, 1, states)[0]
	states[first] = EndpointState{Running: 8, Limit: 8}
	c.Assert(order(homes{}, 1, states)[0], quicktest.Equals, first)
}

func TestHomesPrefersTheLessLoadedOfTwo(t *testing.T) {
	c := quicktest.New(t)
	states := make([]EndpointState, 4)
	ranked := order(hashOnly{}, 1, states)
	states[ranked[0]] = EndpointState{Running: 8, Limit: 8}
	c.Assert(order(homes{}, 2, states)[0], quicktest.Equals, ranked[1])
}

func TestHomesPrefersEndpointsWithTheAdapterLoaded(t *testing.T) {
	c := quicktest.New(t)
	states := make([]EndpointState, 4)
	ranked := order(hashOnly{}, 1, states)
	states[ranked[1]] = EndpointState{Running: 4, Limit: 8, Loaded: true}
	c.Assert(order(homes{}, 2, states)[0], quicktest.Equals, ranked[1])
}

func TestPlacementsOrderAllEndpoints(t *testing.T) {
	c := quicktest.New(t)
	for _, n := range []string{PlacementHomes, PlacementHash, PlacementLeastLoaded, PlacementRandom} {
		p, err := NewPlacement(n)
		c.Assert(err, quicktest.IsNil)
		seen := make(map[int]bool)
		for _, i := range order(p, 2, make([]EndpointState, 5)) {
			seen[i] = true
		}
		c.Assert(seen, quicktest.HasLen, 5, quicktest.Commentf(n))
	}
}

func TestDecayingCounterHalfLife(t *testing.T) {
	c := quicktest.New(t)
	var p DecayingCounter
	p.Add(100, start, time.Minute)
	now, later := p.Rate(start, time.Minute), p.Rate(start.Add(time.Minute), time.Minute)
	c.Assert(now > 1.99*later && now < 2.01*later, quicktest.IsTrue)
}

func TestHomeCountGrowsWithLoad(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(HomeCount(0.1, time.Second, 8, 0.5), quicktest.Equals, 1)
	c.Assert(HomeCount(10, time.Second, 8, 0.5), quicktest.Equals, 3)
}

func TestBusySlotsAreNotEvicted(t *testing.T) {
	c := quicktest.New(t)
	slots := []SlotState{{Busy: true}, {Rate: 5, LastUsed: start, LoadCost: time.Second}}
	for _, n := range []string{EvictExpectedReturn, EvictLeastRecentlyUsed} {
		e, err := NewEvictionPolicy(n)
		c.Assert(err, quicktest.IsNil)
		c.Assert(e.Victim(slots, PendingAdapter{Requests: 9}), quicktest.Equals, 1)
		c.Assert(e.Victim(slots[:1], PendingAdapter{Requests: 9}), quicktest.Equals, -1)
	}
}

func TestEvictionForOneRequestIsDeferred(t *testing.T) {
	c := quicktest.New(t)
	slots := []SlotState{{Rate: 50, LoadCost: time.Second}, {Rate: 40, LoadCost: time.Second}}
	pending := PendingAdapter{Requests: 1, MaxDeferral: time.Second}
	c.Assert(expectedReturn{}.Victim(slots, pending), quicktest.Equals, -1)
	pending.OldestWait = time.Second
	c.Assert(expectedReturn{}.Victim(slots, pending), quicktest.Equals, 1)
}

func TestNextLoadSavesTheMostWaiting(t *testing.T) {
	c := quicktest.New(t)
	list := []LoadCandidate{{Requests: 1}, {Requests: 5}, {Requests: 1, OldestWait: time.Minute}}
	c.Assert(NextLoad(list[:2], time.Second), quicktest.Equals, 1)
	c.Assert(NextLoad(list, time.Second), quicktest.Equals, 2)
	c.Assert(NextLoad(nil, time.Second), quicktest.Equals, -1)
}

func TestLoadBudgetProbesAndFallsBack(t *testing.T) {
	c := quicktest.New(t)
	var b LoadBudget
	b.SetRates(1, 10)
	now := start
	for range 2 {
		c.Assert(b.Take(now), quicktest.IsTrue)
	}
	c.Assert(b.Take(now), quicktest.IsFalse)
	c.Assert(b.Wait(1, now), quicktest.Equals, time.Second)
	for range 9 {
		b.RecordLoad()
	}
	c.Assert(b.Wait(1, now), quicktest.Equals, 100*time.Millisecond)
	b.RecordRefusal()
	c.Assert(b.Wait(1, now), quicktest.Equals, time.Second)
}

func TestNextQueuedPreventsStarvation(t *testing.T) {
	c := quicktest.New(t)
	list := []QueuedRequest{{Priority: 1, Ready: true}, {Priority: 9, Ready: true, Waited: time.Second}, {Priority: 0}}
	c.Assert(NextQueued(list), quicktest.Equals, 0)
	list[1].Waited = time.Minute
	c.Assert(NextQueued(list), quicktest.Equals, 1)
}

func TestNextQueuedIsFairBetweenCallers(t *testing.T) {
	list := []QueuedRequest{{Ready: true, CallerRunning: 6, Waited: time.Second}, {Ready: true, CallerRunning: 1}}
	quicktest.Assert(t, NextQueued(list), quicktest.Equals, 1)
}

func TestAdmitRefusesRequestsThatWouldMissTheDeadline(t *testing.T) {
	c := quicktest.New(t)
	a := Admission{MaxWait: time.Second, EstimatedWait: 3 * time.Second, MaxQueued: 4, MaxCallerQueued: 2}
	v, retry := Admit(a)
	c.Assert(v, quicktest.Equals, RefuseDeadline)
	c.Assert(retry, quicktest.Equals, 2*time.Second)
	a.EstimatedWait = 0
	v, _ = Admit(a)
	c.Assert(v, quicktest.Equals, Enqueue)
	a.CallerQueued = 2
	v, _ = Admit(a)
	c.Assert(v, quicktest.Equals, RefuseQueueFull)
	a.MaxWait = 0
	v, _ = Admit(a)
	c.Assert(v, quicktest.Equals, RefuseNoWait)
}

func TestRetryBudgetDependsOnSuccesses(t *testing.T) {
	c := quicktest.New(t)
	b := NewRetryBudget(0.5, 1)
	c.Assert(b.Take(), quicktest.IsTrue)
	c.Assert(b.Take(), quicktest.IsFalse)
	b.RecordSuccess()
	b.RecordSuccess()
	c.Assert(b.Take(), quicktest.IsTrue)
}

func TestDeferrableRequestsWaitForAFullerBatch(t *testing.T) {
	c := quicktest.New(t)
	w := BatchPolicy{Fullness: 0.5}
	f := DeferralState{MaxWait: time.Hour, Running: 1, Limit: 8, Deferrable: 1}
	c.Assert(w.ShouldDefer(f), quicktest.IsTrue)
	f.Deferrable = 3
	c.Assert(w.ShouldDefer(f), quicktest.IsFalse)
	f.Deferrable, f.Waited = 1, 20*time.Second
	c.Assert(w.ShouldDefer(f), quicktest.IsFalse)
}

func TestRequestsWithAShortMaximumWaitAreNotDeferred(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(BatchPolicy{Fullness: 1}.ShouldDefer(DeferralState{MaxWait: time.Second, Limit: 8}), quicktest.IsFalse)
	c.Assert(BatchPolicy{}.ShouldDefer(DeferralState{MaxWait: time.Hour, Limit: 8}), quicktest.IsFalse)
}

func TestCachedPrefixBreaksATie(t *testing.T) {
	c := quicktest.New(t)
	states := make([]EndpointState, 4)
	ranked := order(hashOnly{}, 1, states)
	states[ranked[2]] = EndpointState{Limit: 8, Running: 1, Warm: true}
	c.Assert(order(homes{}, 3, states)[0], quicktest.Equals, ranked[2])
	states[ranked[2]].Running = 8
	c.Assert(order(homes{}, 3, states)[0] == ranked[2], quicktest.IsFalse)
}

func TestExpectedReturnTiesGoToTheLeastRecentlyUsed(t *testing.T) {
	slots := []SlotState{{LastUsed: start.Add(time.Second)}, {LastUsed: start}, {LastUsed: start.Add(time.Minute)}}
	quicktest.Assert(t, expectedReturn{}.Victim(slots, PendingAdapter{Requests: 1}), quicktest.Equals, 1)
}
