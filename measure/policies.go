// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"cairnwick.example/standin"
	"github.com/pkg/errors"
)

// Policies compares the default policies with the baselines. It runs real daemons on stand-in
// engines, sized like the users' deployments. Set the fields before Run.
type Policies struct {
	Bin      string
	Dir      string
	Time     time.Duration // duration of one run, without the warm-up
	Warm     time.Duration // duration of the warm-up
	Seed     uint64
	User     string   // "" for both
	Workload string   // "" for all
	Only     []string // names of contenders; empty for all
	Report   string   // path of the JSON report; "" for none
	Plots    string   // directory for the plots; "" for none
}

// Figures are the results of one run.
type Figures struct {
	User      string    `json:"user"`
	Workload  string    `json:"workload"`
	Policies  string    `json:"policies"`
	Sent      int       `json:"sent"`
	InTime    int       `json:"in_time"` // complete answers within the deadline
	Refused   int       `json:"refused"`
	Lost      int       `json:"lost"`        // unknown, broken or wrong outcome
	Back      int       `json:"came_back"`   // refused requests that were retried after Retry-After
	Honest    int       `json:"served_then"` // retries among them that were served
	StallMean float64   `json:"stall_mean_ms"`
	StallP95  float64   `json:"stall_p95_ms"`
	StallP99  float64   `json:"stall_p99_ms"`
	Fullness  float64   `json:"batch_fullness"` // mean over engine steps with work, 0 to 1
	Prefixes  float64   `json:"prefix_hits"`    // share of runs whose prompt prefix was cached
	Loads     int       `json:"loads"`
	Worst     float64   `json:"worst_class_share"`  // lowest share of requests answered in time of any class
	Fair      float64   `json:"fairness"`           // Jain's index over the callers' shares of requests answered in time
	Recovery  float64   `json:"recovery_s"`         // time after a shift until the stall is within 10% of its previous mean; 0 without a shift
	Series    []float64 `json:"stall_by_window_ms"` // mean stall of each two-second window
}

var workloads = []workload{
	{name: "steady", times: 1},
	{name: "shift", times: 1, shift: true},
	{name: "many wake", times: 1, wake: true},
	{name: "overload", times: 4},
	{name: "store fails 1 in 5", times: 1, failEach: 5},
	{name: "engines restart", times: 1, disturb: restartEngines},
	{name: "half the daemons replaced", times: 1, disturb: replaceHalf},
}

// Run runs the comparison and writes the tables to w, and the report and plots if configured.
func (p Policies) Run(ctx context.Context, w io.Writer) error {
	var all []Figures
	for _, u := range []user{nursery(), boundaries()} {
		if p.User != "" && p.User != u.name {
			continue
		}
		for _, l := range workloads {
			if p.Workload != "" && p.Workload != l.name {
				continue
			}
			var list []Figures
			for _, c := range contenders {
				if len(p.Only) > 0 && !slices.Contains(p.Only, c.name) {
					continue
				}
				f, err := p.one(ctx, u, l, c)
				if err != nil {
					return errors.Wrapf(err, "measure: %s, %s, %s", u.name, l.name, c.name)
				}
				list = append(list, f)
			}
			printFigures(w, list)
			p.printBound(w, u, l)
			if p.Plots != "" {
				if err := drawStalls(p.Plots, list); err != nil {
					return err
				}
			}
			all = append(all, list...)
		}
	}
	if p.Report == "" {
		return nil
	}
	raw, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.Report, raw, 0o644)
}

// one runs one contender on one workload.
func (p Policies) one(ctx context.Context, u user, l workload, c contender) (Figures, error) {
	spec := u.spec
	spec.Bin = p.Bin
	spec.Dir = filepath.Join(p.Dir, fmt.Sprintf("%s-%s-%s", u.name, l.name, c.name))
	spec.Scheduler = slices.Concat(u.scheduler, c.scheduler)
	spec.Gateway = c.gateway
	if err := os.MkdirAll(spec.Dir, 0o700); err != nil {
		return Figures{}, err
	}
	f := fleet.New(spec)
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return Figures{}, err
	}
	load.Run(ctx, u.plan(f, workload{times: 1}, p.Warm, p.Seed+1))
	if l.failEach > 0 {
		if err := fleet.Post(ctx, fmt.Sprintf("http://%s/control/store?fail-each=%d", f.PlatformAddress(), l.failEach)); err != nil {
			return Figures{}, err
		}
	}
	before, err := f.Witness(ctx)
	if err != nil {
		return Figures{}, err
	}
	if l.disturb != nil {
		time.AfterFunc(p.Time/2, func() { _ = l.disturb(f)() }) // a failed disturbance is visible in the results
	}
	begun := time.Now()
	r := load.Run(ctx, u.plan(f, l, p.Time, p.Seed))
	after, err := f.Witness(ctx)
	if err != nil {
		return Figures{}, err
	}
	g := figures(r, before.Counts, after.Counts, spec.Batch)
	g.User, g.Workload, g.Policies = u.name, l.name, c.name
	g.Series = stallSeries(r.Ends, begun, p.Time)
	if l.shift {
		g.Recovery = recovery(r.Ends, begun, p.Time).Seconds()
	}
	return g, nil
}

