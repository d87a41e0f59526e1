// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"testing"
	"time"

	"cairnwick.example/load"
	"github.com/frankban/quicktest"
)

// Guards against runs of one seed that differ in their speed changes, and against runs in which no engine is slow all
// the time or none recovers.
func TestSpeedChangesFollowFromSeed(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const duration = 20 * time.Second
	for seed := range uint64(50) {
		list := speedChanges(seed, duration)
		same := speedChanges(seed, duration)
		c.Assert(len(list), quicktest.Equals, 3*faultDataCentres*(faultEngines-1))
		last := make(map[[2]int]float64)
		for i, s := range list {
			c.Assert(s, quicktest.Equals, same[i])
			c.Assert(s.factor == 1 || (s.factor >= 2 && s.factor <= 3), quicktest.IsTrue)
			c.Assert(s.at <= duration-duration/4, quicktest.IsTrue)
			c.Assert(i == 0 || s.at >= list[i-1].at, quicktest.IsTrue)
			last[[2]int{s.centre, s.engine}] = s.factor
		}
		recovered := 0
		for _, factor := range last {
			if factor == 1 {
				recovered++
			}
		}
		c.Assert(len(last), quicktest.Equals, faultDataCentres*faultEngines)
		c.Assert(recovered, quicktest.Equals, faultDataCentres*(faultEngines-1))
	}
}

// Guards against a report that counts a request that returned twice, or not by its last outcome, or measures its time
// from the second attempt.
func TestRequestsAreCountedByLastOutcome(t *testing.T) {
	t.Parallel()
	start := time.Now()
	outcome := func(class string, after time.Duration, e load.Outcome) load.Outcome {
		e.Class, e.Started, e.Ended = class, start, start.Add(after)
		return e
	}
	refused, whole := load.Outcome{NotRun: true}, load.Outcome{Complete: true}
	report := load.Report{
		Outcomes: []load.Outcome{
			outcome("urgent", time.Second, whole),
			outcome("urgent", 3*time.Second, whole),
			outcome("urgent", time.Second, load.Outcome{Code: "answer_lost"}),
			outcome("urgent", time.Second, load.Outcome{Broken: true}),
			outcome("urgent", 0, refused), // does not return
			outcome("urgent", 0, refused),
			outcome("urgent", 0, refused),
			outcome("urgent", 0, refused),
			outcome("counter", 0, refused),
		},
		Retries: []load.Outcome{
			outcome("urgent", time.Second, whole),
			outcome("urgent", 3*time.Second, whole),
			outcome("urgent", time.Second, refused),
			outcome("counter", time.Second, whole),
		},
	}
	quicktest.Assert(t, countKind(report, load.RequestKind{Class: "urgent", Deadline: 2 * time.Second}), quicktest.Equals,
		kindCounts{inTime: 2, late: 2, refused: 2, failed: 2, returned: 3, refusedAgain: 1})
}
