// SPDX-License-Identifier: Apache-2.0

// Package fleet starts whole systems of real processes on loopback addresses:
// gateways, schedulers and the stand-ins around them. The demo, the tests and
// the measurements share it; no daemon does.
package fleet

import (
	"fmt"

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

// Walkthrough returns the system that the page of the walk-through is about.
func Walkthrough() Spec {
	return Spec{Centres: 2, Boxes: 1, Engines: 2, Services: 1, Adapters: 20, Slots: 2, Batch: 8}
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

// CentreName returns the name of the i-th data centre, from 1.
func CentreName(i int) string { return fmt.Sprintf("dc%d", i) }

// BoxName returns the name of a box, both counted from 1.
func BoxName(centre, box int) string { return fmt.Sprintf("dc%d-box%d", centre, box) }

// EndpointName returns the name of an endpoint, both counted from 1.
func EndpointName(centre, engine int) string { return fmt.Sprintf("dc%d-engine%d", centre, engine) }

// AdapterName returns the name of the i-th adapter, from 1.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%05d", i) }

// Daemons returns the addresses of all daemons for their peers and for operators.
func (f *Fleet) Daemons() []string {
	var list []string
	for _, b := range f.Boxes() {
		list = append(list, b.Address)
	}
	return list
}

// Boxes returns the platform's list of the fleet's daemons.
func (f *Fleet) Boxes() []kvstore.Daemon {
	var list []kvstore.Daemon
	for c := 1; c <= f.Spec.Centres; c++ {
		for b := 1; b <= f.Spec.Boxes; b++ {
			for _, role := range []string{member.Gateway, member.Scheduler} {
				list = append(list, kvstore.Daemon{
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
