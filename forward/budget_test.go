// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// An endpoint with a full queue refused four requests of one box within a second. The box could
// save one retry: three of its callers were refused, though all boxes together made a tenth of
// the retries that the service allows.
//
// The evidence: of 174 requests that ended with a refusal within 13 s of a day of 195 boxes, each
// had a retry withheld; 430 extra ones and a fifth of 6,500 requests are allowed in 10 s.
func TestBusyBoxUsesEarnedRetries(t *testing.T) {
	c := quicktest.New(t)
	limits := RetryLimits{Ratio: 0.2, Extra: 430, Window: 10 * time.Second}
	b := &RetryBudget{Limits: func() RetryLimits { return limits }}
	now := time.Unix(1000, 0)
	for range 100 { // in ten seconds
		now = now.Add(100 * time.Millisecond)
		b.RecordFirst(now)
	}
	for range 4 {
		c.Check(b.TryRetry(now, 195), quicktest.IsTrue)
	}
}

// worstWindow returns how many retries one of so many boxes makes in the worst window: callers
// sent so many requests in the window before and in this one, it has saved what it may, and each
// request that it could send again it does.
func worstWindow(limits RetryLimits, boxes, before, within int) int {
	b := &RetryBudget{Limits: func() RetryLimits { return limits }}
	now := time.Unix(1000, 0)
	b.TryRetry(now, boxes)
	ask := func(requests int, retry bool) (made int) {
		begun := now
		for i := range max(requests, 1) {
			now = begun.Add(time.Duration(i) * limits.Window / time.Duration(max(requests, 1)))
			if requests > 0 {
				b.RecordFirst(now)
			}
			for retry && b.TryRetry(now, boxes) {
				made++
			}
		}
		now = begun.Add(limits.Window)
		return made
	}
	ask(before, false)
	ask(before, false)
	return ask(within, true)
}

// Whatever the number of boxes and of their requests, also where those come to an end or have
// just begun: all boxes together send again at most what a window allows.
func TestRetryLimitsHoldInWorstWindow(t *testing.T) {
	for _, boxes := range []int{1, 3, 7, 39, 79, 195, 233, 404} {
		for _, extra := range []float64{52, 182, 430} {
			if extra*shareFactor < float64(boxes) {
				continue // a box makes one retry or none: more boxes than extra retries are an open point
			}
			limits := RetryLimits{Ratio: 0.2, Extra: extra, Window: 10 * time.Second}
			for _, before := range []int{0, 1, 10, 33, 400} {
				for _, within := range []int{0, 1, 10, 33, 400} {
					t.Run(fmt.Sprintf("%d boxes, %v extra, %d requests and %d", boxes, extra, before, within), func(t *testing.T) {
						made := boxes * worstWindow(limits, boxes, before, within)
						allowed := limits.Ratio*float64(boxes*max(before, within)) + extra
						quicktest.Check(t, float64(made) <= allowed, quicktest.IsTrue, quicktest.Commentf("%d of %v", made, allowed))
					})
				}
			}
		}
	}
}

// In the first second of traffic after a start of all boxes endpoints held no adapters yet and
// refused many; each box had run for seconds, and had no retry saved: its share counted from its
// first request.
func TestBudgetFillsBeforeFirstRequest(t *testing.T) {
	c := quicktest.New(t)
	limits := RetryLimits{Ratio: 0.2, Extra: 430, Window: 10 * time.Second}
	g := &Gateway{RetryLimits: func() RetryLimits { return limits }}
	started := time.Unix(1000, 0)
	g.start(started)
	later := started.Add(limits.Window)
	b := g.retryBudget("service")
	b.RecordFirst(later)
	c.Assert(b.TryRetry(later, 195), quicktest.IsTrue)
	c.Assert(b.TryRetry(later, 195), quicktest.IsFalse)
}
