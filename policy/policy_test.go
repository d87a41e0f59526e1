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

func TestRankMovesOnlyTheKeysOfTheLostName(t *testing.T) {
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

func TestRankSpreadsKeysEvenly(t *testing.T) {
	c := quicktest.New(t)
	count := make(map[string]int)
	for i := range 6000 {
		count[First(fmt.Sprintf("adapter-%d@1", i), names(6))]++
	}
	for n, k := range count {
		c.Assert(k > 850 && k < 1150, quicktest.IsTrue, quicktest.Commentf("%s has %d", n, k))
	}
}

func order(p Placement, width int, facts []Facts) []int {
	o, _ := p.Order(PlaceRequest{Key: "roses@1", Names: names(len(facts)), Facts: facts, Width: width, Rand: rand.New(rand.NewPCG(1, 2))})
	return o
}

func TestHomesStayWithTheFirstWhileWidthIsOne(t *testing.T) {
	c := quicktest.New(t)
	facts := make([]Facts, 4)
	first := order(hashOnly{}, 1, facts)[0]
	facts[first] = Facts{Running: 8, Limit: 8}
	c.Assert(order(homes{}, 1, facts)[0], quicktest.Equals, first)
}

func TestHomesTakeTheLessLoadedOfTwo(t *testing.T) {
	c := quicktest.New(t)
	facts := make([]Facts, 4)
	ranked := order(hashOnly{}, 1, facts)
	facts[ranked[0]] = Facts{Running: 8, Limit: 8}
	c.Assert(order(homes{}, 2, facts)[0], quicktest.Equals, ranked[1])
}

func TestHomesPreferWhereTheAdapterIsLoaded(t *testing.T) {
	c := quicktest.New(t)
	facts := make([]Facts, 4)
	ranked := order(hashOnly{}, 1, facts)
	facts[ranked[1]] = Facts{Running: 4, Limit: 8, Loaded: true}
	c.Assert(order(homes{}, 2, facts)[0], quicktest.Equals, ranked[1])
}

func TestEveryPlacementOrdersAllEndpoints(t *testing.T) {
	c := quicktest.New(t)
	for _, n := range []string{PlaceHomes, PlaceHash, PlaceLeast, PlaceRandom} {
		p, err := NewPlacement(n)
		c.Assert(err, quicktest.IsNil)
		seen := make(map[int]bool)
		for _, i := range order(p, 2, make([]Facts, 5)) {
			seen[i] = true
		}
		c.Assert(seen, quicktest.HasLen, 5, quicktest.Commentf(n))
	}
}

func TestPopularityFades(t *testing.T) {
	c := quicktest.New(t)
	var p Popularity
	p.Add(100, start, time.Minute)
	now, later := p.Rate(start, time.Minute), p.Rate(start.Add(time.Minute), time.Minute)
	c.Assert(now > 1.99*later && now < 2.01*later, quicktest.IsTrue)
}

func TestWidthGrowsWithLoad(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(Width(0.1, time.Second, 8, 0.5), quicktest.Equals, 1)
	c.Assert(Width(10, time.Second, 8, 0.5), quicktest.Equals, 3)
}

func TestEvictionSparesBusySlots(t *testing.T) {
	c := quicktest.New(t)
	slots := []SlotFacts{{Busy: true}, {Rate: 5, LastUsed: start, LoadCost: time.Second}}
	for _, n := range []string{EvictReturn, EvictOldest} {
		e, err := NewEviction(n)
		c.Assert(err, quicktest.IsNil)
		c.Assert(e.Victim(slots, WantedFacts{Waiting: 9}), quicktest.Equals, 1)
		c.Assert(e.Victim(slots[:1], WantedFacts{Waiting: 9}), quicktest.Equals, -1)
	}
}

func TestAOneOffRequestIsHeldBackThenServed(t *testing.T) {
	c := quicktest.New(t)
	slots := []SlotFacts{{Rate: 50, LoadCost: time.Second}, {Rate: 40, LoadCost: time.Second}}
	one := WantedFacts{Waiting: 1, Patience: time.Second}
	c.Assert(expectedReturn{}.Victim(slots, one), quicktest.Equals, -1)
	one.Waited = time.Second
	c.Assert(expectedReturn{}.Victim(slots, one), quicktest.Equals, 1)
}

func TestNextLoadSavesTheMostWaiting(t *testing.T) {
	c := quicktest.New(t)
	list := []LoadFacts{{Waiting: 1}, {Waiting: 5}, {Waiting: 1, Waited: time.Minute}}
	c.Assert(NextLoad(list[:2], time.Second), quicktest.Equals, 1)
	c.Assert(NextLoad(list, time.Second), quicktest.Equals, 2)
	c.Assert(NextLoad(nil, time.Second), quicktest.Equals, -1)
}

func TestBudgetFindsUnusedRateAndFallsBack(t *testing.T) {
	c := quicktest.New(t)
	var b Budget
	b.SetShare(1, 10)
	now := start
	for range 2 {
		c.Assert(b.Take(now), quicktest.IsTrue)
	}
	c.Assert(b.Take(now), quicktest.IsFalse)
	c.Assert(b.Wait(1, now), quicktest.Equals, time.Second)
	for range 9 {
		b.Loaded()
	}
	c.Assert(b.Wait(1, now), quicktest.Equals, 100*time.Millisecond)
	b.Refused()
	c.Assert(b.Wait(1, now), quicktest.Equals, time.Second)
}

func TestNextWaiterAgesSoThatNoneStarves(t *testing.T) {
	c := quicktest.New(t)
	list := []WaitFacts{{Priority: 1, Ready: true}, {Priority: 9, Ready: true, Waited: time.Second}, {Priority: 0}}
	c.Assert(NextWaiter(list), quicktest.Equals, 0)
	list[1].Waited = time.Minute
	c.Assert(NextWaiter(list), quicktest.Equals, 1)
}

func TestNextWaiterIsFairBetweenCallers(t *testing.T) {
	list := []WaitFacts{{Ready: true, CallerRuns: 6, Waited: time.Second}, {Ready: true, CallerRuns: 1}}
	quicktest.Assert(t, NextWaiter(list), quicktest.Equals, 1)
}

func TestAdmitRefusesAtOnceWhatCannotBeInTime(t *testing.T) {
	c := quicktest.New(t)
	a := Admission{MayWait: time.Second, Estimate: 3 * time.Second, QueueMost: 4, CallerMax: 2}
	v, retry := Admit(a)
	c.Assert(v, quicktest.Equals, RefuseDeadline)
	c.Assert(retry, quicktest.Equals, 2*time.Second)
	a.Estimate = 0
	v, _ = Admit(a)
	c.Assert(v, quicktest.Equals, Wait)
	a.Caller = 2
	v, _ = Admit(a)
	c.Assert(v, quicktest.Equals, RefuseQueue)
	a.MayWait = 0
	v, _ = Admit(a)
	c.Assert(v, quicktest.Equals, RefuseNoWait)
}

func TestRetriesAreTiedToSuccesses(t *testing.T) {
	c := quicktest.New(t)
	b := NewRetryBudget(0.5, 1)
	c.Assert(b.Take(), quicktest.IsTrue)
	c.Assert(b.Take(), quicktest.IsFalse)
	b.Success()
	b.Success()
	c.Assert(b.Take(), quicktest.IsTrue)
}

func TestPatientRequestsWaitForAFullerBatch(t *testing.T) {
	c := quicktest.New(t)
	w := Weights{Batch: 0.5}
	f := HoldFacts{MayWait: time.Hour, Running: 1, Limit: 8, Patient: 1}
	c.Assert(w.Hold(f), quicktest.IsTrue)
	f.Patient = 3
	c.Assert(w.Hold(f), quicktest.IsFalse)
	f.Patient, f.Waited = 1, 20*time.Second
	c.Assert(w.Hold(f), quicktest.IsFalse)
}

func TestNoRequestIsHeldThatMayNotWaitLong(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(Weights{Batch: 1}.Hold(HoldFacts{MayWait: time.Second, Limit: 8}), quicktest.IsFalse)
	c.Assert(Weights{}.Hold(HoldFacts{MayWait: time.Hour, Limit: 8}), quicktest.IsFalse)
}

func TestAWarmPrefixBreaksATie(t *testing.T) {
	c := quicktest.New(t)
	facts := make([]Facts, 4)
	ranked := order(hashOnly{}, 1, facts)
	facts[ranked[2]] = Facts{Limit: 8, Running: 1, Warm: true}
	c.Assert(order(homes{}, 3, facts)[0], quicktest.Equals, ranked[2])
	facts[ranked[2]].Running = 8
	c.Assert(order(homes{}, 3, facts)[0] == ranked[2], quicktest.IsFalse)
}

func TestOfEqualReturnsTheLeastRecentlyUsedGoes(t *testing.T) {
	slots := []SlotFacts{{LastUsed: start.Add(time.Second)}, {LastUsed: start}, {LastUsed: start.Add(time.Minute)}}
	quicktest.Assert(t, expectedReturn{}.Victim(slots, WantedFacts{Waiting: 1}), quicktest.Equals, 1)
}
