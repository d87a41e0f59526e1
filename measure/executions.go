// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/platform/platformtest"
	"github.com/pkg/errors"
)

// Executions sends requests to boxes on the users' platform while endpoints and boxes fail in overlapping series, on a fixed seed. It
// compares what callers got with what endpoints executed: no request that may be executed at most once is executed after or before a
// response that promises that it is not, none is executed twice, and no caller gets the response to
// another request, or a broken response as a whole one. Set the fields before Run.
type Executions struct {
	Bin       string
	Dir       string
	Time      time.Duration // of the load of one run
	Seed      uint64        // of the first run
	Seeds     int
	Boxes     int      // of all data centres together
	Endpoints int      // of both services together
	Adapters  int      // zero: as many as the model servers hold, so that most are held by one server alone
	Rate      float64  // requests per second
	Attempts  int      // max_attempts of the routes whose requests may be executed at most once
	Faults    []string // kinds, as in ExecutionFaults; empty: all
	Copies    float64  // share of responses that are sent again
	CopyForms []string // as in platformtest.CopyForms; empty: all
	Unproven  float64  // share of executed requests that get 408, 429 or 503 without a proof that they were not executed
}

const (
	maxExecutionCentres = 4
	maxPlainEndpoints   = 4
	modelSlots          = 12
	plainSlots          = 6
	heldAdapters        = 5 // of each model server
	executionSettle     = 2 * time.Second
	startsAtOnce        = 8 // boxes that are started at the same time
)

// executionSettings are a box's settings with the bounds of a large site.
var executionSettings = strings.Replace(fleet.EdgeSettings, "grace_period_s = 5.0", `grace_period_s = 5.0
drain_ms = 3000
config_apply_ms = 3000
lease_ms = 3000
retry_budget_ratio = 0.2
retry_window_s = 10.0
retry_min_extra = 182.0
origin_window_s = 5.0
origin_overshoot = 1.1`, 1)

// Run writes a line for each run to w, and the first requests that broke a guarantee. It returns ErrBreach if there are any.
func (s Executions) Run(ctx context.Context, w io.Writer) error {
	if err := s.validate(); err != nil {
		return err
	}
	breached := false
	for n := range max(s.Seeds, 1) {
		one := s
		one.Seed += uint64(n)
		one.Dir = filepath.Join(s.Dir, fmt.Sprintf("seed-%d", one.Seed))
		if err := os.Mkdir(one.Dir, 0o700); err != nil {
			return err
		}
		report, err := newExecutionsRun(one).run(ctx)
		if err != nil {
			return err
		}
		report.write(w)
		breached = breached || report.breached()
	}
	if breached {
		return ErrBreach
	}
	fmt.Fprintln(w, "no breach: no refused request was executed, none that may be executed once was executed twice, and no caller got another one's response, or a broken one as whole")
	return nil
}

func (s Executions) validate() error {
	if s.Boxes < 1 || s.Endpoints < 2 {
		return errors.New("measure: executions: at least one box and two endpoints are needed")
	}
	if s.Rate <= 0 || s.Adapters < 0 {
		return errors.New("measure: executions: rate: must be positive; adapters: must not be negative")
	}
	if min(s.Copies, s.Unproven) < 0 || max(s.Copies, s.Unproven) > 1 {
		return errors.New("measure: executions: copies, unproven: must be from 0 to 1")
	}
	for _, f := range s.Faults {
		if !slices.Contains(ExecutionFaults(), f) {
			return errors.Errorf("measure: executions: unknown fault %q: must be one of %v", f, ExecutionFaults())
		}
	}
	for _, f := range s.CopyForms {
		if !slices.Contains(platformtest.CopyForms(), f) {
			return errors.Errorf("measure: executions: unknown form %q of copies: must be one of %v", f, platformtest.CopyForms())
		}
	}
	return nil
}

// executionsRun is one run of Executions.
type executionsRun struct {
	Executions

	fleet   *fleet.Fleet
	centres int
	each    int // boxes of a data centre
	faults  *platformtest.Faults
	witness *platformtest.Witness
	places  []*endpointPlace
	callers *executionCallers
	crashes sync.WaitGroup // restarts after crashes
}

