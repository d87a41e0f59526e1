// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"cairnwick.example/standin"
	"github.com/pkg/errors"
)

// Storm mixes failures under steady load on a fixed seed: kills, freezes, cuts,
// outages of the platform, empty restarts, failing loads, configuration changes
// and drains, some at once. Set the fields before Run.
type Storm struct {
	Bin  string
	Dir  string
	Time time.Duration
	Seed uint64
	Rate float64 // requests a second
	// Limit is how many requests a second one engine of each data centre says that it takes; zero: all
	// engines take all. What comes beyond is a breach, with no allowance for faults.
	Limit float64
	// Backoff is for how many seconds the last engine of each data centre wants nothing from a gateway, each
	// time that it turns a request away; it does so all the time. Zero: no engine does.
	Backoff float64
}

const (
	stormCentres  = 3
	stormBoxes    = 2
	stormEngines  = 2
	stormAdapters = 24
	stormCalm     = 6 * time.Second // without faults, at the end
)

// ErrBreach says that a promise was broken.
var ErrBreach = errors.New("measure: a promise was broken")

// storm is a run of a Storm.
type storm struct {
	Storm

	fleet  *fleet.Fleet
	rand   *rand.Rand
	rules  map[int]standin.Rule // of the faults that last, by their number
	shards int                  // configurations published
	done   []struckFault
}

// struckFault is a fault that was induced.
type struckFault struct {
	name  string
	begun time.Time
	ended time.Time
}

// Run writes the report to w. It returns ErrBreach when a promise was broken or
// a request got no final answer.
func (s Storm) Run(ctx context.Context, w io.Writer) error {
	f := fleet.New(fleet.Spec{
		Bin: s.Bin, Dir: s.Dir, Proxied: true,
		Centres: stormCentres, Boxes: stormBoxes, Engines: stormEngines, Services: 1,
		Adapters: stormAdapters, Slots: 4, BatchSize: 8,
		EngineArgs:        []string{"--step", "5ms", "--report-lag", "200ms", "--leaving-grace", "8s"},
		PlatformArgs:      []string{"--store-rate", "40", "--load-time", "100ms"},
		SchedulerSettings: []string{"store_rate=40", "key_margin=1s"},
	})
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	r := &storm{Storm: s, fleet: f, rand: rand.New(rand.NewPCG(s.Seed, 1)), rules: make(map[int]standin.Rule)}
	if err := r.limit(ctx); err != nil {
		return err
	}
	if err := r.backOff(ctx); err != nil {
		return err
	}
	reports := make(chan load.Report, 1)
	go func() { reports <- load.Run(ctx, r.plan()) }()
	if err := r.blow(ctx); err != nil {
		return err
	}
	report := <-reports
	seen, err := f.Observations(ctx)
	if err != nil {
		return err
	}
	over, err := r.overLimits(ctx, w)
	if err != nil {
		return err
	}
	if err := r.print(w, report, seen); err != nil {
		return err
	}
	ignored, err := r.ignoredBackoffs(ctx, w)
	if err != nil {
		return err
	}
	if over > 0 || ignored {
		return ErrBreach
	}
	return nil
}

// backOff makes the last engine of each data centre turn requests away and ask for back-offs.
func (r *storm) backOff(ctx context.Context) error {
	if r.Backoff <= 0 {
		return nil
	}
	return r.commandEngines(ctx, stormEngines, fmt.Sprintf("backoff?seconds=%v", r.Backoff))
}

// commandEngines gives one engine of each data centre a command of its stand-in.
func (r *storm) commandEngines(ctx context.Context, engine int, command string) error {
	for c := 1; c <= stormCentres; c++ {
		if err := fleet.Post(ctx, "http://"+r.fleet.EngineAddress(c, engine)+"/control/"+command); err != nil {
			return err
		}
	}
	return nil
}

// engineCounts reads what an engine counted of a command into to.
func (r *storm) engineCounts(ctx context.Context, centre, engine int, command string, to any) error {
	raw, err := fleet.Get(ctx, "http://"+r.fleet.EngineAddress(centre, engine)+"/control/"+command)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(raw, to), "measure: counts of %s", command)
}

// ignoredBackoffs writes what came to the engines that ask for back-offs, and tells whether one got more than
// it may while it wanted nothing: two requests from each gateway but the one whose request began it.
func (r *storm) ignoredBackoffs(ctx context.Context, w io.Writer) (ignored bool, err error) {
	if r.Backoff <= 0 {
		return false, nil
	}
	for c := 1; c <= stormCentres; c++ {
		var n standin.BackoffCounts
		if err := r.engineCounts(ctx, c, stormEngines, "backoff", &n); err != nil {
			return false, err
		}
		most := 2 * n.Periods * (stormCentres*stormBoxes - 1)
		fmt.Fprintf(w, "%s asks for %v s: came=%d during=%d most=%d\n", fleet.EndpointName(c, stormEngines), r.Backoff, n.Requests, n.DuringBackoff, most)
		ignored = ignored || n.DuringBackoff > most
	}
	return ignored, nil
}

