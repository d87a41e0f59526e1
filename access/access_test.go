// SPDX-License-Identifier: Apache-2.0

package access

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestKeyBelongsToTheFirstOrganisationThatListsIt(t *testing.T) {
	c := quicktest.New(t)
	k, l := KeyDigest("k"), KeyDigest("l")
	d, err := NewDirectory([]Spec{{Name: "b", Keys: []Digest{k}}, {Name: "a", Keys: []Digest{k, l}}})
	c.Assert(err, quicktest.IsNil)
	c.Assert(d.Find(NewCredential([]string{"k"})).Name(), quicktest.Equals, "b")
	c.Assert(d.Find(NewCredential([]string{"l"})).Name(), quicktest.Equals, "a")
	c.Assert(d.Find(NewCredential([]string{"other"})), quicktest.IsNil)
	c.Assert(d.Find(Credential{}), quicktest.IsNil)
	c.Assert(d.ByName("a").Keys(), quicktest.HasLen, 2)
}

func TestNilDirectory(t *testing.T) {
	c := quicktest.New(t)
	d, err := NewDirectory(nil)
	c.Assert(err, quicktest.IsNil)
	c.Assert(d, quicktest.IsNil)
	c.Assert(d.Find(NewCredential([]string{"k"})), quicktest.IsNil)
	c.Assert(d.ByName("a"), quicktest.IsNil)
	c.Assert(d.All(), quicktest.HasLen, 0)
}

func TestKeyChanges(t *testing.T) {
	c := quicktest.New(t)
	directory := func(specs ...Spec) *Directory {
		d, err := NewDirectory(specs)
		c.Assert(err, quicktest.IsNil)
		return d
	}
	came, went, moved, stays := KeyDigest("came"), KeyDigest("went"), KeyDigest("moved"), KeyDigest("stays")
	before := directory(Spec{Name: "a", Keys: []Digest{went, moved, stays}}, Spec{Name: "b"})
	after := directory(Spec{Name: "a", Keys: []Digest{stays, came}}, Spec{Name: "b", Keys: []Digest{moved}})
	c.Assert(KeyChanges(before, after), quicktest.DeepEquals, []KeyChange{
		{Key: went, Before: "a"}, {Key: moved, Before: "a", After: "b"}, {Key: came, After: "a"},
	})
	c.Assert(KeyChanges(after, after), quicktest.HasLen, 0)
}

func TestCostIsAtLeastOneUnit(t *testing.T) {
	c := quicktest.New(t)
	tokens := Quota{Unit: Tokens, DefaultCost: 200}
	c.Assert(tokens.Cost(1540, true), quicktest.Equals, 1540.0)
	c.Assert(tokens.Cost(0, true), quicktest.Equals, 1.0)
	c.Assert(tokens.Cost(7, false), quicktest.Equals, 200.0)
	c.Assert(Quota{Unit: Tokens}.Cost(7, false), quicktest.Equals, 1.0)
	c.Assert(tokens.Cost(math.MaxInt, true), quicktest.Equals, float64(maxUnits))
	c.Assert(Quota{}.Cost(1540, true), quicktest.Equals, 1.0)
}

func TestDrawGrantsTheShareAndEstimatesTheWait(t *testing.T) {
	c := quicktest.New(t)
	l := Limit{Rate: 500, Capacity: 500}
	var p Pool
	now := time.Now()
	c.Assert(p.Draw(Demand{Organisation: "o", Owed: 10}, l, now).Paid, quicktest.Equals, 0.0) // a new pool is empty
	p.AddBorrowed("o", 0, now, time.Hour)                                                     // other pools have no units for a loan
	now = now.Add(time.Minute)
	a := p.Draw(Demand{Organisation: "o", Owed: 100, Wanted: []float64{200, 200, 200}}, l, now)
	c.Assert(a.Paid, quicktest.Equals, 100.0)
	c.Assert(a.Granted, quicktest.Equals, 2)
	c.Assert(a.Wait, quicktest.Equals, 400*time.Millisecond) // at 500 units per second
	again := Demand{Organisation: "o", Wanted: []float64{200}, Again: 1}
	c.Assert(p.Draw(again, l, now.Add(100*time.Millisecond)).Wait, quicktest.Equals, 300*time.Millisecond)
	other := Demand{Organisation: "o", Wanted: []float64{100}}
	c.Assert(p.Draw(other, l, now.Add(150*time.Millisecond)).Wait, quicktest.Equals, 450*time.Millisecond) // after the previous one
	c.Assert(p.Draw(again, l, now.Add(a.Wait)), quicktest.Equals, Allowance{Organisation: "o", Granted: 1})
}

