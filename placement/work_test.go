// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

const (
	balancedMemory = 20000 // tokens of an endpoint
	balancedSlots  = 5     // adapter slots of an endpoint
)

// newBalancedLoader returns a loader whose endpoints are limited by memory.
func newBalancedLoader(ids ...string) (*Loader, map[string]*ownedEndpoint) {
	l, list := newIdleLoader(ids...)
	engine := &topology.EngineSpec{Models: []topology.ModelSpec{{Name: model}}, AdapterSlots: balancedSlots, LoadsPerSec: 10, BatchSize: 16, MemoryTokens: balancedMemory}
	l.View.SetConfig(topology.NewConfig(2, nil, []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "llm", Engine: engine})}, topology.RequestLimits{}))
	return l, list
}

// hold marks an adapter as loaded at endpoints.
func hold(n int, list ...*ownedEndpoint) {
	for _, o := range list {
		o.slots[adapter(n)] = &slot{ready: true}
	}
}

// balancedWaiter returns a request of the most urgent kind.
func balancedWaiter(o *ownedEndpoint, n int, now time.Time) *waiter {
	return &waiter{requestedAt: now, AdapterRequest: forward.AdapterRequest{
		Endpoint: o.endpoint, Adapter: adapter(n), TargetWait: 2 * time.Second, MaxWait: 10 * time.Second, PromptTokens: 1000,
		Balance: true, Box: "box", OutputTokens: 200, Target: 2 * time.Second, QueueLimit: 2 * time.Second, UrgentLimit: 2 * time.Second,
	}}
}

// ask evaluates a request once.
func ask(l *Loader, w *waiter, now time.Time) (forward.PlacementResult, bool) {
	p, wait := l.tryPlace(w, now, w.requestedAt.Add(w.MaxWait))
	return p, wait != nil
}

// A full report of the only box with prompts at an endpoint restarted the time since its last progress, so that a stalled
// endpoint looked free after each one.
func TestFullReportKeepsTimeOfStall(t *testing.T) {
	c := quicktest.New(t)
	r := newInFlightTable()
	now := time.Now()
	use := []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 1, PrefillTokens: 1000}}
	r.update("box", use, false, now)
	r.update("box", use, false, now.Add(500*time.Millisecond))
	p, busy := r.readingOf("e1")
	c.Assert(busy, quicktest.IsTrue)
	c.Assert(p.progressAt, quicktest.Equals, now)
	c.Assert(p.since, quicktest.Equals, now)
}

// Progress was seen only as a decrease of an endpoint's tokens: one that read a prompt while the next arrived, or whose
// requests were missing from a full report, seemed stalled.
func TestReadPromptIsProgress(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	later := now.Add(time.Second)
	other := Use{Endpoint: "e1", Adapter: adapter(2), Running: 1, PrefillTokens: 500}
	use := Use{Endpoint: "e1", Adapter: adapter(1), Running: 1, PrefillTokens: 1000}
	next := use
	next.Read = balance.Observation{Prompts: 1, Tokens: 1000, Took: time.Second}
	for _, report := range [][]Use{{next, other}, {other}} {
		r := newInFlightTable()
		r.update("box", []Use{use, other}, false, now)
		r.update("box", report, false, later)
		p, _ := r.readingOf("e1")
		c.Assert(p.progressAt, quicktest.Equals, later)
		c.Assert(p.since, quicktest.Equals, now)
	}
}

// The counts of a box that died left its endpoints marked as reading.
func TestExpiredBoxLeavesNoStall(t *testing.T) {
	c := quicktest.New(t)
	r := newInFlightTable()
	now := time.Now()
	r.update("box", []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 1, PrefillTokens: 1000, MemoryTokens: 1200}}, false, now)
	r.expire(now.Add(usageReportExpiry))
	_, busy := r.readingOf("e1")
	c.Assert(busy, quicktest.IsFalse)
	c.Assert(r.memoryTokens("e1"), quicktest.Equals, 0)
	c.Assert(r.reading, quicktest.HasLen, 0)
}

// A negative count in one box's report made an endpoint look empty to all, and huge ones overflowed the sums.
func TestAbsurdReportIsBounded(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	now := time.Now()
	huge := int(^uint(0) >> 1)
	l.RecordUsage("good", []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 1, PrefillTokens: 1000, MemoryTokens: 1200}}, false, now)
	l.RecordUsage("bad", []Use{{Endpoint: "e1", Adapter: adapter(1), Started: -5, Running: -9, PrefillTokens: -huge, MemoryTokens: -huge, Failed: -1, Streams: -1, Pauses: -time.Hour}}, false, now)
	c.Assert(l.inFlight.prefillTokens("e1"), quicktest.Equals, 1000)
	c.Assert(l.inFlight.memoryTokens("e1"), quicktest.Equals, 1200)
	for _, box := range []string{"bad", "bad2", "bad3"} {
		l.RecordUsage(box, []Use{{Endpoint: "e1", Adapter: adapter(1), Started: huge, Running: huge, PrefillTokens: huge, MemoryTokens: huge, Failed: huge, Streams: huge, Pauses: 1 << 62, Read: balance.Observation{Prompts: huge, Tokens: huge, Took: 1 << 62}}}, false, now)
	}
	c.Assert(l.inFlight.memoryTokens("e1") > balancedMemory, quicktest.IsTrue)
	c.Assert(l.queueTimeLocked(list["e1"], now) >= 0, quicktest.IsTrue)
	l.inFlight.expire(now.Add(usageReportExpiry))
	c.Assert(l.inFlight.memoryTokens("e1"), quicktest.Equals, 0)
}

