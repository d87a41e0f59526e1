// SPDX-License-Identifier: Apache-2.0

// Package fleet starts complete systems of real processes on loopback addresses:
// gateways, schedulers and the stand-ins that they need. It is used by the demo,
// the tests and the measurements, but not by the daemons.
package fleet

import (
	"fmt"

	"cairnwick.example/kvstore"
	"cairnwick.example/member"
)

// Spec is the configuration of a fleet.
type Spec struct {
	Bin               string   // directory of the programs
	Dir               string   // directory for settings and logs
	Centres           int      // number of data centres
	Boxes             int      // per data centre; each runs a gateway and a scheduler
	Engines           int      // per data centre
	Services          int      // plain services, which all data centres share
	Adapters          int      // number of adapters, each with versions 1 and 2, of which 2 is live
	PerShard          int      // adapters per shard; zero: defaultAdaptersPerShard
	Slots             int      // adapter slots per engine
	BatchSize         int      // batch size of an engine
	MemoryTokens      int      // published memory of an engine, in tokens; zero: not published
	EngineArgs        []string // additional flags of the engines
	PlatformArgs      []string // additional flags of the platform
	GatewaySettings   []string // additional settings of gateways, NAME=VALUE
	SchedulerSettings []string // additional settings of schedulers, NAME=VALUE
	CommonSettings    []string // additional settings of gateways and schedulers
	NoFences          bool     // engines do not check fences
	TLS               bool     // daemons use TLS, with the files in Dir
	Proxied           bool     // connections to daemons, engines and platform go through a fault-injecting proxy
}

// Walkthrough returns the fleet that the walk-through in the documentation uses.
func Walkthrough() Spec {
	return Spec{Centres: 2, Boxes: 1, Engines: 2, Services: 1, Adapters: 20, Slots: 2, BatchSize: 8}
}

// Names in every fleet's configuration.
const (
	BaseName     = "advice"
	CounterClass = "counter"   // may wait for a few seconds
	NightClass   = "overnight" // may wait for minutes
	UrgentClass  = "urgent"    // may not wait
	ServiceName  = "stock"
)

// defaultAdaptersPerShard keeps a shard near 30 KB, which limits the data transferred for a change.
const defaultAdaptersPerShard = 200

// CentreName returns the name of a data centre, counted from 1.
func CentreName(i int) string { return fmt.Sprintf("dc%d", i) }

// BoxName returns the name of a box, both counted from 1.
func BoxName(centre, box int) string { return fmt.Sprintf("dc%d-box%d", centre, box) }

// EndpointName returns the name of the endpoint of an engine, both counted from 1.
func EndpointName(centre, engine int) string { return fmt.Sprintf("dc%d-engine%d", centre, engine) }

// AdapterName returns the name of an adapter, counted from 1.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%05d", i) }

// DaemonAddresses returns the peer addresses of all daemons.
func (f *Fleet) DaemonAddresses() []string {
	var list []string
	for _, b := range f.DaemonRecords() {
		list = append(list, b.Address)
	}
	return list
}

// DaemonRecords returns the list of all daemons as published on the platform.
func (f *Fleet) DaemonRecords() []kvstore.Daemon {
	var list []kvstore.Daemon
	for c := 1; c <= f.Spec.Centres; c++ {
		for b := 1; b <= f.Spec.Boxes; b++ {
			for _, role := range []string{member.Gateway, member.Scheduler} {
				list = append(list, kvstore.Daemon{
					Name:       BoxName(c, b) + "/" + role,
					DataCentre: CentreName(c),
					Role:       role,
					Address:    f.daemonAddress(f.boxIP(c, b), peersPort+offset(role)),
				})
			}
		}
	}
	return list
}
