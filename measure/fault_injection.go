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

// FaultInjection injects random faults under steady load, on a fixed seed: killed and frozen daemons,
// network partitions, broken connections, platform outages, engine restarts, failed loads,
// configuration changes and drains, sometimes two at once. Set the fields before Run.
type FaultInjection struct {
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
	// Uneven gives engines unlike speeds and sends requests of three kinds near the fleet's capacity; the report
	// counts each kind.
	Uneven bool
	// Repeats is the share of their responses that the first engine of each data centre and the services send once more, in the
	// place of the next response on the connection.
	Repeats float64
	// HidesRequestIDs has no engine return the IDs of requests, by which such responses are told apart.
	HidesRequestIDs bool
	// LateRefusals is the share of their requests that the last engine of each data centre and the services refuse after they began,
	// with responses that do not prove that a request did not run. Rejected requests are sent once more, and so are service
	// calls with a key that got a promise that they did not run.
	LateRefusals float64
}

const (
	faultDataCentres = 3
	faultBoxes       = 2
	faultEngines     = 2
	faultAdapters    = 24
	faultBatchSize   = 8
	quietTail        = 6 * time.Second // fault-free time at the end of the run
)

// ErrBreach is returned by a run in which the system broke one of its guarantees.
var ErrBreach = errors.New("measure: a guarantee was broken")

// faultRun holds the state of one run of FaultInjection.
type faultRun struct {
	FaultInjection

	fleet    *fleet.Fleet
	rand     *rand.Rand
	rules    map[int]standin.Rule // proxy rules of the active faults, by fault number and direction
	versions int                  // number of live versions published
	faults   []injectedFault
}

// injectedFault is an injected fault with its times.
type injectedFault struct {
	name  string
	start time.Time
	end   time.Time
}

// Run writes the report to w. It returns ErrBreach if a guarantee was broken or a request got
// no final answer.
func (s FaultInjection) Run(ctx context.Context, w io.Writer) error {
	engineArgs := []string{"--step", "5ms", "--report-lag", "200ms", "--leaving-grace", "8s"}
	if s.HidesRequestIDs {
		engineArgs = append(engineArgs, "--hides-request-ids")
	}
	f := fleet.New(fleet.Spec{
		Bin: s.Bin, Dir: s.Dir, Proxied: true,
		Centres: faultDataCentres, Boxes: faultBoxes, Engines: faultEngines, Services: 1,
		Adapters: faultAdapters, Slots: 4, BatchSize: faultBatchSize,
		EngineArgs:        engineArgs,
		PlatformArgs:      []string{"--store-rate", "40", "--load-time", "100ms"},
		SchedulerSettings: []string{"store_rate=40", "key_margin=1s"},
	})
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	r := &faultRun{FaultInjection: s, fleet: f, rand: rand.New(rand.NewPCG(s.Seed, 1)), rules: make(map[int]standin.Rule)}
	for _, set := range []func(context.Context) error{r.setLimits, r.setBackoffs, r.setRepeats, r.setLateRefusals} {
		if err := set(ctx); err != nil {
			return err
		}
	}
	reports := make(chan load.Report, 1)
	go func() { reports <- load.Run(ctx, r.loadPlan()) }()
	calls := make(chan serviceCalls, 1)
	go func() { calls <- r.callServices(ctx) }()
	slowed := make(chan error, 1)
	go func() { slowed <- r.slowEngines(ctx) }()
	if err := r.injectFaults(ctx); err != nil {
		return err
	}
	report, called := <-reports, <-calls
	if err := <-slowed; err != nil {
		return err
	}
	witness, err := f.Observations(ctx)
	if err != nil {
		return err
	}
	over, err := r.countOverLimits(ctx, w)
	if err != nil {
		return err
	}
	atOnce, err := r.checkUneven(ctx, w, report)
	if err != nil {
		return err
	}
	ignored, err := r.checkBackoffs(ctx, w)
	if err != nil {
		return err
	}
	if err := r.printRepeats(ctx, w); err != nil {
		return err
	}
	lied, err := r.checkServiceCalls(ctx, w, called)
	if err != nil {
		return err
	}
	return r.printReport(w, report, witness, over > 0 || atOnce > 0 || ignored || lied)
}

