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
	WarmUp   time.Duration // duration of the warm-up
	Seed     uint64
	User     string   // "" for both
	Workload string   // "" for all
	Only     []string // names of policy sets; empty for all
	Report   string   // path of the JSON report; "" for none
	Plots    string   // directory for the plots; "" for none
}

// PolicyResult holds the results of one run.
type PolicyResult struct {
	User          string    `json:"user"`
	Workload      string    `json:"workload"`
	Policies      string    `json:"policies"`
	Sent          int       `json:"sent"`
	InTime        int       `json:"in_time"` // complete answers within the deadline
	Refused       int       `json:"refused"`
	Lost          int       `json:"lost"`        // unknown, broken or wrong outcome
	CameBack      int       `json:"came_back"`   // refused requests that were retried after Retry-After
	ServedThen    int       `json:"served_then"` // retries among them that were served
	StallMean     float64   `json:"stall_mean_ms"`
	StallP95      float64   `json:"stall_p95_ms"`
	StallP99      float64   `json:"stall_p99_ms"`
	BatchFullness float64   `json:"batch_fullness"` // mean over engine steps with work, 0 to 1
	PrefixHits    float64   `json:"prefix_hits"`    // share of runs whose prompt prefix was cached
	Loads         int       `json:"loads"`
	WorstClass    float64   `json:"worst_class_share"`  // lowest share of requests answered in time of any class
	Fairness      float64   `json:"fairness"`           // Jain's index over the callers' shares of requests answered in time
	Recovery      float64   `json:"recovery_s"`         // time after a shift until the stall is within 10% of its previous mean; 0 without a shift
	StallByWindow []float64 `json:"stall_by_window_ms"` // mean stall of each two-second window
}

var workloads = []workload{
	{name: "steady", rateFactor: 1},
	{name: "shift", rateFactor: 1, shiftPopularity: true},
	{name: "many wake", rateFactor: 1, wakeAdapters: true},
	{name: "overload", rateFactor: 4},
	{name: "store fails 1 in 5", rateFactor: 1, failEvery: 5},
	{name: "engines restart", rateFactor: 1, disturb: restartEngines},
	{name: "half the daemons replaced", rateFactor: 1, disturb: replaceHalf},
}

