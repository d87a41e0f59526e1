// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"cairnwick.example/member"
	"cairnwick.example/standin"
	"github.com/pkg/errors"
)

// fault is one kind of failure at one place. Inject starts it and calm reverts it.
type fault struct {
	name    string
	inject  func(context.Context, int) error
	revert  func(context.Context, int) error
	kills   string // the process that it kills, if any
	freezes string // the process that it freezes, if any
}

// canFollow reports whether the fault can be injected while the other one is active: a killed process can't be frozen.
func (f fault) canFollow(active fault) bool {
	return f.name != active.name && (f.freezes == "" || f.freezes != active.kills)
}

// randomFault picks a random fault and a random place for it.
func (r *faultRun) randomFault() fault {
	c, b, e := 1+r.rand.IntN(faultDataCentres), 1+r.rand.IntN(faultBoxes), 1+r.rand.IntN(faultEngines)
	other := 1 + c%faultDataCentres
	switch r.rand.IntN(12) {
	case 0:
		return r.killDaemon(c, b, member.Scheduler)
	case 1:
		return r.killDaemon(c, b, member.Gateway)
	case 2:
		return r.freezeDaemon(c, b, member.Scheduler)
	case 3:
		return r.freezeDaemon(c, b, member.Gateway)
	case 4:
		return r.linkFault("partition "+fleet.CentreName(c)+" and "+fleet.CentreName(other), standin.Rule{Mode: standin.ModeHold}, fleet.CentreName(c), fleet.CentreName(other))
	case 5:
		return r.linkFault("partition the platform from "+fleet.CentreName(c), standin.Rule{Mode: standin.ModeHold}, fleet.CentreName(c), "platform")
	case 6:
		return r.linkFault(fmt.Sprintf("partition box%d.%d from the boxes of its data centre", c, b), standin.Rule{Mode: standin.ModeHold}, fmt.Sprintf("box%d.%d", c, b), fmt.Sprintf("boxes%d", c))
	case 7:
		return r.linkFault(fmt.Sprintf("break connections to engine%d.%d", c, e), standin.Rule{Mode: standin.ModePass, CutResponse: 400}, "all", fmt.Sprintf("engine%d.%d", c, e))
	case 8:
		return r.platformMode("platform "+[]string{standin.ModeDown, standin.ModeStale}[r.rand.IntN(2)], "/control/mode?mode=")
	case 9:
		return r.restartEngine(c, e)
	case 10:
		return r.publishVersion()
	}
	return r.drainEndpoint(c, e)
}

// inject starts a fault and records the time.
func (r *faultRun) inject(ctx context.Context, n int, f fault) error {
	r.faults = append(r.faults, injectedFault{name: f.name, start: time.Now()})
	return errors.Wrapf(f.inject(ctx, n), "measure: fault %q", f.name)
}

// revert reverts a fault and records the time.
func (r *faultRun) revert(ctx context.Context, n int, f fault) error {
	err := f.revert(ctx, n)
	for i := len(r.faults) - 1; i >= 0; i-- {
		if r.faults[i].name == f.name && r.faults[i].end.IsZero() {
			r.faults[i].end = time.Now()
			break
		}
	}
	return err
}

func nothingToRevert(context.Context, int) error { return nil }

func (r *faultRun) killDaemon(c, b int, role string) fault {
	name := fleet.DaemonName(c, b, role)
	return fault{
		name:  "kill " + name,
		kills: name,
		inject: func(context.Context, int) error {
			_ = r.fleet.Terminate(name, syscall.SIGKILL) // a killed process ends with an error
			return nil
		},
		revert: func(context.Context, int) error { return r.fleet.StartDaemon(c, b, role) },
	}
}

func (r *faultRun) freezeDaemon(c, b int, role string) fault {
	name := fleet.DaemonName(c, b, role)
	return fault{
		name:    "freeze " + name,
		freezes: name,
		inject:  func(context.Context, int) error { return r.fleet.Signal(name, syscall.SIGSTOP) },
		revert:  func(context.Context, int) error { return r.fleet.Signal(name, syscall.SIGCONT) },
	}
}