// setBackoffs makes the last engine of each data centre reject requests and ask for back-offs.
func (r *faultRun) setBackoffs(ctx context.Context) error {
	if r.Backoff <= 0 {
		return nil
	}
	return r.controlEngines(ctx, faultEngines, fmt.Sprintf("backoff?seconds=%v", r.Backoff))
}

// controlEngines sends a control command to one stand-in engine of each data centre.
func (r *faultRun) controlEngines(ctx context.Context, engine int, command string) error {
	for c := 1; c <= faultDataCentres; c++ {
		if err := fleet.Post(ctx, "http://"+r.fleet.EngineAddress(c, engine)+"/control/"+command); err != nil {
			return err
		}
	}
	return nil
}

// engineCounts reads the counters that belong to a control command of an engine into to.
func (r *faultRun) engineCounts(ctx context.Context, centre, engine int, command string, to any) error {
	raw, err := fleet.Get(ctx, "http://"+r.fleet.EngineAddress(centre, engine)+"/control/"+command)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(raw, to), "measure: decode %s counters", command)
}

// checkBackoffs prints the counters of the engines that ask for back-offs, and reports whether one of them got
// too many requests during back-offs: two are allowed per back-off and gateway, except for the gateway whose
// request started it.
func (r *faultRun) checkBackoffs(ctx context.Context, w io.Writer) (ignored bool, err error) {
	if r.Backoff <= 0 {
		return false, nil
	}
	for c := 1; c <= faultDataCentres; c++ {
		var n standin.BackoffCounts
		if err := r.engineCounts(ctx, c, faultEngines, "backoff", &n); err != nil {
			return false, err
		}
		allowed := 2 * n.Periods * (faultDataCentres*faultBoxes - 1)
		fmt.Fprintf(w, "%s asks for %v s: came=%d during=%d most=%d\n", fleet.EndpointName(c, faultEngines), r.Backoff, n.Requests, n.DuringBackoff, allowed)
		ignored = ignored || n.DuringBackoff > allowed
	}
	return ignored, nil
}

// setRepeats has the first engine of each data centre and the services send a share of their responses twice.
func (r *faultRun) setRepeats(ctx context.Context) error {
	if r.Repeats <= 0 {
		return nil
	}
	command := fmt.Sprintf("repeat?share=%v", r.Repeats)
	if err := r.controlEngines(ctx, 1, command); err != nil {
		return err
	}
	return fleet.Post(ctx, "http://"+r.fleet.ServiceAddress(1)+"/control/"+command)
}

// printRepeats prints how many responses were sent twice.
func (r *faultRun) printRepeats(ctx context.Context, w io.Writer) error {
	if r.Repeats <= 0 {
		return nil
	}
	total := 0
	for c := 1; c <= faultDataCentres; c++ {
		var n struct{ Repeated int }
		if err := r.engineCounts(ctx, c, 1, "repeat", &n); err != nil {
			return err
		}
		total += n.Repeated
	}
	fmt.Fprintf(w, "engines sent %d responses twice\n", total)
	return nil
}

// setLimits makes the first engine of each data centre announce a rate limit.
func (r *faultRun) setLimits(ctx context.Context) error {
	if r.Limit <= 0 {
		return nil
	}
	return r.controlEngines(ctx, 1, fmt.Sprintf("limit?a_second=%v", r.Limit))
}

// countOverLimits prints the counters of the engines that announce rate limits, and returns the number of requests
// beyond the limits.
func (r *faultRun) countOverLimits(ctx context.Context, w io.Writer) (over int, err error) {
	if r.Limit <= 0 {
		return 0, nil
	}
	for c := 1; c <= faultDataCentres; c++ {
		var n standin.LimitCounts
		if err := r.engineCounts(ctx, c, 1, "limit", &n); err != nil {
			return 0, err
		}
		fmt.Fprintf(w, "%s has a limit of %v requests per second: came=%d over=%d\n", fleet.EndpointName(c, 1), r.Limit, n.Requests, n.Exceeding)
		over += n.Exceeding
	}
	return over, nil
}

