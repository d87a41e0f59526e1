// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"fmt"
	"testing"
	"time"

	"cairnwick.example/clock"
	"github.com/frankban/quicktest"
)

// Guards against streams that go on at an instance by a version that its entry no longer names.
func TestSoftwareOfAnInstanceWhoseEntryChangesItIsUnknown(t *testing.T) {
	c := quicktest.New(t)
	v := NewView()
	for _, software := range []string{"v1", "v2", "v1", "v1"} {
		v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e1", Service: "s", Software: software}))
	}
	v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e2", Service: "s", Software: "v1"}))
	v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e2", Service: "s", Software: "v1", Draining: true}))
	c.Assert(v.Endpoint("e1").Software(), quicktest.Equals, "")
	c.Assert(v.Endpoint("e2").Software(), quicktest.Equals, "v1")
}

func softwareView(software ...string) *View {
	v := NewView()
	for i, name := range software {
		v.SetEndpoint(NewEndpoint(EndpointSpec{ID: fmt.Sprintf("e%d", i), Service: "s", Software: name}))
	}
	return v
}

func TestSoleSoftwareIsTheOnlyOneForLongEnough(t *testing.T) {
	c := quicktest.New(t)
	begun := clock.Now()
	for _, x := range []struct {
		software []string
		sole     string
	}{
		{[]string{"v1", "v1"}, "v1"},
		{[]string{"v1", "v2"}, ""},
		{[]string{"v1", ""}, ""},
		{[]string{"", ""}, ""},
		{nil, ""},
	} {
		v := softwareView(x.software...)
		software, ok := v.SoleSoftware("s", clock.Now(), clock.Now())
		c.Check(software, quicktest.Equals, x.sole)
		c.Check(ok, quicktest.Equals, x.sole != "")
		_, ok = v.SoleSoftware("s", begun, begun) // the view did not know the service then
		c.Check(ok, quicktest.IsFalse)
	}
}

func TestRemovedSoftwareCountsForAWhile(t *testing.T) {
	c := quicktest.New(t)
	v := softwareView("v1", "v2")
	since := clock.Now()
	v.RemoveEndpoint("e0")
	_, ok := v.SoleSoftware("s", since, since)
	c.Check(ok, quicktest.IsFalse)
	software, ok := v.SoleSoftware("s", clock.Now(), clock.Now())
	c.Check(ok, quicktest.IsTrue)
	c.Check(software, quicktest.Equals, "v2")
	v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e1", Service: "s", Software: "v3"})) // the instance's entry changed: not known
	_, ok = v.SoleSoftware("s", clock.Now(), clock.Now())
	c.Check(ok, quicktest.IsFalse)
}

// Guards against a version that counts as known since most endpoints run it: boxes that lag behind do not know of it.
func TestSoftwareIsNewHoweverManyEndpointsRunIt(t *testing.T) {
	c := quicktest.New(t)
	v := softwareView("v1", "v2", "v2")
	for _, software := range []string{"v1", "v2"} {
		left := v.SoftwareNewFor("s", software, time.Minute)
		c.Check(left > 59*time.Second && left <= time.Minute, quicktest.IsTrue, quicktest.Commentf("%s: %v", software, left))
		c.Check(v.SoftwareNewFor("s", software, 0), quicktest.Equals, time.Duration(0))
	}
	v.RemoveEndpoint("e0")
	c.Check(v.SoftwareNewFor("s", "v2", time.Minute) > 0, quicktest.IsTrue)
	c.Check(softwareView("v1", "v1").SoftwareNewFor("s", "v1", time.Minute), quicktest.Equals, time.Duration(0)) // after a start
	c.Check(v.SoftwareNewFor("other", "v2", time.Minute), quicktest.Equals, time.Duration(0))
}

func TestConfigurationThatMovesResumableStreamsIsNoticed(t *testing.T) {
	c := quicktest.New(t)
	route := func(prefix string, resumable bool, services ...string) *Route {
		r := RouteSpec{Host: "h", Prefix: prefix, Kind: Streaming, Resumable: resumable}
		for _, s := range services {
			r.Services = append(r.Services, WeightedService{Name: s, Weight: 1})
		}
		return NewRoute(r)
	}
	for _, x := range []struct {
		name          string
		before, after []*Route
		moved         bool
	}{
		{"unchanged", []*Route{route("/", true, "a")}, []*Route{route("/", true, "a")}, false},
		{"another service", []*Route{route("/", true, "a")}, []*Route{route("/", true, "b")}, true},
		{"a further service", []*Route{route("/", true, "a")}, []*Route{route("/", true, "a", "b")}, true},
		{"not resumable", []*Route{route("/", false, "a")}, []*Route{route("/", false, "b")}, false},
		{"a longer prefix is added", []*Route{route("/", true, "a")}, []*Route{route("/", true, "a"), route("/x/", true, "b")}, true},
		{"a longer prefix is removed", []*Route{route("/", true, "a"), route("/x/", true, "b")}, []*Route{route("/", true, "a")}, true},
		{"an unrelated route is added", []*Route{route("/x/", true, "a")}, []*Route{route("/x/", true, "a"), route("/y/", true, "b")}, false},
	} {
		v := NewView()
		v.SetConfig(NewConfig(1, x.before, nil, RequestLimits{}))
		since := clock.Now()
		v.SetConfig(NewConfig(2, x.after, nil, RequestLimits{}))
		c.Check(v.StreamsStayedSince(since), quicktest.Equals, !x.moved, quicktest.Commentf("%s", x.name))
	}
}
