// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// usageOfService returns the usage of a box whose service app has an engine with 96 request slots and a memory.
func usageOfService(memoryTokens int) (*usage, *topology.Endpoint) {
	v := topology.NewView()
	engine := &topology.EngineSpec{BatchSize: 96, AdapterSlots: 5, MemoryTokens: memoryTokens}
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: engine})}
	v.SetConfig(topology.NewConfig(1, nil, services, topology.RequestLimits{}))
	u := newUsage(&Node{view: v, peers: &peers{box: "box", centre: "near"}})
	return u, topology.NewEndpoint(topology.EndpointSpec{ID: "e1", Service: "app", DataCentre: "far"})
}

// reported returns what the next report says of the only endpoint, without its names.
func reported(c *quicktest.C, u *usage, full bool) *wire.Usage {
	q := collectReport(u, full)
	c.Assert(q.GetUsage(), quicktest.HasLen, 1)
	w := q.GetUsage()[0]
	w.Endpoint, w.Adapter = "", ""
	return w
}

// Guards against work that the leader counts twice or never: memory stays as long as the request runs, all else is in one report.
func TestWorkIsReportedOnce(t *testing.T) {
	for _, adapter := range []topology.Adapter{{Model: "m", Name: "a"}, {Model: "m"}} {
		c := quicktest.New(t)
		u, e := usageOfService(121_000)
		r := u.RequestStarted(e, forward.Call{Adapter: adapter, PromptTokens: 900, MaxOutputTokens: 300})
		same := func(full bool, want *wire.Usage) {
			c.Helper()
			c.Assert(reported(c, u, full).String(), quicktest.Equals, want.String())
		}
		same(false, &wire.Usage{Count: 1, Running: 1, Reading: 900, Memory: 1200})
		r.PromptRead(1500, 80*time.Millisecond)
		r.PromptRead(1500, 80*time.Millisecond) // no effect
		same(false, &wire.Usage{Running: 1, Memory: 1200, PromptsRead: 1, TokensRead: 1500, ReadMicros: 80_000})
		same(true, &wire.Usage{Running: 1, Memory: 1200})
		r.Failed()
		r.Failed() // no effect
		same(false, &wire.Usage{Running: 1, Memory: 1200, Failed: 1})
		same(true, &wire.Usage{Running: 1, Memory: 1200})
		r.Finished(40 * time.Millisecond)
		r.Finished(40 * time.Millisecond) // no effect
		same(false, &wire.Usage{Streams: 1, PauseMicros: 40_000})
		c.Assert(collectReport(u, true), quicktest.IsNil)
		c.Assert(u.inFlight, quicktest.HasLen, 0)
		c.Assert(u.reads, quicktest.HasLen, 0)
	}
}

// Guards against sums that keep only the last of several requests between two reports.
func TestWorkBetweenReportsIsSummed(t *testing.T) {
	c := quicktest.New(t)
	u, e := usageOfService(121_000)
	call := forward.Call{Adapter: topology.Adapter{Model: "m", Name: "a"}, PromptTokens: 100, MaxOutputTokens: 50}
	for range 3 {
		r := u.RequestStarted(e, call)
		r.PromptRead(200, 10*time.Millisecond)
		r.Failed()
		r.Finished(5 * time.Millisecond)
	}
	u.RequestStarted(e, call).PromptRead(0, 10*time.Millisecond) // no owner chose the endpoint, so the tokens ahead are not known
	want := &wire.Usage{Count: 4, Running: 1, Memory: 150, PromptsRead: 3, TokensRead: 600, ReadMicros: 30_000, Failed: 3, Streams: 3, PauseMicros: 15_000}
	c.Assert(reported(c, u, true).String(), quicktest.Equals, want.String())
}

// Guards against a change of what is reported of services that are not memory-bound.
func TestWorkIsOnlyReportedOfMemoryBoundServices(t *testing.T) {
	for _, memory := range []int{0, 96 * 2048} {
		c := quicktest.New(t)
		u, e := usageOfService(memory)
		r := u.RequestStarted(e, forward.Call{Adapter: topology.Adapter{Model: "m", Name: "a"}, PromptTokens: 900, MaxOutputTokens: 300})
		c.Assert(reported(c, u, false).String(), quicktest.Equals, (&wire.Usage{Count: 1, Running: 1, Reading: 900}).String())
		r.PromptRead(1500, 80*time.Millisecond)
		r.Failed()
		c.Assert(reported(c, u, false).String(), quicktest.Equals, (&wire.Usage{Running: 1}).String())
		r.Finished(40 * time.Millisecond)
		c.Assert(reported(c, u, false).String(), quicktest.Equals, (&wire.Usage{}).String())
		c.Assert(u.reads, quicktest.HasLen, 0)
	}
}
