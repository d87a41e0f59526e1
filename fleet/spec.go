// SPDX-License-Identifier: Apache-2.0

// Package fleet starts whole systems of real processes on loopback addresses:
// gateways, schedulers and the stand-ins around them. The demo, the tests and
// the measurements share it; no daemon does.
package fleet

import (
	"fmt"
	"os"
	"sync/atomic"

	"cairnwick.example/catalog"
	"cairnwick.example/kvstore"
	"cairnwick.example/member"
)

// Spec describes a fleet.
type Spec struct {
	Bin        string   // folder of the programs
	Dir        string   // folder for settings and logs
	Centres    int      // data centres
	Boxes      int      // of each data centre; each runs a gateway and a scheduler
	Engines    int      // of each data centre
	Services   int      // plain services, reached from every data centre
	Adapters   int      // adapters, each with versions 1 and 2 and live on 2
	PerShard   int      // adapters in one shard; zero: defaultPerShard
	Slots      int      // of each engine
	Batch      int      // of each engine
	EngineArgs []string // more flags of the engines
	StoreArgs  []string // more flags of the platform
	Gateway    []string // more settings of gateways, NAME=VALUE
	Scheduler  []string // more settings of schedulers, NAME=VALUE
	Both       []string // more settings of both
	NoFences   bool     // engines do not check fences
	TLS        bool     // daemons speak TLS; the files are in Dir
	Proxied    bool     // daemons, engines and platform are reached through a fault-injecting proxy
}

// The names that every fleet's configuration uses.
const (
	BaseName     = "advice"
	CounterClass = "counter"   // may wait a little
	NightClass   = "overnight" // may wait long
	UrgentClass  = "urgent"    // may not wait
	ServiceName  = "stock"
)

// defaultPerShard keeps a shard near 30 KB, so that a change moves little.
const defaultPerShard = 200

// The ports of a fleet's processes; each box and each stand-in has an address
// of its own.
const (
	callersPort   = 8080
	peersPort     = 9080 // and one more for the scheduler
	operatorsPort = 9180 // and one more for the scheduler
	standinPort   = 7000
	proxyOffset   = 1000 // from a port to the proxy's port for it
)

var fleets atomic.Int32 // begun by this process

// network returns the first three numbers of a fleet's loopback addresses,
// other than those of fleets that other processes started.
func network() string {
	return fmt.Sprintf("127.%d.%d", 16+int(fleets.Add(1))%200, 1+os.Getpid()%250)
}

// CentreName returns the name of the i-th data centre, from 1.
func CentreName(i int) string { return fmt.Sprintf("dc%d", i) }

// BoxName returns the name of a box, both counted from 1.
func BoxName(centre, box int) string { return fmt.Sprintf("dc%d-box%d", centre, box) }

// EndpointName returns the name of an endpoint, both counted from 1.
func EndpointName(centre, engine int) string { return fmt.Sprintf("dc%d-engine%d", centre, engine) }

// AdapterName returns the name of the i-th adapter, from 1.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%05d", i) }

func (f *Fleet) boxIP(centre, box int) string { return fmt.Sprintf("%s.%d", f.net, 40*centre+box) }

func (f *Fleet) engineIP(centre, engine int) string {
	return fmt.Sprintf("%s.%d", f.net, 40*centre+20+engine)
}

// ServiceAddress returns where a plain service listens.
func (f *Fleet) ServiceAddress(i int) string {
	return fmt.Sprintf("%s.%d:%d", f.net, 10+i, standinPort)
}

// EngineAddress returns where an engine listens.
func (f *Fleet) EngineAddress(centre, engine int) string {
	return fmt.Sprintf("%s:%d", f.engineIP(centre, engine), standinPort)
}

// PlatformAddress returns where the platform listens.
func (f *Fleet) PlatformAddress() string { return fmt.Sprintf("%s.1:%d", f.net, standinPort) }

// CallersAddress returns where a gateway takes callers.
func (f *Fleet) CallersAddress(centre, box int) string {
	return fmt.Sprintf("%s:%d", f.boxIP(centre, box), callersPort)
}

