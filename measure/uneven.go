// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"cairnwick.example/standin"
)

// unevenKinds returns the kinds of requests of an uneven run. Every request has a key, so that the engines detect any
// request that runs twice. At the default rate they need three quarters of the engines' time while one engine of each
// data centre is slow, and more than there is while both are.
func unevenKinds() []load.RequestKind {
	return []load.RequestKind{
		{Class: fleet.UrgentClass, Caller: "desk", Weight: 3, Tokens: 40, WithKey: true, Deadline: 1500 * time.Millisecond},
		{Class: fleet.CounterClass, Caller: "till", Weight: 5, Tokens: 100, WithKey: true, Stream: true, Deadline: 5 * time.Second},
		{Class: fleet.NightClass, Caller: "office", Weight: 2, Tokens: 300, WithKey: true, Deadline: 10 * time.Second},
	}
}

// speedChange is a change of an engine's time for each token, relative to the normal time.
type speedChange struct {
	at             time.Duration // since the start of the load
	centre, engine int
	factor         float64
}

// speedChanges returns the changes of a run, in order. In each data centre, one engine is slow from the start; the
// others turn slow for a quarter of the run.
func speedChanges(seed uint64, duration time.Duration) []speedChange {
	random := rand.New(rand.NewPCG(seed, 2))
	var list []speedChange
	for c := 1; c <= faultDataCentres; c++ {
		slow := 1 + random.IntN(faultEngines)
		for e := 1; e <= faultEngines; e++ {
			factor := float64(20+random.IntN(11)) / 10
			if e == slow {
				list = append(list, speedChange{centre: c, engine: e, factor: factor})
				continue
			}
			from := duration * time.Duration(10+random.IntN(41)) / 100
			list = append(list, speedChange{from, c, e, factor}, speedChange{from + duration/4, c, e, 1})
		}
	}
	slices.SortStableFunc(list, func(a, b speedChange) int { return cmp.Compare(a.at, b.at) })
	return list
}

// slowEngines applies the speed changes of an uneven run at their times.
func (r *faultRun) slowEngines(ctx context.Context) error {
	if !r.Uneven {
		return nil
	}
	start := time.Now()
	for _, s := range speedChanges(r.Seed, r.Time) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(s.at))):
		}
		if err := fleet.Post(ctx, fmt.Sprintf("http://%s/control/slowdown?factor=%v", r.fleet.EngineAddress(s.centre, s.engine), s.factor)); err != nil {
			return err
		}
	}
	return nil
}

// kindCounts counts the final outcomes of the requests of one kind.
type kindCounts struct {
	inTime, late, refused, failed int
	returned                      int // refused and sent again at the time given; counted above by the second outcome
	refusedAgain                  int // of these
}

// countKind counts the requests of a kind.
func countKind(report load.Report, k load.RequestKind) kindCounts {
	var n kindCounts
	count := func(e load.Outcome) {
		switch {
		case e.Complete && e.Ended.Sub(e.Started) <= k.Deadline:
			n.inTime++
		case e.Complete:
			n.late++
		case e.NotRun:
			n.refused++
		default:
			n.failed++
		}
	}
	for _, e := range report.Outcomes {
		if e.Class == k.Class {
			count(e)
		}
	}
	for _, e := range report.Retries {
		if e.Class != k.Class {
			continue
		}
		n.returned++
		n.refused-- // the first attempt
		if e.NotRun {
			n.refusedAgain++
		}
		count(e)
	}
	return n
}

// checkUneven prints the speed changes and the counts of each kind of an uneven run, and returns the number of
// requests that the engines got beyond their limits.
func (r *faultRun) checkUneven(ctx context.Context, w io.Writer, report load.Report) (over int, err error) {
	if !r.Uneven {
		return 0, nil
	}
	for _, s := range speedChanges(r.Seed, r.Time) {
		fmt.Fprintf(w, "%s takes %v times the normal time for each token from %.1f s\n", fleet.EndpointName(s.centre, s.engine), s.factor, s.at.Seconds())
	}
	for _, k := range unevenKinds() {
		n := countKind(report, k)
		fmt.Fprintf(w, "%s: sent=%d in_time=%d late=%d refused=%d failed=%d returned=%d refused_again=%d\n", k.Class,
			n.inTime+n.late+n.refused+n.failed, n.inTime, n.late, n.refused, n.failed, n.returned, n.refusedAgain)
	}
	for c := 1; c <= faultDataCentres; c++ {
		for e := 1; e <= faultEngines; e++ {
			var n standin.Counts
			if err := r.engineCounts(ctx, c, e, "counts", &n); err != nil {
				return 0, err
			}
			fmt.Fprintf(w, "%s has a limit of %d requests at once: runs=%d over_limit=%d\n", fleet.EndpointName(c, e), faultBatchSize, n.Runs, n.OverLimit)
			over += n.OverLimit
		}
	}
	return over, nil
}