// printBound prints the bound that no policy can beat on a workload: that of the offline
// optimal policy, which knows all requests and uses every slot of the region.
func (p Policies) printBound(w io.Writer, u user, l workload) {
	f := fleet.New(u.spec)
	warm := u.plan(f, workload{times: 1}, p.Warm, p.Seed+1).Sequence()
	asked := append(warm, u.plan(f, l, p.Time, p.Seed).Sequence()...)
	slots := u.spec.Centres * u.spec.Engines * u.spec.Slots
	loads := fewestLoads(asked, slots, len(warm))
	fmt.Fprintf(w, "lower bound for any policy: %d loads, mean stall %.1f ms; the store allows %.0f loads in this time\n",
		loads, stallBound(loads, len(asked)-len(warm), loadTime), u.store*p.Time.Seconds())
}

// restartEngines restarts the first engine of every data centre.
func restartEngines(f *fleet.Fleet) disturbance {
	return func() error {
		for c := 1; c <= f.Spec.Centres; c++ {
			if err := fleet.Post(context.Background(), "http://"+f.EngineAddress(c, 1)+"/control/restart"); err != nil {
				return err
			}
		}
		return nil
	}
}

// figures summarises a run.
func figures(r load.Report, before, after standin.Counts, batch int) Figures {
	g := Figures{Sent: r.Sent, Refused: r.NotRun, Back: r.Back, Honest: r.Honest, Lost: r.Unknown + r.Broken + r.Wrong, Loads: after.Loads - before.Loads}
	var stalls []time.Duration
	classes, callers := make(map[string]*share), make(map[string]*share)
	for _, e := range r.Ends {
		inTime := e.Whole && e.At.Sub(e.Begun) <= deadlines[e.Class]
		count(classes, e.Class, inTime)
		count(callers, e.Caller, inTime)
		if inTime {
			g.InTime++
		}
		if e.Whole {
			stalls = append(stalls, e.Stall)
		}
	}
	slices.Sort(stalls)
	g.StallMean, g.StallP95, g.StallP99 = meanMillis(stalls), quantile(stalls, 0.95), quantile(stalls, 0.99)
	if runs := after.Runs - before.Runs; runs > 0 {
		g.Prefixes = float64(after.PrefixHits-before.PrefixHits) / float64(runs)
	}
	if steps := after.Steps - before.Steps; steps > 0 {
		g.Fullness = float64(after.StepTokens-before.StepTokens) / float64(steps*batch)
	}
	g.Worst = 1
	for _, s := range classes {
		g.Worst = min(g.Worst, s.part())
	}
	g.Fair = jain(callers)
	return g
}

// deadlines are the deadlines of the fleet's priority classes.
var deadlines = map[string]time.Duration{
	fleet.CounterClass: 20 * time.Second,
	fleet.UrgentClass:  10 * time.Second,
	fleet.NightClass:   time.Hour,
}

// share counts requests and how many of them were answered in time.
type share struct{ sent, inTime int }

func (s share) part() float64 { return float64(s.inTime) / float64(s.sent) }

func count(m map[string]*share, name string, inTime bool) {
	if m[name] == nil {
		m[name] = &share{}
	}
	m[name].sent++
	if inTime {
		m[name].inTime++
	}
}

// jain returns Jain's fairness index: 1 when all shares are equal.
func jain(m map[string]*share) float64 {
	sum, squares := 0.0, 0.0
	for _, s := range m {
		sum += s.part()
		squares += s.part() * s.part()
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(m)) * squares)
}

func meanMillis(list []time.Duration) float64 {
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	if len(list) == 0 {
		return 0
	}
	return millis(sum) / float64(len(list))
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return millis(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))])
}

// recovery returns how long after a popularity shift at half-time the mean stall of a two-second
// window first comes within 10%, or 5 ms, of the mean before the shift.
func recovery(ends []load.End, begun time.Time, whole time.Duration) time.Duration {
	const window = 2 * time.Second
	stallIn := func(from, to time.Duration) float64 {
		var list []time.Duration
		for _, e := range ends {
			if at := e.Begun.Sub(begun); e.Whole && at >= from && at < to {
				list = append(list, e.Stall)
			}
		}
		return meanMillis(list)
	}
	steady := stallIn(0, whole/2)
	for at := whole / 2; at+window <= whole; at += time.Second {
		if stallIn(at, at+window) <= max(1.1*steady, steady+5) {
			return at - whole/2
		}
	}
	return whole / 2
}

func printFigures(w io.Writer, list []Figures) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s, %s\n", list[0].User, list[0].Workload)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policies\tsent\tin time\trefused\tthen served\tlost\tstall mean ms\tp95\tp99\tfullness\tprefixes\tloads\tworst class\tfair\trecovery s\t")
	for _, g := range list {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d/%d\t%d\t%.1f\t%.0f\t%.0f\t%.3f\t%.2f\t%d\t%.2f\t%.3f\t%.0f\t\n", g.Policies, g.Sent, g.InTime, g.Refused, g.Honest, g.Back, g.Lost,
			g.StallMean, g.StallP95, g.StallP99, g.Fullness, g.Prefixes, g.Loads, g.Worst, g.Fair, g.Recovery)
	}
	_ = t.Flush() // errors of standard output are ignored, as for fmt.Fprintf above
}
