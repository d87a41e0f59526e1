// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
)

// user is one of the two users' systems, at the size of today.
type user struct {
	name      string
	spec      fleet.Spec
	rate      float64 // requests a second that are steady
	store     float64 // loads a second that the store allows
	scheduler []string
	kinds     []load.RequestKind
}

// workload is one way of asking.
type workload struct {
	name     string
	times    float64                          // of the user's steady rate
	wake     bool                             // half-way a quarter of all adapters wakes
	shift    bool                             // half-way other adapters become the popular ones
	disturb  func(f *fleet.Fleet) disturbance // what happens at half-time; nil: nothing
	failEach int                              // the store fails one load in so many
}

// disturbance happens once, at half-time.
type disturbance func() error

// contender is one choice of policies.
type contender struct {
	name      string
	gateway   []string
	scheduler []string
}

// contenders are ours first, then the baselines.
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
	talks        = 20                     // conversations of each adapter at a time
	loadTime     = 400 * time.Millisecond // at the store's full speed
)

// nursery is the family nursery: callers at the till, load stalls first.
func nursery() user {
	return user{
		name: "nursery",
		spec: fleet.Spec{
			Centres: 3, Boxes: 2, Engines: 6, Adapters: userAdapters, Slots: 8, BatchSize: 8,
			EngineArgs:   []string{"--step", "10ms"},
			PlatformArgs: []string{"--store-rate", "9", "--store-at-once", "6", "--load-time", loadTime.String()},
		},
		rate:      60,
		store:     9,
		scheduler: []string{"store_rate=9", "store_at_once=6", "weight_batch=0"},
		kinds: []load.RequestKind{
			{Class: fleet.CounterClass, Caller: "till", Weight: 6, Tokens: 16, Stream: true},
			{Class: fleet.CounterClass, Caller: "landscaper", Weight: 3, Tokens: 48},
			{Class: fleet.UrgentClass, Caller: "lookup", Weight: 1, Tokens: 8},
		},
	}
}

// boundaries is the boundary practice: much may wait, batch fullness first.
func boundaries() user {
	return user{
		name: "boundaries",
		spec: fleet.Spec{
			Centres: 3, Boxes: 2, Engines: 4, Adapters: userAdapters, Slots: 8, BatchSize: 8,
			EngineArgs:   []string{"--step", "10ms"},
			PlatformArgs: []string{"--store-rate", "4", "--store-at-once", "8", "--load-time", loadTime.String()},
		},
		rate:      40,
		store:     4,
		scheduler: []string{"store_rate=4", "store_at_once=8", "weight_batch=1"},
		kinds: []load.RequestKind{
			{Class: fleet.CounterClass, Caller: "counter", Weight: 3, Tokens: 16, Stream: true},
			{Class: fleet.NightClass, Caller: "cooperative", Weight: 4, Tokens: 32},
			{Class: fleet.NightClass, Caller: "office", Weight: 3, Tokens: 32},
		},
	}
}

const userSkew = 1.35

// plan asks as the user does.
func (u user) plan(f *fleet.Fleet, l workload, d time.Duration, seed uint64) load.Plan {
	p := load.Plan{
		Rate:          u.rate * l.times,
		Duration:      d,
		Seed:          seed,
		Adapters:      userAdapters,
		Skew:          userSkew,
		Kinds:         u.kinds,
		Conversations: talks,
		Timeout:       2 * time.Minute,
		RetryRejected: true,
	}
	if l.shift {
		p.ShiftAfter = d / 2
	}
	if l.wake {
		p.ActivateAfter = d / 2
	}
	for c := 1; c <= u.spec.Centres; c++ {
		for b := 1; b <= u.spec.Boxes; b++ {
			p.Gateways = append(p.Gateways, f.CallersAddress(c, b))
		}
	}
	return p
}
