// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"fmt"
	"math"
	"testing"
	"time"

	"cairnwick.example/access"
	"github.com/frankban/quicktest"
)

// Guards against a change for endpoints with memory for each of their slots, and against a memory that is not published, or that
// no request fits, which would make each request be refused.
func TestIsMemoryBound(t *testing.T) {
	c := quicktest.New(t)
	c.Check((*EngineSpec)(nil).IsMemoryBound(), quicktest.IsFalse)
	for _, k := range []struct {
		slots, tokens int
		want          bool
	}{
		{96, 121_000, true},
		{96, 96*2048 - 1, true},
		{96, 96 * 2048, false},
		{96, 2048, true},
		{96, 2047, false},
		{1, 2047, false},
		{1, 2048, false},
		{2, 4095, true},
		{96, 0, false},
		{96, -1, false},
		{0, 121_000, false},
		{-1, 121_000, false},
		{math.MaxInt, math.MaxInt, true},
		{96, math.MaxInt, false},
	} {
		e := &EngineSpec{BatchSize: k.slots, MemoryTokens: k.tokens}
		c.Check(e.IsMemoryBound(), quicktest.Equals, k.want, quicktest.Commentf("%+v", k))
	}
}

// kind is a route by priority and target.
type kind struct {
	priority int
	target   time.Duration
}

// Guards against less urgent requests that fill the queue that more urgent ones need, and against limits of zero, with
// which a request is served at idle endpoints only.
func TestQueueLimit(t *testing.T) {
	const ms = time.Millisecond
	for name, k := range map[string]struct {
		kinds         []kind
		organisations []int           // their priorities
		want          []time.Duration // by kind; with organisations: by organisation and then by kind
	}{
		"one kind":                           {kinds: []kind{{3, 800 * ms}}, want: []time.Duration{800 * ms}},
		"each step leaves a part":            {kinds: []kind{{0, 1000 * ms}, {4, 2000 * ms}, {9, 500 * ms}}, want: []time.Duration{1000 * ms, 850 * ms, 350 * ms}},
		"an own target that is shorter":      {kinds: []kind{{0, 1000 * ms}, {1, 200 * ms}}, want: []time.Duration{1000 * ms, 170 * ms}},
		"the least part":                     {kinds: []kind{{0, 1000 * ms}, {1, 1000 * ms}, {2, 1000 * ms}, {3, 1000 * ms}, {4, 1000 * ms}, {5, 1000 * ms}}, want: []time.Duration{1000 * ms, 850 * ms, 700 * ms, 550 * ms, 400 * ms, 400 * ms}},
		"equal priorities don't limit":       {kinds: []kind{{2, 1000 * ms}, {2, 300 * ms}}, want: []time.Duration{1000 * ms, 300 * ms}},
		"no target: the timeout":             {kinds: []kind{{0, 0}}, want: []time.Duration{9000 * ms}},
		"no target, less urgent":             {kinds: []kind{{0, 1000 * ms}, {1, 0}}, want: []time.Duration{1000 * ms, 850 * ms}},
		"no target, most urgent":             {kinds: []kind{{0, 0}, {1, 1000 * ms}}, want: []time.Duration{9000 * ms, 1000 * ms}},
		"organisations of equal priority":    {kinds: []kind{{0, 1000 * ms}, {1, 1000 * ms}}, organisations: []int{5, 5}, want: []time.Duration{1000 * ms, 850 * ms, 1000 * ms, 850 * ms}},
		"organisations go before kinds":      {kinds: []kind{{0, 1000 * ms}, {1, 2000 * ms}}, organisations: []int{1, 2}, want: []time.Duration{1000 * ms, 850 * ms, 700 * ms, 550 * ms}},
		"all targets of urgent ones count":   {kinds: []kind{{0, 1000 * ms}, {1, 400 * ms}}, organisations: []int{1, 2}, want: []time.Duration{1000 * ms, 340 * ms, 280 * ms, 220 * ms}},
		"the least part for an organisation": {kinds: []kind{{0, 1000 * ms}}, organisations: []int{1, 2, 3, 4, 5, 6}, want: []time.Duration{1000 * ms, 850 * ms, 700 * ms, 550 * ms, 400 * ms, 400 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			var routes []*Route
			for i, s := range k.kinds {
				routes = append(routes, NewRoute(RouteSpec{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Priority: s.priority, LatencyTarget: s.target,
					Timeout: 9 * time.Second, Services: []WeightedService{{Name: "s", Weight: 1}}}))
			}
			cfg := NewConfig(1, routes, nil, RequestLimits{})
			organisations := []*access.Organisation{nil}
			if len(k.organisations) > 0 {
				var specs []access.Spec
				for i, p := range k.organisations {
					specs = append(specs, access.Spec{Name: fmt.Sprint(i), Priority: p})
				}
				d, err := access.NewDirectory(specs)
				quicktest.Assert(t, err, quicktest.IsNil)
				cfg, organisations = cfg.WithCallers(d), d.All()
			}
			var got []time.Duration
			for _, o := range organisations {
				for _, r := range routes {
					got = append(got, cfg.QueueLimit(r, o, "s").Round(ms))
				}
			}
			quicktest.Assert(t, got, quicktest.DeepEquals, k.want)
		})
	}
}

// Guards against a limit of the most urgent requests that is not the longest, as less urgent ones may return up to it.
func TestLongestQueueLimit(t *testing.T) {
	c := quicktest.New(t)
	r := func(priority int, target time.Duration) *Route {
		return NewRoute(RouteSpec{Priority: priority, LatencyTarget: target, Services: []WeightedService{{Name: "s", Weight: 1}}})
	}
	cfg := NewConfig(1, []*Route{r(5, time.Second), r(1, 3*time.Second), r(1, 2*time.Second)}, nil, RequestLimits{})
	c.Assert(cfg.LongestQueueLimit("s"), quicktest.Equals, 2*time.Second)
	c.Assert(cfg.LongestQueueLimit("other"), quicktest.Equals, time.Duration(0))
}
