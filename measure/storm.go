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

// Storm injects random faults under steady load, on a fixed seed: killed and frozen daemons,
// network partitions, broken connections, platform outages, engine restarts, failed loads,
// configuration changes and drains, sometimes two at once. Set the fields before Run.
type Storm struct {
	Bin  string
	Dir  string
	Time time.Duration
	Seed uint64
	Rate float64 // requests per second
	// Limit is the rate limit, in requests per second, that the first engine of each data centre announces;
	// zero: no engine announces one. Every request beyond it is a breach, even during faults.
	Limit float64
	// Backoff is the back-off, in seconds, that the last engine of each data centre asks of a gateway whenever
	// it rejects a request; it rejects all requests. Zero: no engine does so.
	Backoff float64
}

const (
	stormCentres  = 3
	stormBoxes    = 2
	stormEngines  = 2
	stormAdapters = 24
	stormCalm     = 6 * time.Second // fault-free time at the end of the run
)

// ErrBreach is returned by a run in which the system broke one of its guarantees.
var ErrBreach = errors.New("measure: a guarantee was broken")

// storm holds the state of one run of Storm.
type storm struct {
	Storm

	fleet  *fleet.Fleet
	rand   *rand.Rand
	rules  map[int]standin.Rule // proxy rules of the active faults, by fault number and direction
	shards int                  // number of live versions published
	done   []struckFault
}

// struckFault is an injected fault with its times.
type struckFault struct {
	name  string
	begun time.Time
	ended time.Time
}

