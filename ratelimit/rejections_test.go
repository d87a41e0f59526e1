// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// fragileEndpoint is an endpoint that crashes when it rejects too many requests in a second.
type fragileEndpoint struct {
	slots, queue int // requests that run and wait
	survives     int // rejections in a second
	ends         []time.Time
	rejections   []time.Time
	crashed      bool
}

// arrive handles a request that takes work, and reports whether it is accepted.
func (e *fragileEndpoint) arrive(now time.Time, work time.Duration) bool {
	e.ends = slices.DeleteFunc(e.ends, func(at time.Time) bool { return !at.After(now) })
	if len(e.ends) < e.slots+e.queue {
		e.ends = append(e.ends, now.Add(work))
		return true
	}
	e.rejections = append(dropBefore(e.rejections, now.Add(-time.Second)), now)
	e.crashed = e.crashed || len(e.rejections) > e.survives
	return false
}

// simulatedBox is a box whose messages take some time.
type simulatedBox struct {
	name     string
	ends     []time.Time // of its requests at the endpoint
	rejected uint64
}

func (b *simulatedBox) load(now time.Time, slots int) Load {
	b.ends = slices.DeleteFunc(b.ends, func(at time.Time) bool { return !at.After(now) })
	return Load{Box: b.name, InFlight: len(b.ends), Rejected: b.rejected, Slots: slots}
}

// Guards against endpoints that crash by the rejections that all boxes cause together: seven boxes brought 17 about in a
// second, and 380 do by one request each.
func TestEndpointSurvivesTheRejectionsOfAllBoxes(t *testing.T) {
	for _, x := range []struct{ boxes, survives, perSecond int }{
		{boxes: 1, survives: 16, perSecond: 120},
		{boxes: 7, survives: 16, perSecond: 120},
		{boxes: 7, survives: 3, perSecond: 120},
		{boxes: 7, survives: 16, perSecond: 1000},
		{boxes: 380, survives: 16, perSecond: 1000},
	} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			c := quicktest.New(t)
			r := rand.New(rand.NewPCG(7, uint64(x.boxes)))
			l := new(Limiter)
			l.Observe("e", Observation{Limit: Limit{}.WithRejections(float64(x.survives)), At: start}, start)
			e := &fragileEndpoint{slots: 8, queue: 8, survives: x.survives}
			boxes := make([]*simulatedBox, x.boxes)
			for i := range boxes {
				boxes[i] = &simulatedBox{name: fmt.Sprint(i)}
			}
			served := 0
			const span, work = 30 * time.Second, 100 * time.Millisecond
			for now := start; now.Before(at(span)); now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) / float64(x.perSecond))) {
				if now.After(at(span / 3)) {
					e.queue = 1 // fewer may wait
				}
				b := boxes[r.IntN(len(boxes))]
				if !l.Take("e", Request{Load: b.load(now, e.slots)}, now).OK {
					continue
				}
				if e.arrive(now, work) {
					served++
					b.ends = append(b.ends, now.Add(work))
				} else {
					b.rejected++
				}
				l.Report("e", b.load(now, e.slots), now)
			}
			c.Check(e.crashed, quicktest.IsFalse)
			best := min(float64(x.perSecond), float64(e.slots)/work.Seconds()) * span.Seconds()
			c.Check(float64(served) >= 0.7*best, quicktest.IsTrue, quicktest.Commentf("%d served of %.0f", served, best))
		})
	}
}

// Two boxes may count for an endpoint at the same time, each for the boxes that ask it.
func TestEndpointSurvivesTwoCounters(t *testing.T) {
	c := quicktest.New(t)
	r := rand.New(rand.NewPCG(7, 2))
	e := &fragileEndpoint{slots: 8, queue: 8, survives: 16}
	counters := []*Limiter{new(Limiter), new(Limiter)}
	boxes := []*simulatedBox{{name: "a"}, {name: "b"}}
	for _, l := range counters {
		l.Observe("e", Observation{Limit: Limit{}.WithRejections(16), At: start}, start)
	}
	for now := start; now.Before(at(30 * time.Second)); now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Millisecond))) {
		if now.After(at(10 * time.Second)) {
			e.queue = 0
		}
		i := r.IntN(2)
		l, b := counters[i], boxes[i]
		if !l.Take("e", Request{Load: b.load(now, e.slots)}, now).OK {
			continue
		}
		if e.arrive(now, 100*time.Millisecond) {
			b.ends = append(b.ends, now.Add(100*time.Millisecond))
		} else {
			b.rejected++
		}
		l.Report("e", b.load(now, e.slots), now)
	}
	c.Check(e.crashed, quicktest.IsFalse)
}

