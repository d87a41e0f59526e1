// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/platform/platformtest"
	"github.com/pkg/errors"
)

const (
	modelService      = "models"
	plainService      = "app"
	modelName         = "m"
	firstEndpointPort = 7100
	modelFirstTime    = 60 * time.Millisecond
	modelEventGap     = 20 * time.Millisecond
	plainFirstTime    = 30 * time.Millisecond
	adapterLoadTime   = 288 * time.Millisecond
	modelQueue        = 4
	plainQueue        = 2
)

// endpointPlace is an address with the endpoint that runs there. Series of faults lock it while they change what runs there.
type endpointPlace struct {
	number  int
	centre  int
	address string

	changing sync.Mutex // held by one series of faults at a time

	mu          sync.Mutex
	streams     bool // the endpoint is a model server
	incarnation int
	current     *platformtest.FaultyEndpoint
}

// endpoint returns the endpoint that runs at the place, or ran there last.
func (p *endpointPlace) endpoint() *platformtest.FaultyEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// adapterName returns the name of an adapter, counted from 0.
func adapterName(i int) string { return fmt.Sprintf("a%d", i+1) }

// config returns the configuration: two services, with two routes each.
func (r *executionsRun) config() string {
	attempts := max(r.Attempts, 1)
	return fmt.Sprintf(`{"version": 7, "routes": [
		{"name": "once", "host": "h.example", "path_prefix": "/once/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 1000, "target_gap_ms": 500, "service": "models", "max_attempts": %d},
		{"name": "resume", "host": "h.example", "path_prefix": "/resume/", "kind": "streaming", "resumable": true, "timeout_ms": 5000, "target_latency_ms": 1000, "target_gap_ms": 500, "service": "models", "max_attempts": 2},
		{"name": "commit", "host": "h.example", "path_prefix": "/commit/", "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "service": "app", "max_attempts": %d},
		{"name": "read", "host": "h.example", "path_prefix": "/read/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "service": "app", "max_attempts": 2}],
		"services": [
		{"name": "models", "max_connections": 870, "engine": {"slots": %d, "weights_mb": 16000, "adapter_slots": %d, "loads_per_s": 27, "models": [
			{"name": "m", "weights_mb": 15000, "adapters": %d, "adapter_size_mb": 10}]}},
		{"name": "app", "max_connections": 490}],
		"limits": {"max_body_bytes": 8388608, "max_header_bytes": 16384, "header_timeout_ms": 5000, "idle_timeout_ms": 5000}}`,
		attempts, attempts, modelSlots, heldAdapters, r.Adapters)
}

// startEndpoints starts all endpoints. The adapters are spread over the model servers in turn, so that each is held by as few as possible.
func (r *executionsRun) startEndpoints(ctx context.Context) error {
	for i := range r.Endpoints {
		centre := 1 + i%r.centres
		host, _, err := net.SplitHostPort(r.fleet.EngineAddress(centre, 1))
		if err != nil {
			return err
		}
		p := &endpointPlace{number: i, centre: centre, address: net.JoinHostPort(host, fmt.Sprint(firstEndpointPort+i)), streams: i < r.modelServers()}
		r.places = append(r.places, p)
		var held []string
		for a := range min(heldAdapters, r.Adapters) {
			held = append(held, adapterName((i*heldAdapters+a)%r.Adapters))
		}
		if err := r.startEndpoint(ctx, p, held); err != nil {
			return err
		}
	}
	return nil
}

// startEndpoint starts a new incarnation at a place and publishes it.
func (r *executionsRun) startEndpoint(ctx context.Context, p *endpointPlace, held []string) error {
	p.mu.Lock()
	p.incarnation++
	e := &platformtest.FaultyEndpoint{
		ID: fmt.Sprintf("i-%d-%d", p.number, p.incarnation), Address: p.address, Streams: p.streams,
		Slots: plainSlots, QueueLimit: plainQueue, FirstTime: plainFirstTime,
		Faults: r.faults, Witness: r.witness, Crashed: func(e *platformtest.FaultyEndpoint) { r.restartCrashed(p, e) },
	}
	if p.streams {
		e.Model, e.Adapters, e.HeldLimit, e.LoadTime = modelName, held, heldAdapters, adapterLoadTime
		e.Slots, e.QueueLimit, e.FirstTime, e.EventGap = modelSlots, modelQueue, modelFirstTime, modelEventGap
	}
	p.current = e
	p.mu.Unlock()
	if err := e.Start(); err != nil {
		return err
	}
	return r.publish(ctx, p, "ready")
}

// publish writes the endpoint's entry in the store.
func (r *executionsRun) publish(ctx context.Context, p *endpointPlace, state string) error {
	e := p.endpoint()
	models, sequence := e.Entry()
	service := plainService
	if e.Streams {
		service = modelService
	}
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": p.address, "zone": fleet.CentreName(p.centre), "version": "v1", "slots": e.Slots, "state": state,
		"sequence": sequence, "models": models,
	})
	if err != nil {
		return err
	}
	return r.fleet.Put(ctx, platformtest.EndpointKey(e.ID), entry)
}

// remove deletes an endpoint's entry in the store.
func (r *executionsRun) remove(ctx context.Context, e *platformtest.FaultyEndpoint) error {
	return errors.Wrap(r.fleet.Delete(ctx, platformtest.EndpointKey(e.ID)), "measure: remove an endpoint")
}

func (r *executionsRun) killEndpoints() {
	r.crashes.Wait()
	for _, p := range r.places {
		p.endpoint().Kill()
	}
}