// Run writes the report to w. It returns ErrBreach if a guarantee was broken or a request got
// no final answer.
func (s Storm) Run(ctx context.Context, w io.Writer) error {
	f := fleet.New(fleet.Spec{
		Bin: s.Bin, Dir: s.Dir, Proxied: true,
		Centres: stormCentres, Boxes: stormBoxes, Engines: stormEngines, Services: 1,
		Adapters: stormAdapters, Slots: 4, Batch: 8,
		EngineArgs: []string{"--step", "5ms", "--report-lag", "200ms", "--leaving-grace", "8s"},
		StoreArgs:  []string{"--store-rate", "40", "--load-time", "100ms"},
		Scheduler:  []string{"store_rate=40", "key_margin=1s"},
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
	seen, err := f.Witness(ctx)
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

// backOff makes the last engine of each data centre reject requests and ask for back-offs.
func (r *storm) backOff(ctx context.Context) error {
	if r.Backoff <= 0 {
		return nil
	}
	return r.commandEngines(ctx, stormEngines, fmt.Sprintf("backoff?seconds=%v", r.Backoff))
}

// commandEngines sends a control command to one stand-in engine of each data centre.
func (r *storm) commandEngines(ctx context.Context, engine int, command string) error {
	for c := 1; c <= stormCentres; c++ {
		if err := fleet.Post(ctx, "http://"+r.fleet.EngineAddress(c, engine)+"/control/"+command); err != nil {
			return err
		}
	}
	return nil
}

// engineCounts reads the counters that belong to a control command of an engine into to.
func (r *storm) engineCounts(ctx context.Context, centre, engine int, command string, to any) error {
	raw, err := fleet.Get(ctx, "http://"+r.fleet.EngineAddress(centre, engine)+"/control/"+command)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(raw, to), "measure: decode %s counters", command)
}

// ignoredBackoffs prints the counters of the engines that ask for back-offs, and reports whether one of them got
// too many requests during back-offs: two are allowed per back-off and gateway, except for the gateway whose
// request started it.
func (r *storm) ignoredBackoffs(ctx context.Context, w io.Writer) (ignored bool, err error) {
	if r.Backoff <= 0 {
		return false, nil
	}
	for c := 1; c <= stormCentres; c++ {
		var n standin.BackoffCounts
		if err := r.engineCounts(ctx, c, stormEngines, "backoff", &n); err != nil {
			return false, err
		}
		most := 2 * n.Asked * (stormCentres*stormBoxes - 1)
		fmt.Fprintf(w, "%s asks for %v s: came=%d during=%d most=%d\n", fleet.EndpointName(c, stormEngines), r.Backoff, n.Came, n.During, most)
		ignored = ignored || n.During > most
	}
	return ignored, nil
}

// limit makes the first engine of each data centre announce a rate limit.
func (r *storm) limit(ctx context.Context) error {
	if r.Limit <= 0 {
		return nil
	}
	return r.commandEngines(ctx, 1, fmt.Sprintf("limit?a_second=%v", r.Limit))
}

// overLimits prints the counters of the engines that announce rate limits, and returns the number of requests beyond
// the limits.
func (r *storm) overLimits(ctx context.Context, w io.Writer) (over int, err error) {
	if r.Limit <= 0 {
		return 0, nil
	}
	for c := 1; c <= stormCentres; c++ {
		var n standin.LimitCounts
		if err := r.engineCounts(ctx, c, 1, "limit", &n); err != nil {
			return 0, err
		}
		fmt.Fprintf(w, "%s has a limit of %v requests per second: came=%d over=%d\n", fleet.EndpointName(c, 1), r.Limit, n.Came, n.Over)
		over += n.Over
	}
	return over, nil
}

func (r *storm) plan() load.Plan {
	p := load.Plan{
		Rate:     r.Rate,
		Duration: r.Time,
		Seed:     r.Seed,
		Adapters: stormAdapters,
		Skew:     1.3,
		Explicit: true,
		Twice:    true,
		Patience: time.Minute,
		Kinds: []load.Mix{
			{Class: fleet.CounterClass, Caller: "till", Share: 6, Tokens: 12, Stream: true},
			{Class: fleet.CounterClass, Caller: "booking", Share: 2, Tokens: 8, Keyed: true},
			{Class: fleet.NightClass, Caller: "office", Share: 2, Tokens: 20},
			{Class: fleet.UrgentClass, Caller: "desk", Share: 1, Tokens: 6},
		},
	}
	for c := 1; c <= stormCentres; c++ {
		for b := 1; b <= stormBoxes; b++ {
			p.Gateways = append(p.Gateways, r.fleet.CallersAddress(c, b))
		}
	}
	return p
}

// blow injects faults, sometimes two at once, until the fault-free time at the end begins.
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

func (r *storm) print(w io.Writer, p load.Report, seen fleet.Witness) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fault\tlasted s\tlongest gap s\tlongest gap at one gateway s\tslowest answer s")
	for _, f := range r.done {
		all, one, slow := waits(p.Ends, f)
		fmt.Fprintf(t, "%s\t%.1f\t%.2f\t%.2f\t%.2f\n", f.name, f.ended.Sub(f.begun).Seconds(), all.Seconds(), one.Seconds(), slow.Seconds())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nsent=%d whole=%d not_run=%d unknown=%d broken=%d wrong=%d codes=%v\n", p.Sent, p.Whole, p.NotRun, p.Unknown, p.Broken, p.Wrong, p.Codes)
	fmt.Fprintln(w, seen.Line(p.NotRunIDs))
	for _, c := range p.Complaints {
		fmt.Fprintln(w, c)
	}
	broken := p.Broken - r.killed(p)
	if seen.Breaches(p.NotRunIDs) > 0 || p.Wrong > 0 || broken > 0 {
		return ErrBreach
	}
	fmt.Fprintln(w, "no breach: every request got a final answer or was held by a gateway that was killed")
	return nil
}

const gapAfter = 3 * time.Second // how long after its end a fault is assumed to have effects

// waits returns the longest time without a complete answer during a fault, over all gateways and
// at the worst single gateway, and the longest time to a complete answer of a request begun
// during it.
func waits(ends []load.End, f struckFault) (all, one, slow time.Duration) {
	until := f.ended.Add(gapAfter)
	last := f.begun
	at := make(map[string]time.Time)
	for _, e := range ends {
		if !e.Whole || e.At.Before(f.begun) || e.At.After(until) {
			continue
		}
		all = max(all, e.At.Sub(last))
		last = e.At
		before, known := at[e.Gateway]
		if !known {
			before = f.begun
		}
		one = max(one, e.At.Sub(before))
		at[e.Gateway] = e.At
		if e.Begun.After(f.begun) {
			slow = max(slow, e.At.Sub(e.Begun))
		}
	}
	return all, one, slow
}