// A message may name any number and any box.
func TestLoadsOfAnySizeAreBounded(t *testing.T) {
	c := quicktest.New(t)
	l := new(Limiter)
	l.Observe("e", Observation{Limit: Limit{}.WithRejections(1e6), At: start}, start)
	for i := range 2 * maxCounted {
		l.Report("e", Load{Box: fmt.Sprint(i), InFlight: math.MaxInt32, Rejected: 1}, start)
		l.Report("e", Load{Box: fmt.Sprint(i), Rejected: math.MaxUint64}, start)
	}
	g := l.endpoints["e"].rejections
	c.Check(len(g.boxes) <= maxCounted, quicktest.IsTrue)
	c.Check(len(g.rejections) <= 2*maxCounted, quicktest.IsTrue, quicktest.Commentf("%d", len(g.rejections)))
	c.Check(len(g.completed) <= maxCounted, quicktest.IsTrue, quicktest.Commentf("%d", len(g.completed)))
}

// More urgent requests find room while less urgent ones fill the endpoint.
func TestRoomIsReservedForMoreUrgentRequests(t *testing.T) {
	c := quicktest.New(t)
	l := new(Limiter)
	l.Observe("e", Observation{Limit: Limit{}.WithRejections(16), At: start}, start)
	now := at(5 * time.Second)
	l.Report("e", Load{Box: "a", InFlight: 64, Slots: 64}, now)
	l.Report("e", Load{Box: "a", InFlight: 64, Rejected: 1, Slots: 64}, now) // 64 fit
	l.Report("e", Load{Box: "a", InFlight: 61, Rejected: 1, Slots: 64}, now)
	c.Check(l.Take("e", Request{Rank: 1, Load: Load{Box: "a", InFlight: 61, Rejected: 1}}, now).OK, quicktest.IsFalse)
	c.Check(l.Take("e", Request{Load: Load{Box: "a", InFlight: 61, Rejected: 1}}, now).OK, quicktest.IsTrue)
	refused := l.Take("e", Request{Load: Load{Box: "a", InFlight: 64, Rejected: 1}}, now)
	c.Check(refused.Limited && !refused.OK && refused.Wait > 0, quicktest.IsTrue, quicktest.Commentf("%+v", refused))
	c.Check(l.Headroom("e", now).HasSpare, quicktest.IsFalse)
}

func TestParseRejections(t *testing.T) {
	for _, x := range []struct {
		name       string
		values     []string
		rejections int
		fragile    bool
		invalid    bool
	}{
		{name: "no header"},
		{name: "a number", values: []string{"16"}, rejections: 16, fragile: true},
		{name: "a fraction is cut off", values: []string{" 7.9 "}, rejections: 7, fragile: true},
		{name: "zero: any rejection crashes it", values: []string{"0"}, fragile: true},
		{name: "negative", values: []string{"-3"}, invalid: true},
		{name: "NaN", values: []string{"NaN"}, invalid: true},
		{name: "empty", values: []string{""}, invalid: true},
		{name: "above the maximum: no limit", values: []string{"1e300"}},
		{name: "infinite: no limit", values: []string{"inf"}},
		{name: "two values: the lower", values: []string{"16", "9"}, rejections: 9, fragile: true},
		{name: "one of two is valid", values: []string{"x", "9"}, rejections: 9, fragile: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			l, err := ParseRejections(PerSecond(5), x.values)
			c.Check(l.Rejections(), quicktest.Equals, x.rejections)
			c.Check(l.IsFragile(), quicktest.Equals, x.fragile)
			c.Check(l.Rate(), quicktest.Equals, 5.0)
			c.Check(err != nil, quicktest.Equals, x.invalid)
		})
	}
}

// FuzzParseRejections checks that a parsed limit is a valid number, and never returned together with an error.
func FuzzParseRejections(f *testing.F) {
	f.Add("16", "9")
	f.Add("NaN", "1e300")
	f.Add("-1", "inf")
	f.Fuzz(func(t *testing.T, a, b string) {
		l, err := ParseRejections(Limit{}, []string{a, b})
		if l.IsFragile() && err != nil {
			t.Errorf("%q, %q: a limit and an error: %v", a, b, err)
		}
		if l.Rejections() < 0 || float64(l.Rejections()) > maxRate || math.IsNaN(l.Rate()) {
			t.Errorf("%q, %q: %d", a, b, l.Rejections())
		}
	})
}
