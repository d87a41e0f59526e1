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

// Policies compares the chosen policies with the baselines, with real daemons
// on stand-ins in the users' sizes. Set the fields before Run.
type Policies struct {
	Bin      string
	Dir      string
	Time     time.Duration // of one run, after the warming up
	Warm     time.Duration
	Seed     uint64
	User     string   // "" for both
	Workload string   // "" for all
	Only     []string // contenders; none for all
	Report   string   // path of the JSON report; "" for none
	Plots    string   // folder for the plots; "" for none
}

// Figures are what one run gave.
type Figures struct {
	User      string    `json:"user"`
	Workload  string    `json:"workload"`
	Policies  string    `json:"policies"`
	Sent      int       `json:"sent"`
	InTime    int       `json:"in_time"` // whole within the deadline
	Refused   int       `json:"refused"`
	Lost      int       `json:"lost"`      // unknown or without an answer
	Back      int       `json:"came_back"` // refused callers who came back when told to
	Honest    int       `json:"served_then"`
	StallMean float64   `json:"stall_mean_ms"`
	StallP95  float64   `json:"stall_p95_ms"`
	StallP99  float64   `json:"stall_p99_ms"`
	Fullness  float64   `json:"batch_fullness"` // of the steps with work, 0 to 1
	Prefixes  float64   `json:"prefix_hits"`    // share of runs whose prefix was cached
	Loads     int       `json:"loads"`
	Worst     float64   `json:"worst_class_share"`  // share in time of the class that fares worst
	Fair      float64   `json:"fairness"`           // Jain's index over callers' shares in time
	Recovery  float64   `json:"recovery_s"`         // after a shift: until the stall is within 10% again; 0: none
	Series    []float64 `json:"stall_by_window_ms"` // mean stall of each window of two seconds
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

// Run writes the tables to w, and the report when one is wanted.
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
	spec.SchedulerSettings = slices.Concat(u.scheduler, c.scheduler)
	spec.GatewaySettings = c.gateway
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
	before, err := f.Observations(ctx)
	if err != nil {
		return Figures{}, err
	}
	if l.disturb != nil {
		time.AfterFunc(p.Time/2, func() { _ = l.disturb(f)() }) // a failure shows in the figures
	}
	begun := time.Now()
	r := load.Run(ctx, u.plan(f, l, p.Time, p.Seed))
	after, err := f.Observations(ctx)
	if err != nil {
		return Figures{}, err
	}
	g := figures(r, before.Counts, after.Counts, spec.BatchSize)
	g.User, g.Workload, g.Policies = u.name, l.name, c.name
	g.Series = stallSeries(r.Outcomes, begun, p.Time)
	if l.shift {
		g.Recovery = recovery(r.Outcomes, begun, p.Time).Seconds()
	}
	return g, nil
}

// printBound says what no policy could beat on a workload: with every slot of the
// region, and knowing the future.
func (p Policies) printBound(w io.Writer, u user, l workload) {
	f := fleet.New(u.spec)
	warm := u.plan(f, workload{times: 1}, p.Warm, p.Seed+1).Sequence()
	asked := append(warm, u.plan(f, l, p.Time, p.Seed).Sequence()...)
	slots := u.spec.Centres * u.spec.Engines * u.spec.Slots
	loads := fewestLoads(asked, slots, len(warm))
	fmt.Fprintf(w, "no policy could do with fewer than %d loads, a mean stall of %.1f ms; the store allows %.0f loads in this time\n",
		loads, stallBound(loads, len(asked)-len(warm), loadTime), u.store*p.Time.Seconds())
}

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

// figures sums up a run.
func figures(r load.Report, before, after standin.Counts, batch int) Figures {
	g := Figures{Sent: r.Sent, Refused: r.NotRun, Back: r.Retried, Honest: r.RetriedComplete, Lost: r.Unknown + r.Broken + r.Incorrect, Loads: after.Loads - before.Loads}
	var stalls []time.Duration
	classes, callers := make(map[string]*share), make(map[string]*share)
	for _, e := range r.Outcomes {
		inTime := e.Complete && e.Ended.Sub(e.Started) <= deadlines[e.Class]
		count(classes, e.Class, inTime)
		count(callers, e.Caller, inTime)
		if inTime {
			g.InTime++
		}
		if e.Complete {
			stalls = append(stalls, e.LoadStall)
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

// deadlines are those of the fleet's classes.
var deadlines = map[string]time.Duration{
	fleet.CounterClass: 20 * time.Second,
	fleet.UrgentClass:  10 * time.Second,
	fleet.NightClass:   time.Hour,
}

// share counts requests and those of them that were answered in time.
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

// jain is Jain's index of fairness: 1 when all have the same share.
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

// recovery is how long after a shift at half-time the mean stall of a second is
// within a tenth, or 5 ms, of what it was before.
func recovery(ends []load.Outcome, begun time.Time, whole time.Duration) time.Duration {
	const window = 2 * time.Second
	stallIn := func(from, to time.Duration) float64 {
		var list []time.Duration
		for _, e := range ends {
			if at := e.Started.Sub(begun); e.Complete && at >= from && at < to {
				list = append(list, e.LoadStall)
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
	_ = t.Flush() // to the standard output
}
