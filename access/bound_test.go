// SPDX-License-Identifier: Apache-2.0

package access

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// This file simulates a fleet with the real pools and accounts, and sums the units spent in every window.
// Depending on the seed, there are network partitions, lost answers, overload, and leaders that are
// killed, or stall and resume beside their successors.

const (
	fleetTick    = 20 * time.Millisecond
	fleetTime    = 60 * time.Second
	settleTicks  = 15 // between two settlements of a box
	drawingTicks = 55 // time since its last draw for which a box counts as drawing
)

// fleetBox is a box with its account, and with its pool while it acts as leader.
type fleetBox struct {
	centre        int
	account       Account
	pool          *Pool
	drawn         map[int]int // tick of the last draw, by box
	leader        int         // index of the box that this one draws from
	isolatedUntil int         // partitioned from all other boxes until this tick
	stalledUntil  int         // stalled or restarting until this tick
	answeredAt    int         // tick of the last answer of a leader
}

// fleet is the simulation of one seed.
type fleet struct {
	random           *rand.Rand
	quota            Quota
	bounds           Bounds
	boxes            []*fleetBox
	centres          int
	partitionedUntil []int // by data centre: partitioned until this tick
	now              int
	spent            []float64 // units, by tick
	begin            time.Time
}

func newFleet(seed uint64, boxes, centres int, q Quota, b Bounds) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), quota: q, bounds: b, centres: centres, partitionedUntil: make([]int, centres), begin: time.Now()}
	for i := range boxes {
		f.boxes = append(f.boxes, &fleetBox{centre: i % centres, leader: i % centres})
	}
	return f
}

func (f *fleet) time() time.Time { return f.begin.Add(time.Duration(f.now) * fleetTick) }

// runs reports whether a box is running.
func (f *fleet) runs(i int) bool { return f.boxes[i].stalledUntil <= f.now }

// reach reports whether two boxes can communicate.
func (f *fleet) reach(i, j int) bool {
	a, b := f.boxes[i], f.boxes[j]
	if i == j {
		return f.runs(i)
	}
	if !f.runs(i) || !f.runs(j) || a.isolatedUntil > f.now || b.isolatedUntil > f.now {
		return false
	}
	return a.centre == b.centre || (f.partitionedUntil[a.centre] <= f.now && f.partitionedUntil[b.centre] <= f.now)
}

// known returns the number of boxes of a data centre, including those that do not respond.
func (f *fleet) known(centre int) int {
	n := 0
	for _, b := range f.boxes {
		if b.centre == centre {
			n++
		}
	}
	return n
}

// limit returns the limit of a box's pool.
func (f *fleet) limit(i int) Limit {
	b := f.boxes[i]
	drawing := 0
	for _, at := range b.drawn {
		if f.now-at <= drawingTicks {
			drawing++
		}
	}
	return f.bounds.Limit(f.quota, Share(drawing, f.known(b.centre), f.centres))
}

// injectFault injects a random fault.
func (f *fleet) injectFault() {
	i := f.random.IntN(len(f.boxes))
	if f.random.IntN(2) == 0 {
		i = f.boxes[i].leader // select leaders more often
	}
	b := f.boxes[i]
	length := 50 + f.random.IntN(300)
	switch f.random.IntN(5) {
	case 0: // killed, and restarted without state
		f.boxes[i] = &fleetBox{centre: b.centre, leader: b.leader, stalledUntil: f.now + 50}
	case 1:
		b.stalledUntil = f.now + length
	case 2:
		b.isolatedUntil = f.now + length
	case 3:
		f.partitionedUntil[f.random.IntN(f.centres)] = f.now + length
	case 4: // some boxes disagree about the leader
		for _, o := range f.boxes {
			if o.centre == b.centre && f.random.IntN(2) == 0 {
				o.leader = i
			}
		}
	}
}

// follow makes a box choose another leader if it has not had an answer for some time.
func (f *fleet) follow(i int) {
	b := f.boxes[i]
	if f.reach(i, b.leader) || f.now-b.answeredAt < 60 {
		return
	}
	for j, o := range f.boxes {
		if o.centre == b.centre && f.reach(i, j) {
			b.leader = j
			return
		}
	}
}

// settle lets a box draw from its leader; the answer may be lost.
func (f *fleet) settle(i int) {
	b := f.boxes[i]
	if !f.reach(i, b.leader) {
		b.account.Forgive(f.bounds.CreditLimit(f.quota, len(f.boxes)), f.bounds.Window, f.time())
		return
	}
	l := f.boxes[b.leader]
	if l.pool == nil {
		l.pool, l.drawn = new(Pool), make(map[int]int)
	}
	l.drawn[i] = f.now
	owed, returned := b.account.StartSettlement()
	a := l.pool.Draw(Demand{Organisation: "o", Owed: owed, Returned: returned}, f.limit(b.leader), f.time())
	if f.random.IntN(20) == 0 {
		return // the answer is lost
	}
	b.answeredAt = f.now
	b.account.FinishSettlement(a.Paid)
	b.account.StopForgiving()
	f.lend(b.leader, l)
}