func TestRequestLargerThanTheBucketIsGranted(t *testing.T) {
	c := quicktest.New(t)
	l := Limit{Rate: 100, Capacity: 100}
	var p Pool
	now := time.Now()
	p.Draw(Demand{Organisation: "o"}, l, now)
	now = now.Add(time.Second)
	c.Assert(p.Draw(Demand{Organisation: "o", Wanted: []float64{900}}, l, now).Granted, quicktest.Equals, 1)
	c.Assert(p.Draw(Demand{Organisation: "o", Wanted: []float64{1}}, l, now.Add(7*time.Second)).Granted, quicktest.Equals, 0)
	c.Assert(p.Draw(Demand{Organisation: "o", Wanted: []float64{1}}, l, now.Add(9*time.Second)).Granted, quicktest.Equals, 1)
}

func TestLoanedUnitsLeaveThePool(t *testing.T) {
	c := quicktest.New(t)
	l := Limit{Rate: 500, Capacity: 500}
	var from, to Pool
	now := time.Now()
	from.Draw(Demand{Organisation: "o"}, l, now)
	to.Draw(Demand{Organisation: "o", Owed: 400}, l, now)
	c.Assert(to.TakeShortfalls(), quicktest.DeepEquals, map[string]float64{"o": 400})
	c.Assert(to.TakeShortfalls(), quicktest.HasLen, 0)
	now = now.Add(time.Minute)
	granted := from.Lend("o", 400, l, now)
	c.Assert(granted, quicktest.Equals, 250.0) // half of its 500 stays
	c.Assert(from.Lend("o", 400, l, now), quicktest.Equals, 0.0)
	c.Assert(from.Levels()["o"].Left, quicktest.Equals, 250.0)
}

// Guards against a data centre that refuses callers for the time that its own share takes to refill, while
// another data centre has units to lend: those callers did not retry.
func TestWaitIsShortWhileOthersMayLend(t *testing.T) {
	c := quicktest.New(t)
	l := Limit{Rate: 100, Capacity: 100}
	var p Pool
	now := time.Now()
	d := Demand{Organisation: "o", Wanted: []float64{50}}
	c.Assert(p.Draw(d, l, now).Wait, quicktest.Equals, borrowLatency)
	p.AddBorrowed("o", 0, now, time.Second)
	c.Assert(p.Draw(d, l, now).Wait > 400*time.Millisecond, quicktest.IsTrue)
	p.AddBorrowed("o", 60, now, time.Second)
	c.Assert(p.Draw(d, l, now).Granted, quicktest.Equals, 1)
}

func TestStartFillingBeforeTheFirstDraw(t *testing.T) {
	c := quicktest.New(t)
	l := Limit{Rate: 100, Capacity: 100}
	var p Pool
	now := time.Now()
	p.StartFilling("o", l, now)
	p.StartFilling("o", l, now.Add(time.Second)) // changes nothing
	c.Assert(p.Draw(Demand{Organisation: "o", Owed: 100}, l, now.Add(time.Second)).Paid, quicktest.Equals, 100.0)
	p.Reset()
	c.Assert(p.Draw(Demand{Organisation: "o", Owed: 100}, l, now.Add(time.Hour)).Paid, quicktest.Equals, 0.0)
}

func TestRemainingCreditIsDecidedAtRandomOnce(t *testing.T) {
	c := quicktest.New(t)
	var a Account
	c.Assert(a.TrySpend(200, 100, 0.6), quicktest.IsFalse)
	c.Assert(a.TrySpend(200, 100, 0.1), quicktest.IsFalse) // no second decision
	c.Assert(a.TrySpend(40, 100, 0.9), quicktest.IsTrue)
	a.StartSettlement()
	a.FinishSettlement(40)
	c.Assert(a.TrySpend(200, 100, 0.4), quicktest.IsTrue)
	c.Assert(a.Owed(), quicktest.Equals, 200.0)
	c.Assert(a.TrySpend(1, 100, 0), quicktest.IsFalse)
}

func TestUnusedUnitsAreReturnedToThePool(t *testing.T) {
	c := quicktest.New(t)
	var a Account
	c.Assert(a.TrySpend(60, 100, 0.9), quicktest.IsTrue)
	c.Assert(a.TrySpend(60, 100, 0.9), quicktest.IsFalse)
	owed, returned := a.StartSettlement()
	c.Assert(owed, quicktest.Equals, 60.0)
	c.Assert(returned, quicktest.Equals, 0.0)
	a.FinishSettlement(60)
	a.Refund(60)
	owed, returned = a.StartSettlement()
	c.Assert(owed, quicktest.Equals, 0.0)
	c.Assert(returned, quicktest.Equals, 60.0)
	a.FinishSettlement(0)
	c.Assert(a.Owed(), quicktest.Equals, 0.0)
}