// PeersAddress returns where a daemon is reached by others.
func (f *Fleet) PeersAddress(centre, box int, role string) string {
	return fmt.Sprintf("%s:%d", f.boxIP(centre, box), peersPort+offset(role))
}

// OperatorsAddress returns where a daemon's health and metrics are.
func (f *Fleet) OperatorsAddress(centre, box int, role string) string {
	return fmt.Sprintf("%s:%d", f.boxIP(centre, box), operatorsPort+offset(role))
}

func offset(role string) int {
	if role == member.Scheduler {
		return 1
	}
	return 0
}

// Shards returns the configuration that describes the fleet, by shard name.
func (f *Fleet) Shards() map[string]catalog.Shard {
	s := f.Spec
	shards := map[string]catalog.Shard{
		"classes": {
			Bases: []catalog.BaseFormat{{Name: BaseName}},
			Classes: []catalog.ClassFormat{
				{Name: CounterClass, Priority: 1, MayWait: seconds(5), Deadline: seconds(20), Default: true},
				{Name: NightClass, Priority: 9, MayWait: seconds(600), Deadline: seconds(3600)},
				{Name: UrgentClass, Priority: 0, Deadline: seconds(10)},
			},
		},
		"endpoints": f.endpointShard(),
	}
	each := s.PerShard
	if each == 0 {
		each = defaultPerShard
	}
	for first := 1; first <= s.Adapters; first += each {
		shards[fmt.Sprintf("adapters-%05d", first)] = adapterShard(first, min(first+each, s.Adapters+1))
	}
	return shards
}

func (f *Fleet) endpointShard() catalog.Shard {
	var shard catalog.Shard
	for c := 1; c <= f.Spec.Centres; c++ {
		for e := 1; e <= f.Spec.Engines; e++ {
			shard.Endpoints = append(shard.Endpoints, catalog.EndpointFormat{
				Name:         EndpointName(c, e),
				DataCentre:   CentreName(c),
				Base:         BaseName,
				Address:      f.reached(f.engineIP(c, e), standinPort),
				Slots:        f.Spec.Slots,
				Running:      f.Spec.Batch,
				ChecksFences: !f.Spec.NoFences,
				ReportLag:    catalog.Span(reportLag),
			})
		}
	}
	if f.Spec.Services > 0 {
		s := catalog.ServiceFormat{Name: ServiceName, NotRepeatable: []string{"POST /bookings"}}
		for i := 1; i <= f.Spec.Services; i++ {
			s.Addresses = append(s.Addresses, f.ServiceAddress(i))
		}
		shard.Services = []catalog.ServiceFormat{s}
	}
	return shard
}

func adapterShard(first, end int) catalog.Shard {
	var shard catalog.Shard
	for i := first; i < end; i++ {
		n := AdapterName(i)
		shard.Adapters = append(shard.Adapters, catalog.AdapterFormat{
			Name:     n,
			Base:     BaseName,
			Versions: map[string]string{"1": "adapters/" + n + "/1", "2": "adapters/" + n + "/2"},
			Aliases:  map[string]string{catalog.LiveAlias: "2"},
		})
	}
	return shard
}

// reached returns the address by which the daemons reach what listens at ip and
// port.
func (f *Fleet) reached(ip string, port int) string {
	if f.Spec.Proxied {
		port += proxyOffset
	}
	return fmt.Sprintf("%s:%d", ip, port)
}

// ProxyAddress returns where the proxy takes its rules.
func (f *Fleet) ProxyAddress() string { return fmt.Sprintf("%s.2:%d", f.net, standinPort) }

// Boxes returns the platform's list of the fleet's daemons.
func (f *Fleet) Boxes() []kvstore.Box {
	var list []kvstore.Box
	for c := 1; c <= f.Spec.Centres; c++ {
		for b := 1; b <= f.Spec.Boxes; b++ {
			for _, role := range []string{member.Gateway, member.Scheduler} {
				list = append(list, kvstore.Box{
					Name:       BoxName(c, b) + "/" + role,
					DataCentre: CentreName(c),
					Role:       role,
					Address:    f.reached(f.boxIP(c, b), peersPort+offset(role)),
				})
			}
		}
	}
	return list
}
