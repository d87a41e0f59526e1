// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// exponential returns a pause of a given mean.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// Guards against an estimate that follows the mean, or the longest pause, of streams of which few are long.
func TestPauseSettlesAtItsQuantile(t *testing.T) {
	c := quicktest.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	for _, mean := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond} {
		var s Speeds
		c.Check(s.Pause("a", start), quicktest.Equals, time.Duration(0), quicktest.Commentf("not known yet"))
		for range 5000 {
			s.ObservePause("a", exponential(r, mean), start)
		}
		longer := 0
		for range 20000 {
			pause := exponential(r, mean)
			if pause > s.Pause("a", start) {
				longer++
			}
			s.ObservePause("a", pause, start)
		}
		c.Logf("mean %v: %v, exceeded by %d of 20000", mean, s.Pause("a", start), longer)
		c.Check(longer > 500 && longer < 700, quicktest.IsTrue, quicktest.Commentf("3%% are 600: %d", longer))
	}
}

// Guards against one stream that hangs, or a wrong report, and changes the estimate for all others.
func TestOnePauseMovesTheEstimateLittle(t *testing.T) {
	c := quicktest.New(t)
	for _, pause := range []time.Duration{1, time.Millisecond, time.Minute, 1<<63 - 1} {
		var s Speeds
		for range 100 {
			s.ObservePause("a", 100*time.Millisecond, start)
		}
		before := s.Pause("a", start)
		s.ObservePause("a", pause, start)
		ratio := float64(s.Pause("a", start)) / float64(before)
		c.Check(ratio >= 1-pauseStep && ratio <= 1+pauseStep && ratio != 1, quicktest.IsTrue, quicktest.Commentf("%v: %.4f", pause, ratio))
	}
	var s Speeds
	s.ObservePause("a", 0, start)
	s.ObservePause("a", -time.Second, start)
	c.Check(s.Pause("a", start), quicktest.Equals, time.Duration(0))
	for range 100000 { // neither zero, which means not known, nor without bound
		s.ObservePause("a", 1, start)
	}
	c.Check(s.Pause("a", start) > minPause/2, quicktest.IsTrue, quicktest.Commentf("%v", s.Pause("a", start)))
	for range 2000 {
		s.ObservePause("a", time.Hour, start)
	}
	c.Check(s.Pause("a", start) <= maxPause+maxPause/10, quicktest.IsTrue, quicktest.Commentf("%v", s.Pause("a", start)))
}

// Guards against a first stream that hangs and makes all endpoints seem to pause too long for thousands of streams.
func TestFirstPauseIsForgotten(t *testing.T) {
	c := quicktest.New(t)
	var s Speeds
	s.ObservePause("a", time.Hour, start)
	for range 100 {
		s.ObservePause("a", 50*time.Millisecond, start)
	}
	c.Check(s.Pause("a", start) < 200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", s.Pause("a", start)))
}

// Guards against pauses of slow endpoints that count as those of ordinary ones, and against slow endpoints that are
// expected to pause no longer than those.
func TestSlowEndpointsScalePauses(t *testing.T) {
	c := quicktest.New(t)
	var ordinarySpeeds, s Speeds
	factors := ordinary(20)
	now := observe(&ordinarySpeeds, start, 30, factors)
	factors["endpoint-0"] = 4
	now = observe(&s, now, 30, factors)
	r, slowdown := rand.New(rand.NewPCG(1, 2)), s.Slowdown("endpoint-0", now)
	c.Assert(slowdown > 2, quicktest.IsTrue)
	for range 5000 {
		pause := exponential(r, 100*time.Millisecond)
		ordinarySpeeds.ObservePause("endpoint-1", pause, now)
		s.ObservePause("endpoint-0", time.Duration(slowdown*float64(pause)), now)
	}
	plain, ratio := ordinarySpeeds.Pause("unknown", now), s.Pause("endpoint-0", now).Seconds()/s.Pause("unknown", now).Seconds()
	c.Check((s.Pause("unknown", now)-plain).Abs() < plain/50, quicktest.IsTrue, quicktest.Commentf("%v, %v", s.Pause("unknown", now), plain))
	c.Check(ratio > 0.99*slowdown && ratio < 1.01*slowdown, quicktest.IsTrue, quicktest.Commentf("%.3f, slowdown %.3f", ratio, slowdown))
}

// Load: a new owner of endpoints whose streams pause for 400 ms. It assigned prompts as if there were no pauses for hundreds of
// streams.
func TestPausesAreLearnedFromFewStreams(t *testing.T) {
	c := quicktest.New(t)
	var s Speeds
	for range 15 {
		s.ObservePause("a", 400*time.Millisecond, start)
	}
	c.Check(s.Pause("a", start) > 350*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", s.Pause("a", start)))
}
