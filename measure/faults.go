// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"fmt"
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
	name   string
	inject func(context.Context, int) error
	calm   func(context.Context, int) error
}

// draw picks a random fault and a random place for it.
func (r *storm) draw() fault {
	c, b, e := 1+r.rand.IntN(stormCentres), 1+r.rand.IntN(stormBoxes), 1+r.rand.IntN(stormEngines)
	other := 1 + c%stormCentres
	switch r.rand.IntN(12) {
	case 0:
		return r.kill(c, b, member.Scheduler)
	case 1:
		return r.kill(c, b, member.Gateway)
	case 2:
		return r.freeze(c, b, member.Scheduler)
	case 3:
		return r.freeze(c, b, member.Gateway)
	case 4:
		return r.link("cut off "+fleet.CentreName(c)+" and "+fleet.CentreName(other), standin.Rule{Mode: standin.ModeHold}, fleet.CentreName(c), fleet.CentreName(other))
	case 5:
		return r.link("cut off the platform from "+fleet.CentreName(c), standin.Rule{Mode: standin.ModeHold}, fleet.CentreName(c), "platform")
	case 6:
		return r.link(fmt.Sprintf("cut off box%d.%d from its boxes", c, b), standin.Rule{Mode: standin.ModeHold}, fmt.Sprintf("box%d.%d", c, b), fmt.Sprintf("boxes%d", c))
	case 7:
		return r.link(fmt.Sprintf("break connections to engine%d.%d", c, e), standin.Rule{Mode: standin.ModePass, CutReply: 400}, "all", fmt.Sprintf("engine%d.%d", c, e))
	case 8:
		return r.control("platform "+[]string{standin.ModeDown, standin.ModeStale}[r.rand.IntN(2)], "/control/mode?mode=")
	case 9:
		return r.emptied(c, e)
	case 10:
		return r.change()
	}
	return r.drain(c, e)
}

// inject starts a fault and records the time.
func (r *storm) inject(ctx context.Context, n int, f fault) error {
	r.done = append(r.done, struckFault{name: f.name, begun: time.Now()})
	return errors.Wrapf(f.inject(ctx, n), "measure: fault %q", f.name)
}

// calm reverts a fault and records the time.
func (r *storm) calm(ctx context.Context, n int, f fault) error {
	err := f.calm(ctx, n)
	for i := len(r.done) - 1; i >= 0; i-- {
		if r.done[i].name == f.name && r.done[i].ended.IsZero() {
			r.done[i].ended = time.Now()
			break
		}
	}
	return err
}

func nothing(context.Context, int) error { return nil }

func (r *storm) kill(c, b int, role string) fault {
	name := fleet.DaemonName(c, b, role)
	return fault{
		name: "kill " + name,
		inject: func(context.Context, int) error {
			_ = r.fleet.End(name, syscall.SIGKILL) // a killed process ends with an error
			return nil
		},
		calm: func(context.Context, int) error { return r.fleet.StartDaemon(c, b, role) },
	}
}

func (r *storm) freeze(c, b int, role string) fault {
	name := fleet.DaemonName(c, b, role)
	return fault{
		name:   "freeze " + name,
		inject: func(context.Context, int) error { return r.fleet.Signal(name, syscall.SIGSTOP) },
		calm:   func(context.Context, int) error { return r.fleet.Signal(name, syscall.SIGCONT) },
	}
}

// link applies a proxy rule to the connections between two parts, in both directions.
func (r *storm) link(name string, like standin.Rule, a, b string) fault {
	set := func(ctx context.Context, n int, on bool) error {
		for i, pair := range [][2]string{{a, b}, {b, a}} {
			rule, err := r.fleet.NewRule(pair[0], pair[1], like.Mode)
			if err != nil {
				return err
			}
			rule.CutReply = like.CutReply
			delete(r.rules, 2*n+i)
			if on {
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
		calm:   func(ctx context.Context, n int) error { return set(ctx, n, false) },
	}
}

func (r *storm) control(name, path string) fault {
	url := "http://" + r.fleet.PlatformAddress() + path
	return fault{
		name: name,
		inject: func(ctx context.Context, _ int) error {
			return fleet.Post(ctx, url+strings.TrimPrefix(name, "platform "))
		},
		calm: func(ctx context.Context, _ int) error { return fleet.Post(ctx, url+standin.ModeUp) },
	}
}

// emptied restarts an engine without its adapters and makes its next two loads fail.
func (r *storm) emptied(c, e int) fault {
	url := "http://" + r.fleet.EngineAddress(c, e)
	return fault{
		name: "restart without adapters and fail two loads of " + fleet.EndpointName(c, e),
		inject: func(ctx context.Context, _ int) error {
			if err := fleet.Post(ctx, url+"/control/fail-loads?count=2"); err != nil {
				return err
			}
			return fleet.Post(ctx, url+"/control/restart")
		},
		calm: nothing,
	}
}

// change publishes another live version of one adapter. It has nothing to revert.
func (r *storm) change() fault {
	return fault{
		name: "publish a live version",
		inject: func(ctx context.Context, _ int) error {
			r.shards++
			return r.publish(ctx, func(s map[string]catalog.Shard) {
				s["adapters-00001"].Adapters[0].Aliases[catalog.LiveAlias] = fmt.Sprint(1 + r.shards%2)
			})
		},
		calm: nothing,
	}
}

// drain publishes an endpoint as draining, and publishes it as in use to revert.
func (r *storm) drain(c, e int) fault {
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
		calm: func(ctx context.Context, _ int) error { return r.publish(ctx, func(map[string]catalog.Shard) {}) },
	}
}

func (r *storm) publish(ctx context.Context, change func(map[string]catalog.Shard)) error {
	shards := r.fleet.Shards()
	change(shards)
	return r.fleet.Publish(ctx, shards)
}

// killed counts the requests without a final answer that are explained by a killed gateway:
// they were held by it when it was killed, or sent to it before it had started again.
func (r *storm) killed(p load.Report) int {
	n := 0
	for _, e := range p.Ends {
		if !e.Broken {
			continue
		}
		for _, f := range r.done {
			if r.downAt(f, e) {
				n++
				break
			}
		}
	}
	return n
}

// downAt reports whether a fault is the kill of the gateway that the request was sent to, and
// overlaps with the request.
func (r *storm) downAt(f struckFault, e load.End) bool {
	for c := 1; c <= stormCentres; c++ {
		for b := 1; b <= stormBoxes; b++ {
			down := f.name == "kill "+fleet.DaemonName(c, b, member.Gateway) && e.Gateway == r.fleet.CallersAddress(c, b)
			if down && e.At.After(f.begun) && e.Begun.Before(f.ended.Add(startTime)) {
				return true
			}
		}
	}
	return false
}

const startTime = 2 * time.Second // until a started gateway accepts requests
