// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// An endpoint with a full queue rejected four requests of one box within a second. The box could save up
// only one retry, so three of its callers were refused, though all boxes together used a tenth of the
// retries that the limits allow. In a scenario with 195 boxes 174 requests failed that way within 13 s, while
// the limits allowed 430 extra retries and a fifth of 6,500 requests in 10 s.
func TestBusyBoxUsesEarnedRetries(t *testing.T) {
	c := quicktest.New(t)
	limits := RetryLimits{Ratio: 0.2, Extra: 430, Window: 10 * time.Second}
	b := &RetryBudget{Limits: func() RetryLimits { return limits }}
	now := time.Unix(1000, 0)
	for range 100 { // in 10 s
		now = now.Add(100 * time.Millisecond)
		b.RecordFirst(now)
	}
	for range 4 {
		c.Check(b.TryRetry(now, 195), quicktest.IsTrue)
	}
}

// worstWindow returns how many retries one box of many makes in the worst window: its callers sent before
// requests in each of the two windows before and send within requests in this one, its budget is full, and
// it retries whenever it can.
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

// For any number of boxes and requests, also when traffic stops or starts, all boxes together make at most
// the retries that a window allows.
func TestRetryLimitsHoldInWorstWindow(t *testing.T) {
	for _, boxes := range []int{1, 3, 7, 39, 79, 195, 233, 404} {
		for _, extra := range []float64{52, 182, 430} {
			if extra*shareFactor < float64(boxes) {
				continue // not covered: with more boxes than extra retries a box makes one retry or none
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

// In the first second of traffic after all boxes started, endpoints held no adapters yet and rejected many
// requests. The boxes had run for seconds but had saved up no retries, since their shares counted from the
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
