// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"testing"
	"time"
)

// Guards against a report or a deadline of extreme size that ends a leader, makes its predictions
// undefined for good, or returns a negative time.
func FuzzChooseAndObserve(f *testing.F) {
	extremes := []int64{math.MinInt64, math.MinInt64 + 1, -1, 0, 1, 1000, int64(time.Second), 1 << 40, math.MaxInt64 - 1, math.MaxInt64}
	for i, a := range extremes {
		b, c := extremes[(i*3+1)%len(extremes)], extremes[(i*7+2)%len(extremes)]
		f.Add(a, b, c, a, b, c, a, b, c, i%2 == 0)
		f.Add(a, a, a, a, a, a, a, a, a, i%2 == 0)
	}
	f.Fuzz(func(t *testing.T, prompts, tokens, took, age, target, limit, wait, delay, queue int64, returned bool) {
		var s Speeds
		now := time.Unix(0, 0).Add(time.Duration(age))
		for i, o := range []Observation{
			{int(prompts), int(tokens), time.Duration(took)}, {1, int(tokens), time.Duration(took)},
			{int(prompts), int(queue), time.Duration(delay)}, {1, 2000, 100 * time.Millisecond},
		} {
			s.Observe("a", o, now.Add(time.Duration(i)*time.Duration(delay)))
		}
		for _, id := range []string{"a", "unknown"} {
			for _, n := range []int64{tokens, prompts, 0, 3000, math.MaxInt64} {
				first, read, slowdown := s.FirstToken(id, int(n), now), s.ReadTime(id, int(n), now), s.Slowdown(id, now)
				if queue, rest := s.Predict(id, int(n), int(wait), now); queue != read || rest <= 0 {
					t.Fatalf("%s, %d tokens: queue %v, rest %v", id, n, queue, rest)
				}
				if first <= 0 || read < 0 || !(slowdown > 0) || math.IsInf(slowdown, 1) {
					t.Fatalf("%s, %d tokens: first token %v, read time %v, slowdown %v", id, n, first, read, slowdown)
				}
			}
		}
		s.Changed("a", now.Add(time.Duration(wait)))
		s.Prune(now.Add(time.Duration(took)))
		r := Request{Target: time.Duration(target), QueueLimit: time.Duration(limit), MaxWait: time.Duration(wait), MaxPause: time.Duration(age), Returned: returned, ReturnLimit: time.Duration(delay)}
		list := []Candidate{
			{Availability: Availability(prompts), Delay: time.Duration(delay), Queue: time.Duration(queue), Own: time.Duration(took), Busy: time.Duration(delay), Pause: time.Duration(target), FreeMemory: int(tokens), Memory: int(prompts)},
			{Availability: Loadable, Delay: time.Duration(queue), Queue: time.Duration(took), Own: time.Duration(delay)},
			{Availability: Ready, Queue: s.ReadTime("a", int(tokens), now), Own: s.FirstToken("a", int(tokens), now)},
		}
		for n := range len(list) + 1 {
			d := Choose(r, list[:n])
			if d.FirstToken < 0 || d.Relief < 0 || d.Index >= n || d.Reason < InTime || d.Reason > NoneAvailable {
				t.Fatalf("%+v from %+v and %+v", d, r, list[:n])
			}
			within := r.MaxWait
			if d.Reason == InTime {
				within = r.Target - r.Target/4 // targetMargin
			}
			if d.Index >= 0 && (float64(d.FirstToken) > float64(within) || list[d.Index].Memory > 0 && list[d.Index].FreeMemory < 0) {
				t.Fatalf("%+v is beyond the bounds of %+v and %+v", d, r, list[:n])
			}
		}
	})
}