func newExecutionsRun(s Executions) *executionsRun {
	r := &executionsRun{Executions: s, centres: min(maxExecutionCentres, s.Boxes), faults: platformtest.NewFaults(s.Seed), witness: &platformtest.Witness{}}
	r.each = (s.Boxes + r.centres - 1) / r.centres
	if len(s.CopyForms) > 0 {
		r.faults.CopyForms = s.CopyForms
	}
	if r.induces(faultCrashingPart) {
		r.faults.CrashPart = crashingPart
	}
	r.Adapters = s.adapterCount()
	r.fleet = fleet.New(fleet.Spec{Bin: s.Bin, Dir: s.Dir, Centres: r.centres})
	return r
}

// induces reports whether a kind of fault is chosen.
func (s Executions) induces(fault string) bool {
	return len(s.Faults) == 0 || slices.Contains(s.Faults, fault)
}

// modelServers returns how many of the endpoints serve models; the others are plain.
func (s Executions) modelServers() int {
	return s.Endpoints - max(min(s.Endpoints/4, maxPlainEndpoints), 1)
}

// adapterCount returns the number of adapters.
func (s Executions) adapterCount() int {
	if s.Adapters > 0 {
		return s.Adapters
	}
	return s.modelServers() * heldAdapters
}

func (r *executionsRun) run(ctx context.Context) (executionsReport, error) {
	defer r.fleet.Stop()
	defer r.killEndpoints()
	if err := r.start(ctx); err != nil {
		return executionsReport{}, err
	}
	failing, stop := context.WithCancel(ctx)
	defer stop()
	ended := r.startFaults(failing)
	r.callers = newExecutionCallers(r.Executions, r.balancer())
	r.callers.run(ctx, r.faults.CrashPart)
	stop()
	for err := range ended {
		if err != nil && ctx.Err() == nil {
			return executionsReport{}, err
		}
	}
	r.endFaults()
	select { // requests that were delayed may still be executed
	case <-ctx.Done():
		return executionsReport{}, ctx.Err()
	case <-time.After(executionSettle):
	}
	return r.report(), nil
}

// start starts the store, the endpoints and the boxes, and waits until the model servers have owners.
func (r *executionsRun) start(ctx context.Context) error {
	if err := r.fleet.Start(ctx); err != nil {
		return err
	}
	if err := r.fleet.Put(ctx, platformtest.ConfigKey, []byte(r.config())); err != nil {
		return err
	}
	if err := r.startEndpoints(ctx); err != nil {
		return err
	}
	if err := r.startBoxes(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(ownedDelay):
		return nil
	}
}

// boxes returns the data centre and number of each box.
func (r *executionsRun) boxes() [][2]int {
	var list [][2]int
	for i := range r.Boxes {
		list = append(list, [2]int{1 + i/r.each, 1 + i%r.each})
	}
	return list
}

func (r *executionsRun) balancer() *balancer {
	var list []*balancedBox
	for _, b := range r.boxes() {
		list = append(list, &balancedBox{callers: r.fleet.CallersAddress(b[0], b[1]), ready: r.fleet.ReadyAddress(b[0], b[1])})
	}
	return newBalancer(list)
}

// startBoxes starts the boxes, a few at a time.
func (r *executionsRun) startBoxes(ctx context.Context) error {
	places := make(chan struct{}, startsAtOnce)
	ended := make(chan error, r.Boxes)
	for _, b := range r.boxes() {
		places <- struct{}{}
		go func() {
			ended <- r.fleet.StartEdge(ctx, b[0], b[1], executionSettings, nil)
			<-places
		}()
	}
	var err error
	for range r.Boxes {
		if failed := <-ended; failed != nil {
			err = failed
		}
	}
	return err
}

// startFaults runs the series of faults until ctx ends. The channel has the error of each, and is closed when all have ended.
func (r *executionsRun) startFaults(ctx context.Context) <-chan error {
	series := r.faultSeries()
	ended := make(chan error, len(series))
	var running sync.WaitGroup
	for i, s := range series {
		running.Go(func() { ended <- s(ctx, rand.New(rand.NewPCG(r.Seed, uint64(10+i)))) })
	}
	go func() {
		running.Wait()
		close(ended)
	}()
	return ended
}
