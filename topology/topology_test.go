// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
)

func route(name, prefix string) *Route {
	return NewRoute(RouteSpec{Name: name, Host: "h", Prefix: prefix, Services: []WeightedService{{Name: "s", Weight: 1}}})
}

func TestRouteMatchesLongestPrefixOfHost(t *testing.T) {
	c := quicktest.New(t)
	cfg := NewConfig(1, []*Route{route("short", "/a/"), route("long", "/a/b/")}, nil, RequestLimits{})
	c.Assert(cfg.Route("h", "/a/b/c").Name(), quicktest.Equals, "long")
	c.Assert(cfg.Route("h", "/a/x").Name(), quicktest.Equals, "short")
	c.Assert(cfg.Route("h", "/b/"), quicktest.IsNil)
	c.Assert(cfg.Route("other", "/a/"), quicktest.IsNil)
}

func TestSelectServiceFollowsWeights(t *testing.T) {
	c := quicktest.New(t)
	r := NewRoute(RouteSpec{Services: []WeightedService{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}}})
	count := make(map[string]int)
	for i := range 1000 {
		count[r.SelectService(float64(i)/1000)]++
	}
	c.Assert(count, quicktest.DeepEquals, map[string]int{"a": 750, "b": 250})
}

func TestSetConfigRejectsOlderVersion(t *testing.T) {
	c := quicktest.New(t)
	v := NewView()
	c.Assert(v.SetConfig(NewConfig(5, nil, nil, RequestLimits{})), quicktest.IsTrue)
	c.Assert(v.SetConfig(NewConfig(4, nil, nil, RequestLimits{})), quicktest.IsFalse)
	c.Assert(v.Config().Version(), quicktest.Equals, uint64(5))
}

func TestEndpointsReadyRequiresLatestReadyVersion(t *testing.T) {
	c := quicktest.New(t)
	v := NewView()
	a := Adapter{Model: "m", Name: "x"}
	for _, id := range []string{"e1", "e2", "e3"} {
		v.SetEndpoint(NewEndpoint(EndpointSpec{ID: id, Service: "s"}))
	}
	v.SetAdapterStates("e1", map[Adapter]AdapterState{a: {Version: 1, Ready: true}})
	v.SetAdapterStates("e2", map[Adapter]AdapterState{a: {Version: 2, Ready: true}})
	v.SetAdapterStates("e3", map[Adapter]AdapterState{a: {Version: 2}})
	c.Assert(v.EndpointsReady(a), quicktest.HasLen, 2)
	v.SetLatestVersion(a, 2)
	v.SetLatestVersion(a, 1) // ignored, since it is older
	c.Assert(v.EndpointsReady(a), quicktest.HasLen, 1)
	c.Assert(v.EndpointsReady(a)[0].ID(), quicktest.Equals, "e2")
	c.Assert(v.EndpointsLoading(a)[0].ID(), quicktest.Equals, "e3")
	v.RemoveEndpoint("e2")
	c.Assert(v.EndpointsReady(a), quicktest.HasLen, 0)
}

func TestEndpointListsStaySortedAndReturnedListsUnchanged(t *testing.T) {
	c := quicktest.New(t)
	v := NewView()
	ids := func(service string) (names []string) {
		for _, e := range v.Endpoints(service) {
			names = append(names, e.ID())
		}
		return names
	}
	set := func(id, service string) { v.SetEndpoint(NewEndpoint(EndpointSpec{ID: id, Service: service})) }
	for _, id := range []string{"c", "a", "b", "a"} {
		set(id, "s")
	}
	c.Assert(ids("s"), quicktest.DeepEquals, []string{"a", "b", "c"})
	returned := v.Endpoints("s")
	set("b", "other")
	v.RemoveEndpoint("a")
	c.Assert(ids("s"), quicktest.DeepEquals, []string{"c"})
	c.Assert(ids("other"), quicktest.DeepEquals, []string{"b"})
	c.Assert(returned, quicktest.HasLen, 3)
	c.Assert(returned[1].ID()+returned[1].Service(), quicktest.Equals, "bs")
	v.RemoveEndpoint("c")
	v.RemoveEndpoint("c")
	c.Assert(v.Endpoints("s"), quicktest.HasLen, 0)
	c.Assert(v.All(), quicktest.HasLen, 1)
}

func TestAdapterCapacityIsBoundedByMemory(t *testing.T) {
	c := quicktest.New(t)
	e := &EngineSpec{MemoryMB: 100, AdapterSlots: 16, Models: []ModelSpec{{Name: "m", WeightsMB: 90, AdapterMB: 3}}}
	c.Assert(e.AdapterCapacity(map[string]bool{"m": true}), quicktest.Equals, 3)
	c.Assert(e.AdapterCapacity(nil), quicktest.Equals, 16)
}

// Found by fuzzing configurations: for adapters with an extremely small size, the conversion to int overflowed and the
// capacity was negative.
func TestAdapterCapacityWithTinyAdapters(t *testing.T) {
	c := quicktest.New(t)
	e := &EngineSpec{MemoryMB: 1e300, AdapterSlots: 16, Models: []ModelSpec{{Name: "m", WeightsMB: 1, AdapterMB: 1e-300}}}
	c.Assert(e.AdapterCapacity(map[string]bool{"m": true}), quicktest.Equals, 16)
}

// An endpoint announced in its responses that it drains while its source was unavailable. When the source
// returned, its outdated entry made the endpoint active again.
func TestDrainingEndpointStaysDraining(t *testing.T) {
	c := quicktest.New(t)
	v := NewView()
	active := NewEndpoint(EndpointSpec{ID: "e1@1", Service: "s"})
	v.SetEndpoint(active)
	changed := v.Changed()
	c.Assert(v.MarkDraining("e1@1"), quicktest.IsTrue)
	c.Assert(v.MarkDraining("e1@1"), quicktest.IsFalse)
	<-changed
	c.Assert(v.Endpoint("e1@1").Draining(), quicktest.IsTrue)
	c.Assert(v.Endpoints("s")[0].Draining(), quicktest.IsTrue)
	v.SetEndpoint(active)
	c.Assert(v.Endpoint("e1@1").Draining(), quicktest.IsTrue)
	v.RemoveEndpoint("e1@1")
	v.SetEndpoint(active)
	c.Assert(v.Endpoint("e1@1").Draining(), quicktest.IsTrue)
	v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e1@2", Service: "s"})) // the next instance
	c.Assert(v.Endpoint("e1@2").Draining(), quicktest.IsFalse)
	c.Assert(v.MarkDraining("e2@1"), quicktest.IsTrue) // reported by another box before the source listed it
	v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e2@1", Service: "s"}))
	c.Assert(v.Endpoint("e2@1").Draining(), quicktest.IsTrue)
}

func TestDrainingSetIsBounded(t *testing.T) {
	c := quicktest.New(t)
	v := NewView()
	for i := range 2 * maxDraining {
		v.MarkDraining(fmt.Sprint(i))
	}
	c.Assert(v.draining.ids, quicktest.HasLen, maxDraining)
	c.Assert(v.draining.order, quicktest.HasLen, maxDraining)
	c.Assert(v.MarkDraining(fmt.Sprint(2*maxDraining-1)), quicktest.IsFalse)
	c.Assert(v.MarkDraining("0"), quicktest.IsTrue)
}
