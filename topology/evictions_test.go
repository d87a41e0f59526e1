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
	for n := range 4 { // one after the other takes the slot
		v.SetAdapterStates("e", map[Adapter]AdapterState{adapterNumber(n): {Ready: true}})
	}
	for n, want := range []int{2, 1, 0} {
		later, known := v.EvictionsSince("e", adapterNumber(n))
		c.Assert(known, quicktest.IsTrue)
		c.Assert(later, quicktest.Equals, want)
	}
	_, known := v.EvictionsSince("e", adapterNumber(3)) // it is there
	c.Assert(known, quicktest.IsFalse)
	c.Assert(v.LastHolder(adapterNumber(1)).ID(), quicktest.Equals, "e")
	v.RemoveEndpoint("e")
	_, known = v.EvictionsSince("e", adapterNumber(0))
	c.Assert(known, quicktest.IsFalse)
	c.Assert(v.LastHolder(adapterNumber(1)), quicktest.IsNil)
}

func TestEvictionHistoryIsBounded(t *testing.T) {
	c := quicktest.New(t)
	var m evictionHistory
	for n := range maxEvictionHistory + 1 {
		m.add(adapterNumber(n))
	}
	m.add(adapterNumber(1)) // held once more
	_, known := m.evictionsSince(adapterNumber(0))
	c.Assert(known, quicktest.IsFalse)
	later, known := m.evictionsSince(adapterNumber(1))
	c.Assert(known, quicktest.IsTrue)
	c.Assert(later, quicktest.Equals, 0)
	c.Assert(m.sequences, quicktest.HasLen, maxEvictionHistory)
}
