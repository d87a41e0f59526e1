// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"strings"
	"testing"
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// queueAt reports prompts that an endpoint has to read.
func queueAt(l *Loader, id string, tokens int, now time.Time) {
	l.RecordUsage("box-queue-"+id, []Use{{Endpoint: id, Adapter: adapter(1), Running: 1, PrefillTokens: tokens, MemoryTokens: 100}}, true, now)
}

// No copy was made of an adapter whose only holder was busy, or one for each of its requests, or one where it was of no use.
func TestCopyOfBusyAdapter(t *testing.T) {
	c := quicktest.New(t)
	for _, k := range []struct {
		name   string
		queue  int // tokens at the holder
		other  int // tokens at the other endpoints
		taken  int // slots in use at the other endpoints
		copies int
	}{
		{"holder is busy", 30000, 0, 0, 1},
		{"holder is not busy", 10000, 0, 0, 0},
		{"others are as busy", 30000, 20000, 0, 0},
		{"others have no free slot", 30000, 0, balancedSlots, 0},
	} {
		c.Run(k.name, func(c *quicktest.C) {
			l, list := newBalancedLoader("e1", "e2", "e3")
			now := time.Now()
			busySlots(l, list["e1"], balancedSlots-1, now)
			hold(1, list["e1"])
			l.View.SetAdapterStates("e1", map[topology.Adapter]topology.AdapterState{adapter(1): {Ready: true}})
			queueAt(l, "e1", k.queue, now)
			for _, id := range []string{"e2", "e3"} {
				busySlots(l, list[id], k.taken, now)
				queueAt(l, id, k.other, now)
			}
			for range 3 {
				w := balancedWaiter(list["e1"], 1, now)
				w.PromptTokens, w.Target, w.QueueLimit = 10, 3*time.Second, 2*time.Second
				p, _ := ask(l, w, now)
				c.Assert(p.Endpoint, quicktest.Equals, "e1", quicktest.Commentf("%+v", p))
			}
			c.Assert(pendingLoadsOf(l, 1), quicktest.Equals, k.copies)
			c.Assert(l.decisions["copy"], quicktest.Equals, int64(k.copies))
		})
	}
}

// Nearly all refusals named loads as their reason, and half of the retry times came after the caller's deadline.
func TestRefusalNamesWhatBinds(t *testing.T) {
	c := quicktest.New(t)
	for _, k := range []struct {
		reason string
		code   forward.Code
		set    func(l *Loader, o *ownedEndpoint, w *waiter, now time.Time)
	}{
		{balance.QueueTooLong.String(), forward.CodeEndpointsBusy, func(l *Loader, o *ownedEndpoint, _ *waiter, now time.Time) { hold(1, o); queueAt(l, "e1", 60000, now) }},
		{balance.MemoryFull.String(), forward.CodeEndpointsBusy, func(l *Loader, o *ownedEndpoint, _ *waiter, now time.Time) {
			hold(1, o)
			l.RecordUsage("box", []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 9, MemoryTokens: balancedMemory - 100}}, false, now)
		}},
		{balance.MemoryFull.String(), forward.CodeEndpointsBusy, func(_ *Loader, o *ownedEndpoint, w *waiter, _ time.Time) { hold(1, o); w.OutputTokens = balancedMemory }},
		{balance.LoadTooLate.String(), forward.CodeNotLoaded, func(l *Loader, _ *ownedEndpoint, _ *waiter, _ time.Time) { l.coldLoadTime = time.Minute }},
		{reasonSlotsKept, forward.CodeNoSlot, func(l *Loader, o *ownedEndpoint, w *waiter, now time.Time) {
			busySlots(l, o, balancedSlots, now)
			w.Priority = 1
			l.slotDemand[poolOf(o)] = demandOf(0, 10, now)
		}},
	} {
		for _, left := range []time.Duration{-time.Second, 0, time.Second, 5 * time.Second, 30 * time.Second} {
			l, list := newBalancedLoader("e1")
			now := time.Now()
			w := balancedWaiter(list["e1"], 1, now)
			w.MaxWait, w.Target = left, min(left, w.Target)
			k.set(l, list["e1"], w, now)
			for range 50 { // their retry times are spaced
				delete(l.slotRefusals, w.Adapter) // an adapter that is refused repeatedly is let in
				p, waits := ask(l, w, now)
				note := quicktest.Commentf("%s, %s left: %+v", k.reason, left, p)
				c.Assert(waits || p.Ready, quicktest.IsFalse, note)
				c.Assert(strings.TrimSuffix(p.Reason, noRoomSuffix), quicktest.Equals, k.reason, note)
				c.Assert(p.Code, quicktest.Equals, k.code, note)
				c.Assert(p.NoRoom, quicktest.Equals, strings.HasSuffix(p.Reason, noRoomSuffix), note)
				c.Assert(p.RetryAfter > 0, quicktest.IsTrue, note)
				if strings.HasSuffix(p.Reason, noRoomSuffix) {
					c.Assert(p.RetryAfter, quicktest.Equals, max(left, retryMargin), note)
				} else {
					c.Assert(p.RetryAfter <= left/3, quicktest.IsTrue, note)
				}
			}
		}
	}
}

