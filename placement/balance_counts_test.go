// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// newMemoryBoundFixture returns a loader that owns one endpoint, which holds adapter(1), with a memory.
func newMemoryBoundFixture(memoryTokens int) *fixture {
	b := newFixture(4)
	engine := &topology.EngineSpec{Models: []topology.ModelSpec{{Name: model}}, BatchSize: 8, AdapterSlots: slotCount, LoadsPerSec: 10, MemoryTokens: memoryTokens}
	b.loader.View.SetConfig(topology.NewConfig(2, nil, []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "llm", Engine: engine})}, topology.RequestLimits{}))
	b.loader.owned["e1"] = &ownedEndpoint{endpoint: b.endpoint, phase: owning, models: map[string]bool{model: true}, slots: map[topology.Adapter]*slot{adapter(1): {ready: true, version: 1}}}
	return b
}

// Guards against operators who can't see why requests are refused or go to few endpoints: the metric has the state by which
// the owner decides.
func TestBalanceCounts(t *testing.T) {
	c := quicktest.New(t)
	b := newMemoryBoundFixture(8000)
	r := forward.AdapterRequest{Endpoint: b.endpoint, Adapter: adapter(1), Version: 1, MaxWait: time.Second, Target: time.Second, QueueLimit: time.Second,
		Balance: true, Box: "box", PromptTokens: 1000, OutputTokens: 500}
	for range 2 {
		p, err := b.loader.Place(context.Background(), r)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Ready, quicktest.IsTrue)
	}
	r.OutputTokens = 9000
	p, err := b.loader.Place(context.Background(), r)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Busy, quicktest.IsTrue)
	b.loader.slotDemand[slotPool{centre: "dc", service: "llm"}] = demandOf(1, 2, clock.Now())
	got := b.loader.BalanceCounts()
	slots := got.Slots["dc/llm"]
	c.Assert(slots.Free, quicktest.Equals, slotCount-1)
	c.Assert(slots.Needed > 0.6 && slots.Needed < 0.7, quicktest.IsTrue, quicktest.Commentf("%+v", slots))
	c.Assert(slots.Reserved > 2*slots.Needed, quicktest.IsTrue, quicktest.Commentf("%+v", slots))
	got.Slots = nil
	c.Assert(got, quicktest.DeepEquals, BalanceCounts{
		Endpoints: map[string]EndpointWork{"e1": {Slowdown: 1, Grants: 2}},
		Decisions: map[string]int64{balance.InTime.String(): 2, balance.MemoryFull.String(): 1},
	})
	got.Decisions["in time"] = 0 // a copy
	b.loader.RecordUsage("box", []Use{{Endpoint: "e1", Adapter: adapter(1), Started: 1, Running: 1, PrefillTokens: 1000, MemoryTokens: 1500, Failed: 3}}, true, clock.Now())
	got = b.loader.BalanceCounts()
	c.Assert(got.Decisions["in time"], quicktest.Equals, int64(2))
	w := got.Endpoints["e1"]
	c.Assert(w.Slowdown > 2, quicktest.IsTrue, quicktest.Commentf("%+v", w))
	w.Slowdown = 0
	c.Assert(w, quicktest.Equals, EndpointWork{UnreadTokens: 1000, MemoryTokens: 1500, Grants: 1})
	_, err = json.Marshal(got)
	c.Assert(err, quicktest.IsNil)
}

// Guards against entries of endpoints that this box does not own, or that are not balanced by work.
func TestBalanceCountsOnlyHaveOwnedMemoryBoundEndpoints(t *testing.T) {
	c := quicktest.New(t)
	b := newMemoryBoundFixture(0)
	c.Assert(b.loader.BalanceCounts().Endpoints, quicktest.HasLen, 0)
	b = newMemoryBoundFixture(8000)
	b.loader.owned["e1"].phase = claiming
	c.Assert(b.loader.BalanceCounts().Endpoints, quicktest.HasLen, 0)
}
