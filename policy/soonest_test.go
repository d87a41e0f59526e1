// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against requests going to slow endpoints, and against slow ones that are never tried again.
func TestPreferSoonest(t *testing.T) {
	const ms = time.Millisecond
	slow, fast, unknown := EndpointState{FirstToken: 300 * ms}, EndpointState{FirstToken: 100 * ms}, EndpointState{}
	near := EndpointState{FirstToken: 105 * ms}
	queued, drained := EndpointState{FirstToken: 300 * ms, Queue: 250 * ms}, EndpointState{FirstToken: 300 * ms, Queue: 250 * ms, Age: 300 * ms}
	recent, old := EndpointState{FirstToken: 300 * ms, Age: 4 * time.Second}, EndpointState{FirstToken: 300 * ms, Age: 10 * time.Second}
	for name, k := range map[string]struct {
		states []EndpointState
		want   int
	}{
		"fast before slow":                        {[]EndpointState{slow, fast}, 1},
		"no time at the first":                    {[]EndpointState{unknown, fast}, 0},
		"no time at another":                      {[]EndpointState{slow, unknown}, 0},
		"equal times keep the order":              {[]EndpointState{near, fast}, 0},
		"an old time is tried again":              {[]EndpointState{fast, old}, 1},
		"a time of seconds ago still counts":      {[]EndpointState{fast, recent}, 0},
		"a queue counts":                          {[]EndpointState{fast, queued}, 0},
		"a queue is served as time passes":        {[]EndpointState{fast, drained}, 1},
		"the first of several endpoints is moved": {[]EndpointState{slow, slow, fast}, 2},
	} {
		order := []int{0, 1, 2}[:len(k.states)]
		quicktest.New(t).Check(PreferSoonest(order, order, k.states)[0], quicktest.Equals, k.want, quicktest.Commentf("%s", name))
	}
}

// Guards against requests to endpoints that the placement would not use, and to homes without the adapter.
func TestAlternatives(t *testing.T) {
	c := quicktest.New(t)
	loaded, other := EndpointState{Loaded: true}, EndpointState{}
	for _, k := range []struct {
		placement Placement
		states    []EndpointState
		want      []int
	}{
		{homes{}, []EndpointState{other, other, other}, []int{0, 1}},
		{homes{}, []EndpointState{loaded, other, loaded}, []int{0}},
		{homes{}, []EndpointState{other, loaded, loaded}, []int{0, 1}},
		{hashOnly{}, []EndpointState{other, other, other}, []int{0}},
		{leastLoaded{}, []EndpointState{loaded, other, other}, []int{0, 1, 2}},
		{random{}, []EndpointState{other, other, other}, []int{0}},
	} {
		r := PlacementRequest{Names: names(3), States: k.states, HomeCount: 2}
		c.Check(k.placement.Alternatives(r, []int{0, 1, 2}), quicktest.DeepEquals, k.want, quicktest.Commentf("%T %v", k.placement, k.states))
	}
}

// Guards against endpoints that are lost or repeated when one is moved to the front: fallbacks would be missing.
func TestPreferSoonestKeepsAllEndpoints(t *testing.T) {
	c := quicktest.New(t)
	ms := time.Millisecond
	states := []EndpointState{{FirstToken: 300 * ms}, {FirstToken: 200 * ms}, {FirstToken: 100 * ms}, {}}
	c.Assert(PreferSoonest([]int{0, 1, 2, 3}, []int{0, 1, 2}, states), quicktest.DeepEquals, []int{2, 0, 1, 3})
	c.Assert(PreferSoonest(nil, nil, nil), quicktest.HasLen, 0)
}

// Guards against requests that are held although they can't be served in time, wrong retry times, and endpoints that
// are never tried again after observations of a slow period.
func TestForecastRefusesLateRequests(t *testing.T) {
	const ms = time.Millisecond
	for name, k := range map[string]struct {
		forecast FirstTokenForecast
		refuse   bool
		retry    time.Duration
	}{
		"in time":                             {FirstTokenForecast{Ahead: 600 * ms, Own: 400 * ms, Deadline: time.Second, Observed: true}, false, 0},
		"late: by the excess":                 {FirstTokenForecast{Ahead: 900 * ms, Own: 400 * ms, Deadline: time.Second, Observed: true}, true, 300 * ms},
		"never in time: until a trial":        {FirstTokenForecast{Own: 2 * time.Second, Deadline: time.Second, Idle: true, Observed: true, Age: 500 * ms}, true, 1500 * ms},
		"never in time: behind others":        {FirstTokenForecast{Ahead: 3 * time.Second, Own: 2 * time.Second, Deadline: time.Second, Observed: true}, true, 3 * time.Second},
		"trial at an idle endpoint":           {FirstTokenForecast{Own: 2 * time.Second, Deadline: time.Second, Idle: true, Observed: true, Age: 2 * time.Second}, false, 0},
		"no trial beside another prompt":      {FirstTokenForecast{Own: 2 * time.Second, Deadline: time.Second, Observed: true, Age: 2 * time.Second}, true, 2 * time.Second},
		"idle endpoint that was not observed": {FirstTokenForecast{Own: 2 * time.Second, Deadline: time.Second, Idle: true}, false, 0},
	} {
		retry, refuse := k.forecast.Refuse()
		quicktest.New(t).Check(refuse, quicktest.Equals, k.refuse, quicktest.Commentf("%s", name))
		quicktest.New(t).Check(retry, quicktest.Equals, k.retry, quicktest.Commentf("%s", name))
	}
}