// linkFault applies a proxy rule to the connections between two parts, in both directions.
func (r *faultRun) linkFault(name string, template standin.Rule, a, b string) fault {
	set := func(ctx context.Context, n int, active bool) error {
		for i, pair := range [][2]string{{a, b}, {b, a}} {
			rule, err := r.fleet.NewRule(pair[0], pair[1], template.Mode)
			if err != nil {
				return err
			}
			rule.CutResponse = template.CutResponse
			delete(r.rules, 2*n+i)
			if active {
				r.rules[2*n+i] = rule
			}
		}
		var list []standin.Rule
		for _, rule := range r.rules {
			list = append(list, rule)
		}
		return r.fleet.SetRules(ctx, list)
	}
	return fault{
		name:   name,
		inject: func(ctx context.Context, n int) error { return set(ctx, n, true) },
		revert: func(ctx context.Context, n int) error { return set(ctx, n, false) },
	}
}

func (r *faultRun) platformMode(name, path string) fault {
	url := "http://" + r.fleet.PlatformAddress() + path
	return fault{
		name: name,
		inject: func(ctx context.Context, _ int) error {
			return fleet.Post(ctx, url+strings.TrimPrefix(name, "platform "))
		},
		revert: func(ctx context.Context, _ int) error { return fleet.Post(ctx, url+standin.ModeUp) },
	}
}

// restartEngine restarts an engine without its adapters and makes its next two loads fail.
func (r *faultRun) restartEngine(c, e int) fault {
	url := "http://" + r.fleet.EngineAddress(c, e)
	return fault{
		name: "restart without adapters and fail two loads of " + fleet.EndpointName(c, e),
		inject: func(ctx context.Context, _ int) error {
			if err := fleet.Post(ctx, url+"/control/fail-loads?count=2"); err != nil {
				return err
			}
			return fleet.Post(ctx, url+"/control/restart")
		},
		revert: nothingToRevert,
	}
}

// publishVersion publishes another live version of one adapter. It has nothing to revert.
func (r *faultRun) publishVersion() fault {
	return fault{
		name: "publish a live version",
		inject: func(ctx context.Context, _ int) error {
			r.versions++
			return r.publish(ctx, func(s map[string]catalog.Shard) {
				s["adapters-00001"].Adapters[0].Aliases[catalog.LiveAlias] = fmt.Sprint(1 + r.versions%2)
			})
		},
		revert: nothingToRevert,
	}
}

// drainEndpoint publishes an endpoint as draining, and publishes it as in use to revert.
func (r *faultRun) drainEndpoint(c, e int) fault {
	name := fleet.EndpointName(c, e)
	return fault{
		name: "drain " + name,
		inject: func(ctx context.Context, _ int) error {
			return r.publish(ctx, func(s map[string]catalog.Shard) {
				for i, x := range s["endpoints"].Endpoints {
					if x.Name == name {
						s["endpoints"].Endpoints[i].State = catalog.Draining
					}
				}
			})
		},
		revert: func(ctx context.Context, _ int) error { return r.publish(ctx, func(map[string]catalog.Shard) {}) },
	}
}

func (r *faultRun) publish(ctx context.Context, change func(map[string]catalog.Shard)) error {
	shards := r.fleet.Shards()
	change(shards)
	return r.fleet.Publish(ctx, shards)
}

// lostToKills counts the requests without a final answer that are explained by a killed gateway:
// they were held by it when it was killed, or sent to it before it had started again.
func (r *faultRun) lostToKills(report load.Report) int {
	n := 0
	for _, e := range slices.Concat(report.Outcomes, report.Retries) {
		if !e.Broken {
			continue
		}
		for _, f := range r.faults {
			if r.killedDuring(f, e) {
				n++
				break
			}
		}
	}
	return n
}

// killedDuring reports whether a fault is the kill of the gateway that the request was sent to, and
// overlaps with the request.
func (r *faultRun) killedDuring(f injectedFault, e load.Outcome) bool {
	for c := 1; c <= faultDataCentres; c++ {
		for b := 1; b <= faultBoxes; b++ {
			down := f.name == "kill "+fleet.DaemonName(c, b, member.Gateway) && e.Gateway == r.fleet.CallersAddress(c, b)
			if down && e.Ended.After(f.start) && e.Sent.Before(f.end.Add(gatewayStartTime)) {
				return true
			}
		}
	}
	return false
}

const gatewayStartTime = 2 * time.Second // until a started gateway accepts requests
