// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/member"
	"github.com/frankban/quicktest"
)

// retriesInAWindow returns the most retries that one box makes in a window if all of its requests want one: it
// first saves as many as it may, then spends them at once.
func retriesInAWindow(limits forward.RetryLimits, boxes int) int {
	b := &forward.RetryBudget{Limits: func() forward.RetryLimits { return limits }}
	now := time.Unix(0, 0)
	b.TryRetry(now, boxes)
	now = now.Add(2 * limits.Window)
	made := 0
	for range 100 {
		for b.TryRetry(now, boxes) {
			made++
		}
		now = now.Add(limits.Window / 100)
	}
	return made
}

// Guards against more retries than the common budget allows: under overload, with 71 boxes, the endpoints of a
// service refused requests and got 1,040 repeated ones in a window that allowed 1,021. Each box kept to its share,
// but its saved retries came on top, and a box computes the share from the serving boxes that it sees: behind a
// network partition or just after a start those are too few. With ten saved retries each, 71 boxes may send 710 on
// top of their shares of 715. With no more saved than a share this test counted 216 extra retries of 72 boxes that
// see each other, and 1,008 of the same boxes in four partitions; 182 are allowed.
func TestPartitionedBoxesShareOneRetryBudget(t *testing.T) {
	limits := forward.RetryLimits{Ratio: 0.2, Extra: 182, Window: 10 * time.Second}
	var all []member.Member
	for i := range 72 {
		all = append(all, box(fmt.Sprintf("b%02d", i), fmt.Sprintf("dc%d", i%4), uint64(i+1), 400))
	}
	for _, k := range []struct {
		name        string
		partitioned bool
	}{{"connected", false}, {"four partitions", true}} {
		t.Run(k.name, func(t *testing.T) {
			c := quicktest.New(t)
			made := 0
			for i, b := range all {
				p := peersOf(b, slices.Delete(slices.Clone(all), i, i+1)...)
				for _, m := range all {
					if k.partitioned && m.DataCentre() != b.DataCentre() {
						p.table.RecordRefusal(m.Name(), time.Now())
					}
				}
				p.budgetBoxes(p.started) // records when it first saw the others
				made += retriesInAWindow(limits, p.budgetBoxes(p.started.Add(initialViewDelay)))
			}
			c.Assert(float64(made) <= limits.Extra, quicktest.IsTrue, quicktest.Commentf("%d", made))
			c.Assert(made > 72, quicktest.IsTrue, quicktest.Commentf("%d", made))
		})
	}
}

// Guards against 71 boxes that each take the whole budget after a power loss, until they see the others.
func TestStartingBoxMakesNoExtraRetries(t *testing.T) {
	c := quicktest.New(t)
	limits := forward.RetryLimits{Ratio: 0.2, Extra: 182, Window: 10 * time.Second}
	p := peersOf(box("a", "dc", 1, 400))
	c.Assert(retriesInAWindow(limits, p.budgetBoxes(p.started.Add(initialViewDelay/2))), quicktest.Equals, 0)
}

func TestBoxWithoutReachableSeedsMakesNoExtraRetries(t *testing.T) {
	c := quicktest.New(t)
	p := peersOf(box("a", "dc", 1, 400))
	late := p.started.Add(2 * noContactDelay)
	c.Assert(p.budgetBoxes(late), quicktest.Equals, 1) // without seeds it is the only box
	p.seeds = func() []string { return []string{"b:1"} }
	c.Assert(p.budgetBoxes(late), quicktest.Equals, 0)
	p.table.Merge([]member.Member{box("b", "dc", 2, 400)}, late)
	c.Assert(p.budgetBoxes(late), quicktest.Equals, 0) // it has just seen the other box
	c.Assert(p.budgetBoxes(late.Add(firstContactDelay)), quicktest.Equals, 2)
}

// Guards against shares that are passed on too early: when 6 boxes were stopped one after the other, each took a
// part of the shares of those that were leaving while these still served the requests they held: 294 extra retries,
// where 52 were allowed.
func TestLeavingBoxKeepsItsRetryShare(t *testing.T) {
	c := quicktest.New(t)
	left := member.NewTable(box("b", "dc", 2, 400), member.TableOptions{SuspectTimeout: time.Second, DeadRetention: time.Minute, AllDataCentres: true})
	left.Leave()
	p := peersOf(box("a", "dc", 1, 400), left.Self(), box("d", "dc", 3, 400))
	c.Assert(p.clusterView().boxes, quicktest.Equals, 3)
	p.table.Leave()
	c.Assert(p.clusterView().boxes, quicktest.Equals, 3)
}