// A negative token count in a request made room for others, and a huge priority or wait gave a load infinite weight or
// let a request wait for ever.
func TestAbsurdRequestIsBounded(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	now := time.Now()
	hold(1, list["e1"])
	w := balancedWaiter(list["e1"], 1, now)
	w.PromptTokens, w.OutputTokens, w.Priority, w.MaxWait, w.Elapsed = -5000, -5000, -5000, 1<<62, -1<<62
	w.AdapterRequest = boundedRequest(w.AdapterRequest)
	c.Assert(w.MaxWait, quicktest.Equals, maxRequestTime)
	c.Assert(w.Priority, quicktest.Equals, 0)
	c.Assert(w.Elapsed, quicktest.Equals, time.Duration(0))
	_, _ = l.Place(t.Context(), balancedRequest(list["e1"], -5000))
	tokens, memory := list["e1"].granted()
	c.Assert(tokens, quicktest.Equals, 0)
	c.Assert(memory, quicktest.Equals, 200)
}

func balancedRequest(o *ownedEndpoint, tokens int) forward.AdapterRequest {
	w := balancedWaiter(o, 1, time.Now()).AdapterRequest
	w.PromptTokens = tokens
	return w
}

// After a minute without an idle adapter the wait for a slot exceeded the range of a duration and became negative, so
// that refused callers were asked to come back at once.
func TestSlotWaitAfterLongQuietTime(t *testing.T) {
	c := quicktest.New(t)
	l, _ := newBalancedLoader("e1")
	now := time.Now()
	l.idleTransitions.Add(1, now, idleRateHalfLife)
	for _, age := range []time.Duration{time.Minute, 2 * time.Minute, time.Hour} {
		c.Assert(l.slotWaitAnywhereLocked(now.Add(age)), quicktest.Equals, maxSlotWait)
	}
	c.Assert(l.slotWaitAnywhereLocked(now) < maxSlotWait, quicktest.IsTrue)
}

// pendingLoadsOf returns at how many endpoints a load of an adapter is requested.
func pendingLoadsOf(l *Loader, n int) (count int) {
	for k := range l.pendingLoads {
		if k.adapter == adapter(n) {
			count++
		}
	}
	return count
}

// busySlots fills an endpoint's adapter slots with adapters in use.
func busySlots(l *Loader, o *ownedEndpoint, count int, now time.Time) {
	var uses []Use
	for i := range count {
		o.slots[adapter(100+i)] = &slot{ready: true}
		uses = append(uses, Use{Endpoint: o.endpoint.ID(), Adapter: adapter(100 + i), Running: 1})
	}
	l.RecordUsage("box-"+o.endpoint.ID(), uses, true, now) // a full report of a full endpoint calls for copies
}

// A requested load counted as ahead of itself where all slots were in use. Other endpoints seemed to have the adapter
// sooner, and each request asked for one more load.
func TestManyRequestsShareOneLoad(t *testing.T) {
	c := quicktest.New(t)
	for _, taken := range []int{0, balancedSlots} {
		l, list := newBalancedLoader("e1", "e2", "e3")
		now := time.Now()
		for _, o := range list {
			busySlots(l, o, taken, now)
		}
		for range 4 { // more would fill an endpoint, and call for copies
			w := balancedWaiter(list["e1"], 1, now)
			w.PromptTokens = 10
			_, waits := ask(l, w, now)
			c.Assert(waits, quicktest.IsTrue)
			l.rankPendingLocked(now)
		}
		c.Assert(pendingLoadsOf(l, 1), quicktest.Equals, 1)
	}
}

// An endpoint that had lost an adapter was not seen as loading it from the second look on: the request was refused though
// its load was requested, or had it loaded elsewhere too.
func TestReloadOfLostAdapterIsAwaited(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	now := time.Now()
	hold(1, list["e1"])
	w := balancedWaiter(list["e1"], 1, now)
	w.NotLoaded = true
	_, waits := ask(l, w, now)
	c.Assert(waits, quicktest.IsTrue)
	w.NotLoaded, w.counted = false, true
	p, waits := ask(l, w, now.Add(recheckInterval))
	c.Assert(waits, quicktest.IsTrue, quicktest.Commentf("%+v", p))
	c.Assert(pendingLoadsOf(l, 1), quicktest.Equals, 1)
}