func (r *faultRun) loadPlan() load.Plan {
	p := load.Plan{
		Rate:            r.Rate,
		Duration:        r.Time,
		Seed:            r.Seed,
		Adapters:        faultAdapters,
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
	if r.Uneven {
		p.Kinds, p.Duplicate, p.RetryRejected = unevenKinds(), false, true
	}
	p.RetryRejected = p.RetryRejected || r.LateRefusals > 0
	for c := 1; c <= faultDataCentres; c++ {
		for b := 1; b <= faultBoxes; b++ {
			p.Gateways = append(p.Gateways, r.fleet.CallersAddress(c, b))
		}
	}
	return p
}

// injectFaults injects faults, sometimes two at once, until the fault-free time at the end begins.
func (r *faultRun) injectFaults(ctx context.Context) error {
	start := time.Now()
	for n := 0; time.Since(start) < r.Time-quietTail; n++ {
		first, second := r.randomFault(), r.randomFault()
		if err := r.inject(ctx, n, first); err != nil {
			return err
		}
		if second.name != first.name && r.rand.IntN(3) == 0 && second.canFollow(first) {
			if err := r.inject(ctx, n+1000, second); err != nil {
				return err
			}
			time.Sleep(r.faultDuration())
			if err := r.revert(ctx, n+1000, second); err != nil {
				return err
			}
		} else {
			time.Sleep(r.faultDuration())
		}
		if err := r.revert(ctx, n, first); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

func (r *faultRun) faultDuration() time.Duration {
	return time.Duration(1000+r.rand.IntN(3000)) * time.Millisecond
}

// printReport returns ErrBreach if a guarantee was broken, according to the report, the witness or an earlier check.
func (r *faultRun) printReport(w io.Writer, report load.Report, witness fleet.Observations, breached bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fault\tlasted s\tlongest gap s\tlongest gap at one gateway s\tslowest answer s")
	for _, f := range r.faults {
		overall, worstGateway, slowest := answerGaps(report.Outcomes, f)
		fmt.Fprintf(t, "%s\t%.1f\t%.2f\t%.2f\t%.2f\n", f.name, f.end.Sub(f.start).Seconds(), overall.Seconds(), worstGateway.Seconds(), slowest.Seconds())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nsent=%d whole=%d not_run=%d unknown=%d broken=%d wrong=%d codes=%v\n", report.Sent, report.Complete, report.NotRun, report.Unknown, report.Broken, report.Incorrect, report.Codes)
	fmt.Fprintln(w, witness.Summary(report.NotRunIDs))
	for _, c := range report.Errors {
		fmt.Fprintln(w, c)
	}
	broken := report.Broken - r.lostToKills(report)
	if breached || witness.Violations(report.NotRunIDs) > 0 || report.Incorrect > 0 || broken > 0 {
		return ErrBreach
	}
	fmt.Fprintln(w, "no breach: every request got a final answer or was held by a gateway that was killed")
	return nil
}

const effectTime = 3 * time.Second // how long after its end a fault is assumed to have effects

// answerGaps returns the longest time without a complete answer during a fault, over all gateways and
// at the worst single gateway, and the longest time to a complete answer of a request begun
// during it.
func answerGaps(ends []load.Outcome, f injectedFault) (overall, worstGateway, slowest time.Duration) {
	until := f.end.Add(effectTime)
	last := f.start
	lastAnswer := make(map[string]time.Time)
	for _, e := range ends {
		if !e.Complete || e.Ended.Before(f.start) || e.Ended.After(until) {
			continue
		}
		overall = max(overall, e.Ended.Sub(last))
		last = e.Ended
		before, known := lastAnswer[e.Gateway]
		if !known {
			before = f.start
		}
		worstGateway = max(worstGateway, e.Ended.Sub(before))
		lastAnswer[e.Gateway] = e.Ended
		if e.Started.After(f.start) {
			slowest = max(slowest, e.Ended.Sub(e.Started))
		}
	}
	return overall, worstGateway, slowest
}
