// SPDX-License-Identifier: Apache-2.0

package member

import (
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// A daemon that is cut off from the endpoints ranks as the youngest from then on, so that the work that another one has
// taken over stays there.
func TestCutOffMemberBecomesTheYoungest(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	self := NewTable(New("a", "a:1", "box", "dc", 1), TableOptions{})
	other := NewTable(New("b", "b:1", "box", "dc", 2), TableOptions{})
	other.Merge([]Member{self.Self()}, now)
	for _, cutOff := range []bool{true, false} {
		self.SetCutOff(cutOff, now)
		other.Merge([]Member{FromWire(self.Self().Wire())}, now)
		seen, known := other.Find("a")
		c.Assert(known, quicktest.IsTrue)
		c.Check(seen.CutOff(), quicktest.Equals, cutOff)
		c.Check(seen.Incarnation() > other.Self().Incarnation(), quicktest.IsTrue)
		c.Check(seen.Serving(), quicktest.IsTrue)
	}
}

// A member of an older version passes the entry on without the field.
func TestEntryWithoutTheFieldDoesNotEndACutOff(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	cut := FromWire(&wire.Member{Name: "a", Role: "box", DataCentre: "dc", Incarnation: 7, State: wire.MemberState(Alive), CutOff: true})
	stripped := cut
	stripped.cutOff = false
	for _, order := range [][]Member{{cut, stripped}, {stripped, cut}} {
		table := NewTable(New("b", "b:1", "box", "dc", 2), TableOptions{})
		table.RecordContact("a", now)
		table.Merge(order, now)
		seen, _ := table.Find("a")
		c.Check(seen.CutOff(), quicktest.IsTrue)
	}
}
