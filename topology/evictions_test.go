// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
)

func adapterNumber(n int) Adapter { return Adapter{Model: "m", Name: fmt.Sprint(n)} }

func TestEvictionsAreCountedInOrder(t *testing.T) {
	c := quicktest.New(t)
	v := NewView()
	v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e", Service: "s"}))
	for n := range 4 { // each replaces the one before in the slot
		v.SetAdapterStates("e", map[Adapter]AdapterState{adapterNumber(n): {Ready: true}})
	}
	for n, want := range []int{2, 1, 0} {
		count, known := v.EvictionsSince("e", adapterNumber(n))
		c.Assert(known, quicktest.IsTrue)
		c.Assert(count, quicktest.Equals, want)
	}
	_, known := v.EvictionsSince("e", adapterNumber(3)) // still loaded
	c.Assert(known, quicktest.IsFalse)
	c.Assert(v.LastHolder(adapterNumber(1)).ID(), quicktest.Equals, "e")
	v.RemoveEndpoint("e")
	_, known = v.EvictionsSince("e", adapterNumber(0))
	c.Assert(known, quicktest.IsFalse)
	c.Assert(v.LastHolder(adapterNumber(1)), quicktest.IsNil)
}

func TestEvictionHistoryIsBounded(t *testing.T) {
	c := quicktest.New(t)
	var h evictionHistory
	for n := range maxEvictionHistory + 1 {
		h.add(adapterNumber(n))
	}
	h.add(adapterNumber(1)) // evicted again
	_, known := h.evictionsSince(adapterNumber(0))
	c.Assert(known, quicktest.IsFalse)
	count, known := h.evictionsSince(adapterNumber(1))
	c.Assert(known, quicktest.IsTrue)
	c.Assert(count, quicktest.Equals, 0)
	c.Assert(h.sequences, quicktest.HasLen, maxEvictionHistory)
}