// lend moves units between data centres if one lacks some.
func (f *fleet) lend(i int, l *fleetBox) {
	short := l.pool.TakeShortfalls()["o"]
	for j, o := range f.boxes {
		if short > 0 && o.pool != nil && o.centre != l.centre && f.reach(i, j) {
			got := o.pool.Lend("o", short, f.limit(j), f.time())
			if f.random.IntN(20) > 0 {
				l.pool.AddBorrowed("o", got, f.time(), 0)
			}
		}
	}
}

// run simulates a demand of load times the quota. It returns the fraction of the quota that was served, and the
// most units that were spent in a window.
func (f *fleet) run(load float64, faults bool) (served, most float64) {
	ticks := int(fleetTime / fleetTick)
	f.spent = make([]float64, ticks)
	asked := 0.0
	for ; f.now < ticks; f.now++ {
		if faults && f.random.IntN(25) == 0 {
			f.injectFault()
		}
		for due := load * f.quota.Rate * fleetTick.Seconds(); due > 0; {
			cost := 200 + 900*f.random.Float64()
			due -= cost
			i := f.random.IntN(len(f.boxes))
			if !f.runs(i) || (due < 0 && f.random.Float64()*cost > due+cost) {
				continue
			}
			asked += cost
			f.serve(i, cost)
		}
		for i := range f.boxes {
			if f.runs(i) && (f.now+i)%settleTicks == 0 {
				f.follow(i)
				f.settle(i)
			}
		}
	}
	return f.total() / min(asked, f.quota.Rate*fleetTime.Seconds()), f.maxInWindow()
}

// serve spends the units of a request on a box, at once or by a settlement for this request.
func (f *fleet) serve(i int, cost float64) {
	b := f.boxes[i]
	if b.account.TrySpend(cost, f.bounds.CreditLimit(f.quota, len(f.boxes)), f.random.Float64()) {
		f.spent[f.now] += cost
		return
	}
	if !f.reach(i, b.leader) || f.boxes[b.leader].pool == nil {
		return
	}
	l := f.boxes[b.leader]
	l.drawn[i] = f.now
	owed, returned := b.account.StartSettlement()
	a := l.pool.Draw(Demand{Organisation: "o", Owed: owed, Returned: returned, Wanted: []float64{cost}}, f.limit(b.leader), f.time())
	b.account.FinishSettlement(a.Paid)
	b.account.StopForgiving()
	f.lend(b.leader, l)
	if a.Granted == 1 {
		f.spent[f.now] += cost
	}
}

func (f *fleet) total() float64 {
	sum := 0.0
	for _, s := range f.spent {
		sum += s
	}
	return sum
}

func (f *fleet) maxInWindow() float64 {
	window := int(f.bounds.Window / fleetTick)
	sum, most := 0.0, 0.0
	for i, s := range f.spent {
		sum += s
		if i >= window {
			sum -= f.spent[i-window]
		}
		most = max(most, sum)
	}
	return most
}

// fleets are the sizes and quotas for which the bound is checked.
var fleets = []struct {
	boxes, centres int
	rate           float64
}{{6, 3, 29_000}, {74, 3, 29_000}, {74, 3, 280_000}, {300, 5, 100_000}}

// allowed is the permitted excess. Its slack is what an operator may allow over all boxes: some long prompts.
var allowed = Bounds{Window: 8 * time.Second, Overshoot: 0.25, Slack: 110_000}

// maxUnitsOf returns the units of a quota that may be spent in a window over all boxes.
func maxUnitsOf(q Quota, b Bounds) float64 { return q.Rate*b.Window.Seconds() + q.Burst + b.excess(q) }

// However boxes are partitioned, stalled or killed, or disagree about the leader, no more units than the operator
// allows are spent in any window, with a demand of six times the quota.
func TestSpendingStaysWithinTheBoundInEveryWindow(t *testing.T) {
	for _, k := range fleets {
		for seed := range uint64(8) {
			q := Quota{Unit: Tokens, Rate: k.rate, Burst: k.rate}
			t.Run(fmt.Sprint(k.boxes, "boxes", k.rate, "seed", seed), func(t *testing.T) {
				_, most := newFleet(seed, k.boxes, k.centres, q, allowed).run(6, true)
				quicktest.Assert(t, most <= maxUnitsOf(q, allowed), quicktest.IsTrue, quicktest.Commentf("%.0f of %.0f", most, maxUnitsOf(q, allowed)))
			})
		}
	}
}

// Without faults, an organisation whose demand is below its quota is served completely, and one with a higher
// demand gets its quota, except in the first second, in which the pools fill.
func TestDemandWithinTheQuotaIsServed(t *testing.T) {
	for _, k := range fleets {
		q := Quota{Unit: Tokens, Rate: k.rate, Burst: k.rate}
		for _, load := range []float64{0.6, 0.85, 3} {
			t.Run(fmt.Sprint(k.boxes, "boxes", k.rate, "load", load), func(t *testing.T) {
				served, _ := newFleet(1, k.boxes, k.centres, q, allowed).run(load, false)
				t.Logf("served %.3f", served)
				quicktest.Assert(t, served > 0.98 || (load > 1 && served > 0.96), quicktest.IsTrue, quicktest.Commentf("%.3f", served))
			})
		}
	}
}
