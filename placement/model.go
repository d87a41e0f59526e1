// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

// modelLoadTimeout is the time after which the load of a base model counts as lost: base models
// take seconds to load.
const modelLoadTimeout = 30 * time.Second

// startModelLoadsLocked gives each endpoint without a base model, as after a restart, the one
// that the fewest endpoints hold. Loads of base models count towards the store's rate.
func (l *Loader) startModelLoadsLocked(now time.Time) []func(context.Context) {
	var tasks []func(context.Context)
	for _, o := range l.owned {
		if o.phase != owning || o.loadingModel || len(o.models) > 0 || o.endpoint.Draining() {
			continue
		}
		m := l.rarestModel(o.endpoint)
		if m == "" || !l.modelLoadBucket.take(now) {
			continue
		}
		o.loadingModel = true
		claim := o.claims
		l.Log.Info("Base model load begins", "model", m, "endpoint", o.endpoint.ID(), "fence", o.fence)
		tasks = append(tasks, func(ctx context.Context) { l.loadModel(ctx, o, claim, m, false) })
	}
	return tasks
}

// rarestModel returns the base model that fits the endpoint's memory and that the fewest
// endpoints hold; empty when none fits.
func (l *Loader) rarestModel(e *topology.Endpoint) string {
	g := l.engineSpec(e)
	if g == nil {
		return ""
	}
	best, fewest := "", 0
	for _, m := range g.Models {
		if g.MemoryMB > 0 && m.WeightsMB > g.MemoryMB {
			continue
		}
		n := 0
		for _, other := range l.View.Endpoints(e.Service()) {
			if other.HasModel(m.Name) && !other.Draining() {
				n++
			}
		}
		if best == "" || n < fewest {
			best, fewest = m.Name, n
		}
	}
	return best
}

// loadModel orders a base model and repeats the order until the endpoint holds it. accepted says that the endpoint has accepted the
// order before. An endpoint that is busy with the order of another owner, or holds what another owner has loaded, is claimed anew:
// what else it holds is not known.
func (l *Loader) loadModel(ctx context.Context, o *ownedEndpoint, claim int, model string, accepted bool) {
	started := clock.Now()
	for clock.Since(started) < modelLoadTimeout {
		out, err := l.sendOrder(ctx, o, claim, Order{Adapter: topology.Adapter{Model: model}})
		if err != nil {
			return
		}
		if !accepted && (out == Busy || out == Done) {
			l.requestReclaim(o, claim, "another owner has ordered a base model")
			return
		}
		if out == Done {
			l.finishModelLoad(o, claim, model, clock.Since(started))
			return
		}
		if out != Accepted && out != Busy {
			break
		}
		accepted = true
		if !sleep(ctx, maxPollInterval) {
			return
		}
	}
	l.requestReclaim(o, claim, "base model load failed")
}

func (l *Loader) finishModelLoad(o *ownedEndpoint, claim int, model string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.claims != claim {
		return
	}
	o.models[model], o.loadingModel = true, false
	l.Log.Info("Base model is loaded", "model", model, "endpoint", o.endpoint.ID(), "took_ms", took.Milliseconds())
}
