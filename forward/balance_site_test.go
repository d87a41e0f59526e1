// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// scriptedPlacer is the owners of all data centres. It keeps the requests that it gets.
type scriptedPlacer struct {
	mu     sync.Mutex
	answer func(ctx context.Context, w AdapterRequest) (PlacementResult, error)
	asked  []AdapterRequest
}

// Place implements Placer.
func (p *scriptedPlacer) Place(ctx context.Context, w AdapterRequest) (PlacementResult, error) {
	p.mu.Lock()
	p.asked = append(p.asked, w)
	answer := p.answer
	p.mu.Unlock()
	return answer(ctx, w)
}

// requests returns the requests since the last call.
func (p *scriptedPlacer) requests() []AdapterRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.asked
	p.asked = nil
	return list
}

// runLog is an Observer that counts what runs report.
type runLog struct {
	mu       sync.Mutex
	started  int
	ahead    []int
	failed   []string // by endpoint
	finished int
}

// RequestStarted implements Observer.
func (l *runLog) RequestStarted(e *topology.Endpoint, _ Call) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started++
	return &loggedRun{log: l, endpoint: e.ID()}
}

// snapshot returns a copy.
func (l *runLog) snapshot() (ahead []int, failed []string, unfinished int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ahead), slices.Clone(l.failed), l.started - l.finished
}

// loggedRun counts each report once, as Run demands.
type loggedRun struct {
	log                             *runLog
	endpoint                        string
	hasRead, hasFailed, hasFinished bool
}

// PromptRead implements Run.
func (r *loggedRun) PromptRead(ahead int, _ time.Duration) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	if !r.hasRead {
		r.hasRead = true
		r.log.ahead = append(r.log.ahead, ahead)
	}
}

// Failed implements Run.
func (r *loggedRun) Failed() {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	if !r.hasFailed {
		r.hasFailed = true
		r.log.failed = append(r.log.failed, r.endpoint)
	}
}

// Finished implements Run.
func (r *loggedRun) Finished(time.Duration) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	if !r.hasFinished {
		r.hasFinished = true
		r.log.finished++
	}
}

// balancedSite is a site whose service is memory-bound, unless the engine says otherwise.
type balancedSite struct {
	*testSite

	placer *scriptedPlacer
	runs   *runLog
}

func newBalancedSite(t *testing.T, r topology.RouteSpec, engine topology.EngineSpec, answer func(context.Context, AdapterRequest) (PlacementResult, error)) balancedSite {
	s := balancedSite{testSite: newSite(t, r), placer: &scriptedPlacer{answer: answer}, runs: &runLog{}}
	s.gateway.Placer, s.gateway.Observer = s.placer, s.runs
	r.Host, r.Services = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: &engine})}
	s.gateway.View.SetConfig(topology.NewConfig(2, []*topology.Route{topology.NewRoute(r)}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
	return s
}

var memoryBound = topology.EngineSpec{AdapterSlots: 2, BatchSize: 96, MemoryTokens: 121_000}

// add adds an endpoint of a data centre; it holds the adapter m/a if ready.
func (s balancedSite) add(t *testing.T, centre string, ready bool, h http.HandlerFunc) string {
	s.endpoint(t, h)
	id := fmt.Sprintf("e%d", s.count)
	e := s.gateway.View.Endpoint(id)
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "app", Address: e.Address(), DataCentre: centre, Software: "v1", Slots: 4, Models: []string{"m"}}))
	if ready {
		s.gateway.View.SetAdapterStates(id, map[topology.Adapter]topology.AdapterState{{Model: "m", Name: "a"}: {Version: 1, Ready: true}})
	}
	return id
}

// call sends one request for an adapter or a base model.
func (s balancedSite) call(ctx context.Context, adapter string) (int, error) {
	status, _, err := s.answer(ctx, adapter)
	return status, err
}

// answer sends one request and returns the status and the text of the response.
func (s balancedSite) answer(ctx context.Context, adapter string) (status int, text string, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/", strings.NewReader("the body"))
	s.c.Assert(err, quicktest.IsNil)
	q.Host = "site.example"
	q.Header.Set("Id", "call-1")
	q.Header.Set("Adapter", adapter)
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func (s balancedSite) status(adapter string) int {
	status, err := s.call(context.Background(), adapter)
	s.c.Assert(err, quicktest.IsNil)
	return status
}

func readyAt(id string) func(context.Context, AdapterRequest) (PlacementResult, error) {
	return func(context.Context, AdapterRequest) (PlacementResult, error) {
		return PlacementResult{Ready: true, Endpoint: id}, nil
	}
}

func centresOf(list []AdapterRequest) []string {
	var centres []string
	for _, w := range list {
		centres = append(centres, w.Endpoint.DataCentre())
	}
	return centres
}

func streamOne(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "data: 1\n\n")
}

// eventuallyFinished waits until no run is in progress.
func (s balancedSite) eventuallyFinished() {
	for range 200 {
		if _, _, unfinished := s.runs.snapshot(); unfinished == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.c.Fatal("a run has not ended")
}
