// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
)

// userProfile describes one of the two users' deployments at its present size.
type userProfile struct {
	name              string
	spec              fleet.Spec
	rate              float64 // steady request rate, per second
	storeRate         float64 // loads per second that the store allows
	schedulerSettings []string
	requestMix        []load.RequestKind
}

// workload is a traffic pattern, with a disturbance if there is one.
type workload struct {
	name            string
	rateFactor      float64                          // multiple of the user's steady rate
	wakeAdapters    bool                             // at half-time a quarter of all adapters starts to get requests
	shiftPopularity bool                             // at half-time other adapters become the popular ones
	disturb         func(f *fleet.Fleet) disturbance // returns what happens at half-time; nil: nothing
	failEvery       int                              // the store fails one load in failEvery; 0: none
}

// disturbance is an action that is run once, at half-time.
type disturbance func() error

// policySet is a set of policies, as settings of the daemons.
type policySet struct {
	name              string
	gatewaySettings   []string
	schedulerSettings []string
}

// policySets lists the default policies first, then the baselines.
var policySets = []policySet{
	{name: "cairnwick"},
	{name: "cairnwick without warm prefixes", gatewaySettings: []string{"warm_prefixes=0"}},
	{name: "hash over the region + LRU", gatewaySettings: []string{"placement=hash"}, schedulerSettings: []string{"eviction=least_recently_used", "weight_batch=0"}},
	{name: "hash + LRU", gatewaySettings: []string{"placement=hash", "placement_scope=data_centre"}, schedulerSettings: []string{"eviction=least_recently_used", "weight_batch=0"}},
	{name: "least loaded + LRU", gatewaySettings: []string{"placement=least_loaded", "placement_scope=data_centre"}, schedulerSettings: []string{"eviction=least_recently_used", "weight_batch=0"}},
	{name: "random + LRU", gatewaySettings: []string{"placement=random", "placement_scope=data_centre"}, schedulerSettings: []string{"eviction=least_recently_used", "weight_batch=0"}},
}

const (
	userAdapters  = 5000
	conversations = 20                     // concurrent conversations per adapter
	loadTime      = 400 * time.Millisecond // at the store's full speed
)

// nurseryProfile is the family nursery's deployment: interactive callers, for whom load stalls matter most.
func nurseryProfile() userProfile {
	return userProfile{
		name: "nursery",
		spec: fleet.Spec{
			Centres: 3, Boxes: 2, Engines: 6, Adapters: userAdapters, Slots: 8, BatchSize: 8,
			EngineArgs:   []string{"--step", "10ms"},
			PlatformArgs: []string{"--store-rate", "9", "--store-at-once", "6", "--load-time", loadTime.String()},
		},
		rate:              60,
		storeRate:         9,
		schedulerSettings: []string{"store_rate=9", "store_at_once=6", "weight_batch=0"},
		requestMix: []load.RequestKind{
			{Class: fleet.CounterClass, Caller: "till", Weight: 6, Tokens: 16, Stream: true},
			{Class: fleet.CounterClass, Caller: "landscaper", Weight: 3, Tokens: 48},
			{Class: fleet.UrgentClass, Caller: "lookup", Weight: 1, Tokens: 8},
		},
	}
}

// boundariesProfile is the boundary practice's deployment: most work may wait, so batch fullness matters most.
func boundariesProfile() userProfile {
	return userProfile{
		name: "boundaries",
		spec: fleet.Spec{
			Centres: 3, Boxes: 2, Engines: 4, Adapters: userAdapters, Slots: 8, BatchSize: 8,
			EngineArgs:   []string{"--step", "10ms"},
			PlatformArgs: []string{"--store-rate", "4", "--store-at-once", "8", "--load-time", loadTime.String()},
		},
		rate:              40,
		storeRate:         4,
		schedulerSettings: []string{"store_rate=4", "store_at_once=8", "weight_batch=1"},
		requestMix: []load.RequestKind{
			{Class: fleet.CounterClass, Caller: "counter", Weight: 3, Tokens: 16, Stream: true},
			{Class: fleet.NightClass, Caller: "cooperative", Weight: 4, Tokens: 32},
			{Class: fleet.NightClass, Caller: "office", Weight: 3, Tokens: 32},
		},
	}
}

const userSkew = 1.35

// loadPlan returns the load of a workload on the user's deployment.
func (u userProfile) loadPlan(f *fleet.Fleet, l workload, d time.Duration, seed uint64) load.Plan {
	p := load.Plan{
		Rate:          u.rate * l.rateFactor,
		Duration:      d,
		Seed:          seed,
		Adapters:      userAdapters,
		Skew:          userSkew,
		Kinds:         u.requestMix,
		Conversations: conversations,
		Timeout:       2 * time.Minute,
		RetryRejected: true,
	}
	if l.shiftPopularity {
		p.ShiftAfter = d / 2
	}
	if l.wakeAdapters {
		p.ActivateAfter = d / 2
	}
	for c := 1; c <= u.spec.Centres; c++ {
		for b := 1; b <= u.spec.Boxes; b++ {
			p.Gateways = append(p.Gateways, f.CallersAddress(c, b))
		}
	}
	return p
}