// An adapter that only less urgent callers asked for was never loaded while more urgent ones kept the slots in use.
func TestAdapterThatIsRefusedForSlotsDoesNotStarve(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1", "e2")
	now := time.Now()
	busySlots(l, list["e1"], balancedSlots, now)
	w := balancedWaiter(list["e1"], 1, now)
	w.Priority = 1
	l.slotDemand[poolOf(list["e1"])] = demandOf(0, 20, now)
	for range 3 {
		p, waits := ask(l, w, now)
		c.Assert(waits, quicktest.IsFalse)
		c.Assert(strings.TrimSuffix(p.Reason, noRoomSuffix), quicktest.Equals, reasonSlotsKept)
	}
	_, waits := ask(l, w, now)
	c.Assert(waits, quicktest.IsTrue)
}

// A new leader took the endpoints of the one before for empty until their requests had ended.
func TestNewLeaderKnowsWorkFromFullReports(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	l, list := newBalancedLoader("e1", "e2")
	hold(1, list["e1"], list["e2"])
	for _, box := range []string{"box-1", "box-2"} {
		l.RecordUsage(box, []Use{
			{Endpoint: "e1", Adapter: adapter(1), Running: 6, PrefillTokens: 100, MemoryTokens: balancedMemory/2 - 100},
			{Endpoint: "e2", Adapter: adapter(1), Running: 1, PrefillTokens: 6000, MemoryTokens: 7000},
		}, false, now)
	}
	c.Assert(l.queuedTokensLocked(list["e2"], now), quicktest.Equals, 12000)
	for range 3 {
		p, _ := ask(l, balancedWaiter(list["e1"], 1, now), now)
		c.Assert(p.Endpoint, quicktest.Equals, "e2") // e1 has less to read, but no memory
	}
	now = now.Add(usageReportExpiry)
	l.RecordUsage("box-2", nil, false, now) // it has woken; the other has died
	l.inFlight.expire(now)
	c.Assert(l.inFlight.memoryTokens("e1"), quicktest.Equals, 0)
	c.Assert(l.queuedTokensLocked(list["e2"], now), quicktest.Equals, 0)
}

// The requests of a box with an older build, which reports no memory, did not count at all.
func TestReportOfOlderBuildCounts(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1", "e2")
	now := time.Now()
	hold(1, list["e1"], list["e2"])
	l.RecordUsage("old", []Use{{Endpoint: "e1", Adapter: adapter(1), Started: 3, Running: 3, PrefillTokens: 5000}}, false, now)
	c.Assert(l.queueTimeLocked(list["e1"], now), quicktest.Equals, l.speeds.ReadTime("e1", 5000, now))
	p, _ := ask(l, balancedWaiter(list["e1"], 1, now), now)
	c.Assert(p.Endpoint, quicktest.Equals, "e2")
}

// Endpoints without published memory were served differently from before.
func TestEngineWithoutMemoryIsServedAsBefore(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1", "e2")
	now := time.Now()
	hold(1, list["e1"], list["e2"])
	l.RecordUsage("box", []Use{
		{Endpoint: "e1", Adapter: adapter(1), Running: 1, PrefillTokens: 90000, MemoryTokens: 1 << 20, Failed: 9},
		{Endpoint: "e2", Adapter: adapter(1), Running: 1, PrefillTokens: 90001, Read: balance.Observation{Prompts: 1, Tokens: 100, Took: time.Millisecond}},
	}, false, now)
	w := balancedWaiter(list["e2"], 1, now)
	w.Balance, w.MaxWait, w.QueueLimit = false, 0, 0
	for range 3 {
		p, _ := ask(l, w, now.Add(time.Second))
		c.Assert(p.Endpoint, quicktest.Equals, "e1") // the fewest prompt tokens, whatever they take
		c.Assert(p.AheadTokens, quicktest.Equals, 0)
	}
	c.Assert(list["e1"].grants, quicktest.HasLen, 0)
	c.Assert(l.decisions, quicktest.HasLen, 0)
	c.Assert(l.comfortableRequests(list["e1"]), quicktest.Equals, fullThreshold*8)
	list["e1"].announcedTokens, list["e1"].waitingTokens = list["e2"].announcedTokens, 5
	c.Assert(l.prefillDelayLocked(list["e1"], now), quicktest.Equals, l.PrefillTime(90005))
}
