// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"cairnwick.example/member"
	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// Capacity measures how the resource usage of a daemon scales with the number of daemons in
// its data centre, endpoints, adapters, configuration changes, requests and tokens. Each is
// varied over four points with real processes while the others stay fixed.
type Capacity struct {
	Bin  string
	Dir  string
	Time time.Duration // measuring time of one point
	Only string        // name of the only sweep to run; "" for all
}

// sample is the mean resource usage of the daemons of one role at one point.
type sample struct {
	cpu       float64 // fraction of a core
	memory    float64 // MB
	peers     float64 // bytes per second to and from peers
	endpoints float64 // bytes per second to and from endpoints
	writes    float64 // writes per second to peers and endpoints
}

// sweep varies one parameter.
type sweep struct {
	name   string
	unit   string
	points []int
	spec   func(n int) fleet.Spec
	load   func(f *fleet.Fleet, n int) *load.Plan // nil: no load
	during func(ctx context.Context, f *fleet.Fleet, n int)
}

const (
	settleTime     = 3 * time.Second
	idleSettleTime = 12 * time.Second // until the membership updates of the start have spread
	sweepSeed      = 11
)

// baseSpec returns the fleet specification that every sweep modifies.
func (c Capacity) baseSpec() fleet.Spec {
	return fleet.Spec{
		Bin: c.Bin, Dir: c.Dir,
		Centres: 1, Boxes: 2, Engines: 2, Adapters: 100, Slots: 8, BatchSize: 256,
		EngineArgs: []string{"--step", "5ms", "--queue", "4096"},
	}
}

func (c Capacity) sweeps() []sweep {
	return []sweep{
		{name: "daemons", unit: "daemons in the data centre", points: []int{4, 8, 16, 32}, spec: func(n int) fleet.Spec {
			s := c.baseSpec()
			s.Boxes, s.Engines = n/2, n/2
			return s
		}},
		{name: "endpoints", unit: "endpoints of a scheduler", points: []int{1, 4, 8, 16}, spec: func(n int) fleet.Spec {
			s := c.baseSpec()
			s.Boxes, s.Engines = 1, n
			return s
		}},
		{name: "adapters", unit: "adapters configured", points: []int{100, 3000, 7000, 11000}, spec: func(n int) fleet.Spec {
			s := c.baseSpec()
			s.Adapters = n
			return s
		}},
		{name: "changes", unit: "configuration changes per minute, with 11,000 adapters", points: []int{3, 6, 12, 24}, spec: func(int) fleet.Spec {
			s := c.baseSpec()
			s.Adapters = 11000
			return s
		}, during: publishChanges},
		{name: "requests", unit: "requests per second at a gateway and scheduler", points: []int{25, 50, 100, 200}, spec: func(int) fleet.Spec {
			s := c.baseSpec()
			s.Boxes, s.Engines = 1, 2
			return s
		}, load: func(f *fleet.Fleet, n int) *load.Plan { return c.plan(f, float64(n), 4) }},
		{name: "tokens", unit: "tokens per second streamed by a gateway", points: []int{500, 1000, 2000, 4000}, spec: func(int) fleet.Spec {
			s := c.baseSpec()
			s.Boxes, s.Engines = 1, 2
			return s
		}, load: func(f *fleet.Fleet, n int) *load.Plan {
			return c.plan(f, float64(n)/tokensPerRequest, tokensPerRequest)
		}},
	}
}

// publishChanges publishes another live version of one adapter n times per minute until ctx ends.
func publishChanges(ctx context.Context, f *fleet.Fleet, n int) {
	tick := time.NewTicker(time.Minute / time.Duration(n))
	defer tick.Stop()
	for version := 1; ; version++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			shards := f.Shards()
			shards["adapters-00001"].Adapters[0].Aliases[catalog.LiveAlias] = fmt.Sprint(1 + version%2)
			_ = f.Publish(ctx, shards) // a failed publish only shows as less traffic
		}
	}
}

const tokensPerRequest = 200

// plan returns a load on the first gateway, spread over eight adapters.
func (c Capacity) plan(f *fleet.Fleet, rate float64, tokens int) *load.Plan {
	return &load.Plan{
		Gateways: []string{f.CallersAddress(1, 1)},
		Rate:     rate,
		Duration: settleTime + c.Time + settleTime,
		Seed:     sweepSeed,
		Adapters: 8,
		Skew:     1.2,
		Kinds:    []load.RequestKind{{Class: fleet.CounterClass, Caller: "till", Weight: 1, Tokens: tokens, Stream: true}},
		Timeout:  time.Minute,
	}
}

// Run runs every sweep, or the one named by Only, and writes Markdown tables to w.
func (c Capacity) Run(ctx context.Context, w io.Writer) error {
	for _, s := range c.sweeps() {
		if c.Only != "" && c.Only != s.name {
			continue
		}
		samples := make(map[string][]sample)
		for _, n := range s.points {
			point, err := c.measurePoint(ctx, s, n)
			if err != nil {
				return errors.Wrapf(err, "measure: %s at %d", s.name, n)
			}
			for role, x := range point {
				samples[role] = append(samples[role], x)
			}
		}
		for _, role := range []string{member.Gateway, member.Scheduler} {
			printSweep(w, s, role, samples[role])
		}
	}
	return nil
}