// limit makes the first engine of each data centre name a limit.
func (r *storm) limit(ctx context.Context) error {
	if r.Limit <= 0 {
		return nil
	}
	return r.commandEngines(ctx, 1, fmt.Sprintf("limit?a_second=%v", r.Limit))
}

// overLimits writes what came to the engines that name limits, and returns how much of it was beyond them.
func (r *storm) overLimits(ctx context.Context, w io.Writer) (over int, err error) {
	if r.Limit <= 0 {
		return 0, nil
	}
	for c := 1; c <= stormCentres; c++ {
		var n standin.LimitCounts
		if err := r.engineCounts(ctx, c, 1, "limit", &n); err != nil {
			return 0, err
		}
		fmt.Fprintf(w, "%s names %v a second: came=%d over=%d\n", fleet.EndpointName(c, 1), r.Limit, n.Requests, n.Exceeding)
		over += n.Exceeding
	}
	return over, nil
}

func (r *storm) plan() load.Plan {
	p := load.Plan{
		Rate:            r.Rate,
		Duration:        r.Time,
		Seed:            r.Seed,
		Adapters:        stormAdapters,
		Skew:            1.3,
		ExplicitVersion: true,
		Duplicate:       true,
		Timeout:         time.Minute,
		Kinds: []load.RequestKind{
			{Class: fleet.CounterClass, Caller: "till", Weight: 6, Tokens: 12, Stream: true},
			{Class: fleet.CounterClass, Caller: "booking", Weight: 2, Tokens: 8, WithKey: true},
			{Class: fleet.NightClass, Caller: "office", Weight: 2, Tokens: 20},
			{Class: fleet.UrgentClass, Caller: "desk", Weight: 1, Tokens: 6},
		},
	}
	for c := 1; c <= stormCentres; c++ {
		for b := 1; b <= stormBoxes; b++ {
			p.Gateways = append(p.Gateways, r.fleet.CallersAddress(c, b))
		}
	}
	return p
}

// blow induces faults, sometimes two at once, until the calm at the end.
func (r *storm) blow(ctx context.Context) error {
	begun := time.Now()
	for n := 0; time.Since(begun) < r.Time-stormCalm; n++ {
		first, second := r.draw(), r.draw()
		if err := r.inject(ctx, n, first); err != nil {
			return err
		}
		if second.name != first.name && r.rand.IntN(3) == 0 {
			if err := r.inject(ctx, n+1000, second); err != nil {
				return err
			}
			time.Sleep(r.lasting())
			if err := r.calm(ctx, n+1000, second); err != nil {
				return err
			}
		} else {
			time.Sleep(r.lasting())
		}
		if err := r.calm(ctx, n, first); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

func (r *storm) lasting() time.Duration {
	return time.Duration(1000+r.rand.IntN(3000)) * time.Millisecond
}

func (r *storm) print(w io.Writer, p load.Report, seen fleet.Observations) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fault\tlasted s\tlongest gap s\tlongest gap at one gateway s\tslowest answer s")
	for _, f := range r.done {
		all, one, slow := waits(p.Outcomes, f)
		fmt.Fprintf(t, "%s\t%.1f\t%.2f\t%.2f\t%.2f\n", f.name, f.ended.Sub(f.begun).Seconds(), all.Seconds(), one.Seconds(), slow.Seconds())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nsent=%d whole=%d not_run=%d unknown=%d broken=%d wrong=%d codes=%v\n", p.Sent, p.Complete, p.NotRun, p.Unknown, p.Broken, p.Incorrect, p.Codes)
	fmt.Fprintln(w, seen.Summary(p.NotRunIDs))
	for _, c := range p.Errors {
		fmt.Fprintln(w, c)
	}
	broken := p.Broken - r.killed(p)
	if seen.Violations(p.NotRunIDs) > 0 || p.Incorrect > 0 || broken > 0 {
		return ErrBreach
	}
	fmt.Fprintln(w, "no breach; every request got its final answer or was held by a gateway that was killed")
	return nil
}

const gapAfter = 3 * time.Second // a fault's effect is looked for so long after its end

// waits returns the longest time without a whole answer during a fault, in all
// and at the gateway where it was longest, and the slowest whole answer begun
// in it.
func waits(ends []load.Outcome, f struckFault) (all, one, slow time.Duration) {
	until := f.ended.Add(gapAfter)
	last := f.begun
	at := make(map[string]time.Time)
	for _, e := range ends {
		if !e.Complete || e.Ended.Before(f.begun) || e.Ended.After(until) {
			continue
		}
		all = max(all, e.Ended.Sub(last))
		last = e.Ended
		before, known := at[e.Gateway]
		if !known {
			before = f.begun
		}
		one = max(one, e.Ended.Sub(before))
		at[e.Gateway] = e.Ended
		if e.Started.After(f.begun) {
			slow = max(slow, e.Ended.Sub(e.Started))
		}
	}
	return all, one, slow
}
