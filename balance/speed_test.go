// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// ordinaryTime is the time to first token at an endpoint of ordinary speed.
func ordinaryTime(tokens int) time.Duration {
	return 7*time.Millisecond + time.Duration(float64(tokens)/19.2*float64(time.Millisecond))
}

// observe records seconds of prompts, four per second at each endpoint, and returns the time after them.
func observe(s *Speeds, from time.Time, seconds int, factors map[string]float64) time.Time {
	for i := range seconds * 4 {
		now := from.Add(time.Duration(i) * 250 * time.Millisecond)
		for id, f := range factors {
			tokens := 1000 + i%4*1000
			s.Observe(id, Observation{Prompts: 1, Tokens: tokens, Took: time.Duration(f * float64(ordinaryTime(tokens)))}, now)
		}
	}
	return from.Add(time.Duration(seconds) * time.Second)
}

func ordinary(n int) map[string]float64 {
	f := map[string]float64{}
	for i := range n {
		f[fmt.Sprint("endpoint-", i)] = 1
	}
	return f
}

// Guards against requests that keep going to an endpoint for long after it has become slow.
func TestSlowEndpointIsFoundWithinTwoSeconds(t *testing.T) {
	c := quicktest.New(t)
	var s Speeds
	factors := ordinary(20)
	now := observe(&s, start, 30, factors)
	c.Check(s.Slowdown("endpoint-0", now) < 1.1, quicktest.IsTrue)
	factors["endpoint-0"] = 4
	now = observe(&s, now, 2, factors)
	c.Check(s.Slowdown("endpoint-0", now) >= 1.5, quicktest.IsTrue, quicktest.Commentf("%.2f", s.Slowdown("endpoint-0", now)))
	c.Check(s.FirstToken("endpoint-0", 3000, now) > s.FirstToken("endpoint-1", 3000, now)*3/2, quicktest.IsTrue)
	now = observe(&s, now, 2, factors)
	slow, changed := s.Changed("endpoint-0", now)
	c.Check(slow && changed, quicktest.IsTrue)
	_, changed = s.Changed("endpoint-0", now)
	c.Check(changed, quicktest.IsFalse, quicktest.Commentf("a state is reported once"))
}

// Guards against an endpoint that was slow once and is never tried again, and against state that stays for
// endpoints which are gone.
func TestSlowdownIsForgottenWithoutObservations(t *testing.T) {
	c := quicktest.New(t)
	var s Speeds
	factors := ordinary(20)
	factors["endpoint-0"] = 4
	now := observe(&s, start, 10, factors)
	_, _ = s.Changed("endpoint-0", now)
	before := s.Slowdown("endpoint-0", now)
	c.Assert(before > 2, quicktest.IsTrue)
	delete(factors, "endpoint-0")
	now = observe(&s, now, 10, factors)
	after := s.Slowdown("endpoint-0", now)
	c.Check(after > 0.95 && after < 1.2, quicktest.IsTrue, quicktest.Commentf("%.2f", after))
	slow, changed := s.Changed("endpoint-0", now)
	c.Check(!slow && changed, quicktest.IsTrue, quicktest.Commentf("the recovery is reported"))
	now = observe(&s, now, 10, factors)
	s.Prune(now)
	c.Check(s.endpoints["endpoint-0"], quicktest.IsNil)
	c.Check(s.endpoints, quicktest.HasLen, 19)
	c.Check(s.Slowdown("endpoint-0", now), quicktest.Equals, 1.0)
}

// Guards against reports with wrong counts, or none, that change predictions.
func TestImpossibleObservationsAreIgnored(t *testing.T) {
	c := quicktest.New(t)
	var s Speeds
	now := observe(&s, start, 10, ordinary(20))
	slowdown, predicted := s.Slowdown("endpoint-0", now), s.FirstToken("endpoint-1", 3000, now)
	for _, o := range []Observation{
		{}, {Prompts: 1, Tokens: 100}, {Tokens: 100, Took: time.Second}, {Prompts: -1, Tokens: 100, Took: time.Second},
		{Prompts: 1, Tokens: -1, Took: time.Second}, {Prompts: 1, Tokens: 100, Took: -time.Second},
		{Prompts: 1, Tokens: math.MaxInt, Took: time.Second}, {Prompts: math.MaxInt, Tokens: 100, Took: time.Second},
	} {
		s.Observe("endpoint-0", o, now)
		c.Check(s.Slowdown("endpoint-0", now), quicktest.Equals, slowdown, quicktest.Commentf("%+v", o))
		c.Check(s.FirstToken("endpoint-1", 3000, now), quicktest.Equals, predicted, quicktest.Commentf("%+v", o))
	}
}