// measurePoint starts a fleet for one point of a sweep, waits until it has settled and measures it.
func (c Capacity) measurePoint(ctx context.Context, s sweep, n int) (map[string]sample, error) {
	spec := s.spec(n)
	spec.Dir = filepath.Join(c.Dir, fmt.Sprintf("%s-%d", s.name, n))
	if err := os.MkdirAll(spec.Dir, 0o700); err != nil {
		return nil, err
	}
	f := fleet.New(spec)
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	done := make(chan load.Report, 1)
	if s.load != nil {
		go func() { done <- load.Run(ctx, *s.load(f, n)) }()
	}
	settle := settleTime
	if s.load == nil {
		settle = idleSettleTime
	}
	time.Sleep(settle)
	if s.during != nil {
		active, stop := context.WithCancel(ctx)
		defer stop()
		go s.during(active, f, n)
	}
	before, err := readUsage(ctx, f)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	time.Sleep(c.Time)
	after, err := readUsage(ctx, f)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start)
	if s.load != nil {
		if r := <-done; r.Complete != r.Sent {
			return nil, errors.Errorf("only %d of %d requests got a complete answer: %v", r.Complete, r.Sent, r.Codes)
		}
	}
	return average(before, after, elapsed), nil
}

// reading holds the cumulative usage counters of one daemon.
type reading struct {
	role      string
	usage     fleet.Usage
	peers     traffic
	endpoints traffic
}

// traffic holds the connection counters that daemons export.
type traffic struct {
	In     float64 `json:"in"`
	Out    float64 `json:"out"`
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"`
}

type exported struct {
	Peers     traffic `json:"cairn_traffic_peers"`
	Endpoints traffic `json:"cairn_traffic_endpoints"`
}

func readUsage(ctx context.Context, f *fleet.Fleet) ([]reading, error) {
	var list []reading
	for b := 1; b <= f.Spec.Boxes; b++ {
		for _, role := range []string{member.Gateway, member.Scheduler} {
			u, err := f.Usage(fleet.DaemonName(1, b, role))
			if err != nil {
				return nil, err
			}
			raw, err := fleet.Get(ctx, "http://"+f.OperatorsAddress(1, b, role)+"/debug/vars")
			if err != nil {
				return nil, err
			}
			var e exported
			if err := json.Unmarshal(raw, &e); err != nil {
				return nil, err
			}
			list = append(list, reading{role: role, usage: u, peers: e.Peers, endpoints: e.Endpoints})
		}
	}
	return list, nil
}

// average returns, per role, the mean usage per second of its daemons between two readings.
func average(before, after []reading, elapsed time.Duration) map[string]sample {
	sum := make(map[string]sample)
	count := make(map[string]float64)
	for i, a := range after {
		b := before[i]
		x := sum[a.role]
		x.cpu += (a.usage.CPU - b.usage.CPU).Seconds() / elapsed.Seconds()
		x.memory += float64(a.usage.Memory) / (1 << 20)
		x.peers += (a.peers.In + a.peers.Out - b.peers.In - b.peers.Out) / elapsed.Seconds()
		x.endpoints += (a.endpoints.In + a.endpoints.Out - b.endpoints.In - b.endpoints.Out) / elapsed.Seconds()
		x.writes += (a.peers.Writes + a.endpoints.Writes - b.peers.Writes - b.endpoints.Writes) / elapsed.Seconds()
		sum[a.role] = x
		count[a.role]++
	}
	for role, x := range sum {
		n := count[role]
		sum[role] = sample{cpu: x.cpu / n, memory: x.memory / n, peers: x.peers / n, endpoints: x.endpoints / n, writes: x.writes / n}
	}
	return sum
}

// column is one column of a table.
type column struct {
	name  string
	value func(sample) float64
}

var columns = []column{
	{"% of a core", func(s sample) float64 { return 100 * s.cpu }},
	{"MB", func(s sample) float64 { return s.memory }},
	{"peers B/s", func(s sample) float64 { return s.peers }},
	{"endpoints B/s", func(s sample) float64 { return s.endpoints }},
	{"writes/s", func(s sample) float64 { return s.writes }},
}

// printSweep writes a table with the measured points, the fitted line and the largest residual.
func printSweep(w io.Writer, s sweep, role string, list []sample) {
	fmt.Fprintf(w, "\n%s, by %s\n\n| %s |", role, s.unit, s.name)
	for _, c := range columns {
		fmt.Fprintf(w, " %s |", c.name)
	}
	fmt.Fprintf(w, "\n|---|---|---|---|---|---|\n")
	for i, n := range s.points {
		fmt.Fprintf(w, "| %d |", n)
		for _, c := range columns {
			fmt.Fprintf(w, " %.2f |", c.value(list[i]))
		}
		fmt.Fprintln(w)
	}
	for _, line := range []string{"slope", "intercept", "residual"} {
		fmt.Fprintf(w, "| %s |", line)
		for _, c := range columns {
			fmt.Fprintf(w, " %.4g |", fit(s.points, list, c.value)[line])
		}
		fmt.Fprintln(w)
	}
}

// fit returns the least-squares line and the largest absolute residual.
func fit(points []int, list []sample, value func(sample) float64) map[string]float64 {
	x, y := make([]float64, len(points)), make([]float64, len(points))
	for i, n := range points {
		x[i], y[i] = float64(n), value(list[i])
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	largest := 0.0
	for i := range x {
		largest = max(largest, math.Abs(y[i]-intercept-slope*x[i]))
	}
	return map[string]float64{"slope": slope, "intercept": intercept, "residual": largest}
}