// A less urgent request was refused for want of a slot while it waited for its load, which was then made for nobody.
func TestWaitingRequestKeepsItsSlot(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	now := time.Now()
	busySlots(l, list["e1"], 1, now)
	w := balancedWaiter(list["e1"], 1, now)
	w.Priority = 1
	l.slotDemand[poolOf(list["e1"])] = demandOf(0, 2, now)
	_, waits := ask(l, w, now)
	c.Assert(waits, quicktest.IsTrue)
	w.counted = true
	busySlots(l, list["e1"], 4, now)
	_, waits = ask(l, w, now)
	c.Assert(waits, quicktest.IsTrue)
	p, waits := ask(l, func() *waiter { o := balancedWaiter(list["e1"], 2, now); o.Priority = 1; return o }(), now)
	c.Assert(waits, quicktest.IsFalse)
	c.Assert(p.Reason, quicktest.Matches, reasonSlotsKept+".*")
}

// Whether a caller had come back too early was judged by the time of each look, so that it counted as one that returned as
// it was asked to once it had waited for a moment.
func TestEarlyReturnStaysEarlyWhileItWaits(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	refusedAt := time.Now()
	arrived := refusedAt.Add(500 * time.Millisecond)
	now := arrived.Add(800 * time.Millisecond)
	hold(1, list["e1"])
	_, offered := l.returns.Assign(refusedAt, 3*time.Second, 0, 4*time.Second, 1)
	c.Assert(offered, quicktest.IsTrue)
	l.RecordUsage("box-1", []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 1, PrefillTokens: 38000, MemoryTokens: 10}}, false, now)
	w := balancedWaiter(list["e1"], 1, arrived)
	w.Retried, w.Elapsed = true, arrived.Sub(refusedAt)
	p, _ := ask(l, w, now)
	c.Assert(p.Ready, quicktest.IsFalse)
	w.Elapsed = 3 * time.Second // of a caller that was refused before any other
	p, _ = ask(l, w, now)
	c.Assert(p.Ready, quicktest.IsTrue)
}

// A leader that owned only some endpoints of its data centre loaded adapters again that the others held, or answered that no
// endpoint was available, until it owned those too.
func TestHolderThatIsNotOwnedYetIsWaitedFor(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1", "e2")
	now := time.Now()
	l.View.SetAdapterStates("e2", map[topology.Adapter]topology.AdapterState{adapter(1): {Ready: true}})
	for _, p := range []phase{claiming, yielded} {
		list["e2"].phase, list["e2"].since = p, now
		r, waits := ask(l, balancedWaiter(list["e1"], 1, now), now)
		c.Assert(waits, quicktest.IsFalse)
		c.Assert(r.OwnerChanging, quicktest.IsTrue)
		c.Assert(r.RetryAfter > 0, quicktest.IsTrue)
		c.Assert(l.pendingLoads, quicktest.HasLen, 0)
	}
	hold(1, list["e1"])
	l.View.SetAdapterStates("e1", map[topology.Adapter]topology.AdapterState{adapter(1): {Ready: true}})
	r, _ := ask(l, balancedWaiter(list["e1"], 1, now), now)
	c.Assert(r.Ready, quicktest.IsTrue)
	c.Assert(r.Endpoint, quicktest.Equals, "e1")
}

// A leader that owned endpoints of one service answered for another that it owned none of.
func TestRequestOfServiceWithoutOwnedEndpointsWaitsForItsOwner(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	other := topology.NewEndpoint(topology.EndpointSpec{ID: "x1", Service: "other", DataCentre: list["e1"].endpoint.DataCentre(), Slots: 8, Models: []string{model}})
	l.View.SetEndpoint(other)
	w := balancedWaiter(list["e1"], 1, time.Now())
	w.Endpoint = other
	r, _ := ask(l, w, w.requestedAt)
	c.Assert(r.OwnerChanging, quicktest.IsTrue)
}

// Load: an endpoint whose streams pause for 600 ms while it reads prompts without a break, beside many that read one prompt now
// and then, whose streams pause for 50 ms. The estimate followed those, and streams at busy endpoints were late.
func TestPausesAreLearnedWhereEndpointsReadWithoutABreak(t *testing.T) {
	c := quicktest.New(t)
	l, _ := newBalancedLoader("e1", "e2")
	now := time.Now()
	report := func(id string, tokens int, pause time.Duration) {
		l.RecordUsage("box-"+id, []Use{{Endpoint: id, Adapter: adapter(1), Running: 1, PrefillTokens: tokens, Streams: 1, Pauses: pause}}, true, now)
	}
	for range 200 {
		for range 9 {
			report("e2", 0, 50*time.Millisecond)
		}
		report("e1", 1000, 0)
		now = now.Add(longReadTime)
		report("e1", 0, 600*time.Millisecond)
		now = now.Add(longReadRecency / 2)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Check(l.speeds.Pause("e1", now) > 500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", l.speeds.Pause("e1", now)))
	l.inFlight.expire(now.Add(longReadRecency + time.Second))
	c.Check(l.inFlight.longReads, quicktest.HasLen, 0)
}
