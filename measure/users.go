// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
)

// user describes one of the two users' deployments at its present size.
type user struct {
	name      string
	spec      fleet.Spec
	rate      float64 // steady request rate, per second
	store     float64 // loads per second that the store allows
	scheduler []string
	kinds     []load.Mix
}

// workload is a traffic pattern, with a disturbance if there is one.
type workload struct {
	name     string
	times    float64                          // multiple of the user's steady rate
	wake     bool                             // at half-time a quarter of all adapters starts to get requests
	shift    bool                             // at half-time other adapters become the popular ones
	disturb  func(f *fleet.Fleet) disturbance // returns what happens at half-time; nil: nothing
	failEach int                              // the store fails one load in failEach; 0: none
}

// disturbance is an action that is run once, at half-time.
type disturbance func() error

// contender is a set of policies, as settings of the daemons.
type contender struct {
	name      string
	gateway   []string
	scheduler []string
}

// contenders lists the default policies first, then the baselines.
var contenders = []contender{
	{name: "cairnwick"},
	{name: "cairnwick without warm prefixes", gateway: []string{"warm_prefixes=0"}},
	{name: "hash over the region + LRU", gateway: []string{"placement=hash"}, scheduler: []string{"eviction=least_recently_used", "weight_batch=0"}},
	{name: "hash + LRU", gateway: []string{"placement=hash", "placement_scope=data_centre"}, scheduler: []string{"eviction=least_recently_used", "weight_batch=0"}},
	{name: "least loaded + LRU", gateway: []string{"placement=least_loaded", "placement_scope=data_centre"}, scheduler: []string{"eviction=least_recently_used", "weight_batch=0"}},
	{name: "random + LRU", gateway: []string{"placement=random", "placement_scope=data_centre"}, scheduler: []string{"eviction=least_recently_used", "weight_batch=0"}},
}

const (
	userAdapters = 5000
	talks        = 20                     // concurrent conversations per adapter
	loadTime     = 400 * time.Millisecond // at the store's full speed
)

// nursery is the family nursery's deployment: interactive callers, for whom load stalls matter most.
func nursery() user {
	return user{
		name: "nursery",
		spec: fleet.Spec{
			Centres: 3, Boxes: 2, Engines: 6, Adapters: userAdapters, Slots: 8, Batch: 8,
			EngineArgs: []string{"--step", "10ms"},
			StoreArgs:  []string{"--store-rate", "9", "--store-at-once", "6", "--load-time", loadTime.String()},
		},
		rate:      60,
		store:     9,
		scheduler: []string{"store_rate=9", "store_at_once=6", "weight_batch=0"},
		kinds: []load.Mix{
			{Class: fleet.CounterClass, Caller: "till", Share: 6, Tokens: 16, Stream: true},
			{Class: fleet.CounterClass, Caller: "landscaper", Share: 3, Tokens: 48},
			{Class: fleet.UrgentClass, Caller: "lookup", Share: 1, Tokens: 8},
		},
	}
}

// boundaries is the boundary practice's deployment: most work may wait, so batch fullness matters most.
func boundaries() user {
	return user{
		name: "boundaries",
		spec: fleet.Spec{
			Centres: 3, Boxes: 2, Engines: 4, Adapters: userAdapters, Slots: 8, Batch: 8,
			EngineArgs: []string{"--step", "10ms"},
			StoreArgs:  []string{"--store-rate", "4", "--store-at-once", "8", "--load-time", loadTime.String()},
		},
		rate:      40,
		store:     4,
		scheduler: []string{"store_rate=4", "store_at_once=8", "weight_batch=1"},
		kinds: []load.Mix{
			{Class: fleet.CounterClass, Caller: "counter", Share: 3, Tokens: 16, Stream: true},
			{Class: fleet.NightClass, Caller: "cooperative", Share: 4, Tokens: 32},
			{Class: fleet.NightClass, Caller: "office", Share: 3, Tokens: 32},
		},
	}
}

const userSkew = 1.35

// plan returns the load of a workload on the user's deployment.
func (u user) plan(f *fleet.Fleet, l workload, d time.Duration, seed uint64) load.Plan {
	p := load.Plan{
		Rate:     u.rate * l.times,
		Duration: d,
		Seed:     seed,
		Adapters: userAdapters,
		Skew:     userSkew,
		Kinds:    u.kinds,
		Talks:    talks,
		Patience: 2 * time.Minute,
		ComeBack: true,
	}
	if l.shift {
		p.Shift = d / 2
	}
	if l.wake {
		p.Wake = d / 2
	}
	for c := 1; c <= u.spec.Centres; c++ {
		for b := 1; b <= u.spec.Boxes; b++ {
			p.Gateways = append(p.Gateways, f.CallersAddress(c, b))
		}
	}
	return p
}