// Guards against a single connection that hangs for minutes and changes the predictions of all endpoints.
func TestOneStuckConnectionDoesNotOutweighTheRest(t *testing.T) {
	c := quicktest.New(t)
	var s Speeds
	now := observe(&s, start, 20, ordinary(20))
	before := s.FirstToken("endpoint-1", 3000, now)
	s.Observe("endpoint-0", Observation{Prompts: 1, Tokens: 3000, Took: 5 * time.Minute}, now)
	c.Check(s.Slowdown("endpoint-0", now) < slowThreshold, quicktest.IsTrue, quicktest.Commentf("%.2f", s.Slowdown("endpoint-0", now)))
	after := s.FirstToken("endpoint-1", 3000, now)
	c.Check(after < before*11/10, quicktest.IsTrue, quicktest.Commentf("%v before, %v after", before, after))
}

// Guards against predictions that stay at the prior, and a queue that counts the constant time twice.
func TestModelLearnsTimePerToken(t *testing.T) {
	c := quicktest.New(t)
	var s Speeds
	now := observe(&s, start, 20, ordinary(20))
	for _, tokens := range []int{500, 2000, 8000} {
		ratio := float64(s.FirstToken("endpoint-0", tokens, now)) / float64(ordinaryTime(tokens))
		c.Check(ratio > 0.8 && ratio < 1.25, quicktest.IsTrue, quicktest.Commentf("%d tokens: %.2f", tokens, ratio))
	}
	c.Check(s.ReadTime("endpoint-0", 0, now), quicktest.Equals, time.Duration(0))
	queue, rest := s.Predict("endpoint-0", 5000, 3000, now)
	c.Check(queue, quicktest.Equals, s.ReadTime("endpoint-0", 5000, now))
	c.Check((queue+rest-s.FirstToken("endpoint-0", 8000, now)).Abs() < time.Microsecond, quicktest.IsTrue)
	c.Check(s.ReadTime("endpoint-0", 3000, now) < s.FirstToken("endpoint-0", 3000, now), quicktest.IsTrue)
}

// Guards against an endpoint that fails requests at once and thereby looks fast, against failures that change the
// predictions for other endpoints, and against an endpoint that failed and is never tried again.
func TestFailedRequestsCountAsSlowOnes(t *testing.T) {
	c := quicktest.New(t)
	var failed, slow Speeds
	now := observe(&failed, start, 20, ordinary(20))
	_ = observe(&slow, start, 20, ordinary(20))
	before, own := failed.FirstToken("endpoint-1", 3000, now), failed.Slowdown("endpoint-0", now)
	for _, count := range []int{0, -1, maxPrompts + 1, math.MaxInt, math.MinInt} {
		failed.ObserveFailures("endpoint-0", count, now)
		c.Check(failed.Slowdown("endpoint-0", now), quicktest.Equals, own, quicktest.Commentf("%d failures", count))
	}
	failed.ObserveFailures("endpoint-0", 10, now)
	took := time.Duration(10 * maxSlowdownRatio * slow.model.predict(2000) * float64(time.Second))
	slow.Observe("endpoint-0", Observation{Prompts: 10, Tokens: 10 * 2000, Took: took}, now)
	ratio := failed.Slowdown("endpoint-0", now) / slow.Slowdown("endpoint-0", now)
	c.Check(ratio > 0.99 && ratio < 1.01, quicktest.IsTrue, quicktest.Commentf("%.3f of a slow one's", ratio))
	c.Check(failed.Slowdown("endpoint-0", now) > slowThreshold, quicktest.IsTrue, quicktest.Commentf("%.2f", failed.Slowdown("endpoint-0", now)))
	c.Check(failed.FirstToken("endpoint-1", 3000, now), quicktest.Equals, before)
	c.Check(failed.Slowdown("endpoint-0", now.Add(10*time.Second)) < recoverThreshold, quicktest.IsTrue)
	failed.ObserveFailures("new", 1, now)
	c.Check(failed.Slowdown("new", now) > 1.9, quicktest.IsTrue, quicktest.Commentf("%.2f", failed.Slowdown("new", now)))
}

// Guards against a handle that keeps the speed of an endpoint which was dropped, or doesn't see one that was added.
func TestHandlePredictsLikeTheName(t *testing.T) {
	c := quicktest.New(t)
	var s Speeds
	handles := map[string]*Handle{}
	for _, id := range []string{"endpoint-0", "endpoint-1", "unknown"} {
		h := NewHandle(id)
		handles[id] = &h
	}
	check := func(now time.Time, when string) {
		for id, h := range handles {
			queue, rest := s.Predict(id, 5000, 3000, now)
			q, r := s.PredictFor(h, 5000, 3000, now)
			c.Check(q == queue && r == rest, quicktest.IsTrue, quicktest.Commentf("%s, %s: %v, %v", id, when, q-queue, r-rest))
		}
	}
	check(start, "before all observations")
	now := observe(&s, start, 10, map[string]float64{"endpoint-0": 4, "endpoint-1": 1})
	check(now, "observed")
	now = observe(&s, now, 20, map[string]float64{"endpoint-1": 1})
	check(now, "no longer observed")
	s.Prune(now)
	c.Assert(s.endpoints, quicktest.HasLen, 1)
	check(now, "dropped")
	now = observe(&s, now, 10, map[string]float64{"endpoint-0": 2, "endpoint-1": 1})
	check(now, "dropped and observed again")
}