// Run runs the comparison and writes the tables to w, and the report and plots if configured.
func (p Policies) Run(ctx context.Context, w io.Writer) error {
	var all []PolicyResult
	for _, u := range []userProfile{nurseryProfile(), boundariesProfile()} {
		if p.User != "" && p.User != u.name {
			continue
		}
		for _, l := range workloads {
			if p.Workload != "" && p.Workload != l.name {
				continue
			}
			var results []PolicyResult
			for _, set := range policySets {
				if len(p.Only) > 0 && !slices.Contains(p.Only, set.name) {
					continue
				}
				f, err := p.runOne(ctx, u, l, set)
				if err != nil {
					return errors.Wrapf(err, "measure: %s, %s, %s", u.name, l.name, set.name)
				}
				results = append(results, f)
			}
			printResults(w, results)
			p.printBound(w, u, l)
			if p.Plots != "" {
				if err := drawStalls(p.Plots, results); err != nil {
					return err
				}
			}
			all = append(all, results...)
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

// runOne runs one policy set on one workload.
func (p Policies) runOne(ctx context.Context, u userProfile, l workload, set policySet) (PolicyResult, error) {
	spec := u.spec
	spec.Bin = p.Bin
	spec.Dir = filepath.Join(p.Dir, fmt.Sprintf("%s-%s-%s", u.name, l.name, set.name))
	spec.SchedulerSettings = slices.Concat(u.schedulerSettings, set.schedulerSettings)
	spec.GatewaySettings = set.gatewaySettings
	if err := os.MkdirAll(spec.Dir, 0o700); err != nil {
		return PolicyResult{}, err
	}
	f := fleet.New(spec)
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return PolicyResult{}, err
	}
	load.Run(ctx, u.loadPlan(f, workload{rateFactor: 1}, p.WarmUp, p.Seed+1))
	if l.failEvery > 0 {
		if err := fleet.Post(ctx, fmt.Sprintf("http://%s/control/store?fail-each=%d", f.PlatformAddress(), l.failEvery)); err != nil {
			return PolicyResult{}, err
		}
	}
	before, err := f.Observations(ctx)
	if err != nil {
		return PolicyResult{}, err
	}
	if l.disturb != nil {
		time.AfterFunc(p.Time/2, func() { _ = l.disturb(f)() }) // a failed disturbance is visible in the results
	}
	start := time.Now()
	report := load.Run(ctx, u.loadPlan(f, l, p.Time, p.Seed))
	after, err := f.Observations(ctx)
	if err != nil {
		return PolicyResult{}, err
	}
	result := summarise(report, before.Counts, after.Counts, spec.BatchSize)
	result.User, result.Workload, result.Policies = u.name, l.name, set.name
	result.StallByWindow = stallSeries(report.Outcomes, start, p.Time)
	if l.shiftPopularity {
		result.Recovery = recovery(report.Outcomes, start, p.Time).Seconds()
	}
	return result, nil
}

// printBound prints the bound that no policy can beat on a workload: that of the offline
// optimal policy, which knows all requests and uses every slot of the region.
func (p Policies) printBound(w io.Writer, u userProfile, l workload) {
	f := fleet.New(u.spec)
	warm := u.loadPlan(f, workload{rateFactor: 1}, p.WarmUp, p.Seed+1).Sequence()
	requested := append(warm, u.loadPlan(f, l, p.Time, p.Seed).Sequence()...)
	slots := u.spec.Centres * u.spec.Engines * u.spec.Slots
	loads := minLoads(requested, slots, len(warm))
	fmt.Fprintf(w, "lower bound for any policy: %d loads, mean stall %.1f ms; the store allows %.0f loads in this time\n",
		loads, stallBound(loads, len(requested)-len(warm), loadTime), u.storeRate*p.Time.Seconds())
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

// summarise computes the results of a run from the load report and the stand-ins' counters.
func summarise(report load.Report, before, after standin.Counts, batch int) PolicyResult {
	result := PolicyResult{Sent: report.Sent, Refused: report.NotRun, CameBack: report.Retried, ServedThen: report.RetriedComplete, Lost: report.Unknown + report.Broken + report.Incorrect, Loads: after.Loads - before.Loads}
	var stalls []time.Duration
	classes, callers := make(map[string]*share), make(map[string]*share)
	for _, e := range report.Outcomes {
		inTime := e.Complete && e.Ended.Sub(e.Started) <= classDeadlines[e.Class]
		countRequest(classes, e.Class, inTime)
		countRequest(callers, e.Caller, inTime)
		if inTime {
			result.InTime++
		}
		if e.Complete {
			stalls = append(stalls, e.LoadStall)
		}
	}
	slices.Sort(stalls)
	result.StallMean, result.StallP95, result.StallP99 = meanMillis(stalls), quantile(stalls, 0.95), quantile(stalls, 0.99)
	if runs := after.Runs - before.Runs; runs > 0 {
		result.PrefixHits = float64(after.PrefixHits-before.PrefixHits) / float64(runs)
	}
	if steps := after.Steps - before.Steps; steps > 0 {
		result.BatchFullness = float64(after.StepTokens-before.StepTokens) / float64(steps*batch)
	}
	result.WorstClass = 1
	for _, s := range classes {
		result.WorstClass = min(result.WorstClass, s.ratio())
	}
	result.Fairness = jainIndex(callers)
	return result
}

// classDeadlines are the deadlines of the fleet's priority classes.
var classDeadlines = map[string]time.Duration{
	fleet.CounterClass: 20 * time.Second,
	fleet.UrgentClass:  10 * time.Second,
	fleet.NightClass:   time.Hour,
}

// share counts requests and how many of them were answered in time.
type share struct{ sent, inTime int }

func (s share) ratio() float64 { return float64(s.inTime) / float64(s.sent) }

func countRequest(shares map[string]*share, name string, inTime bool) {
	if shares[name] == nil {
		shares[name] = &share{}
	}
	shares[name].sent++
	if inTime {
		shares[name].inTime++
	}
}

// jainIndex returns Jain's fairness index: 1 when all shares are equal.
func jainIndex(shares map[string]*share) float64 {
	sum, squares := 0.0, 0.0
	for _, s := range shares {
		sum += s.ratio()
		squares += s.ratio() * s.ratio()
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(shares)) * squares)
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
func recovery(ends []load.Outcome, start time.Time, duration time.Duration) time.Duration {
	const window = 2 * time.Second
	stallIn := func(from, to time.Duration) float64 {
		var list []time.Duration
		for _, e := range ends {
			if at := e.Started.Sub(start); e.Complete && at >= from && at < to {
				list = append(list, e.LoadStall)
			}
		}
		return meanMillis(list)
	}
	steady := stallIn(0, duration/2)
	for at := duration / 2; at+window <= duration; at += time.Second {
		if stallIn(at, at+window) <= max(1.1*steady, steady+5) {
			return at - duration/2
		}
	}
	return duration / 2
}

func printResults(w io.Writer, results []PolicyResult) {
	if len(results) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s, %s\n", results[0].User, results[0].Workload)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policies\tsent\tin time\trefused\tthen served\tlost\tstall mean ms\tp95\tp99\tfullness\tprefixes\tloads\tworst class\tfair\trecovery s\t")
	for _, result := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d/%d\t%d\t%.1f\t%.0f\t%.0f\t%.3f\t%.2f\t%d\t%.2f\t%.3f\t%.0f\t\n", result.Policies, result.Sent, result.InTime, result.Refused, result.ServedThen, result.CameBack, result.Lost,
			result.StallMean, result.StallP95, result.StallP99, result.BatchFullness, result.PrefixHits, result.Loads, result.WorstClass, result.Fairness, result.Recovery)
	}
	_ = t.Flush() // errors of standard output are ignored, as for fmt.Fprintf above
}
