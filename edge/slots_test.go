// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"cairnwick.example/placement"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
)

// newState returns the state of a box that knows the endpoint e/1.
func newState() *state {
	t := share.NewTable()
	s := &state{view: topology.NewView(), table: t, decoder: plainDecoder{}, fences: &placement.Fences{Process: 1}, log: logr.Discard()}
	t.OnChange = s.apply
	t.Merge(&wire.Item{Key: "e/1", Version: 1})
	return s
}

// heldAdapters returns those of ten adapters that e/1 holds according to the box's view.
func (s *state) heldAdapters() map[topology.Adapter]topology.AdapterState {
	held := make(map[topology.Adapter]topology.AdapterState)
	for i := range 10 {
		a := topology.Adapter{Model: "m", Name: fmt.Sprint("a", i)}
		if len(s.view.EndpointsReady(a)) > 0 {
			held[a] = topology.AdapterState{Ready: true}
		} else if len(s.view.EndpointsLoading(a)) > 0 {
			held[a] = topology.AdapterState{}
		}
	}
	return held
}

// Through random changes and changes of owner all boxes reach the same view, in whatever order facts arrive, and
// even if facts of an earlier owner arrive late.
func TestBoxesAgreeOnTheLatestOwnersSlots(t *testing.T) {
	c := quicktest.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	owners := []*state{newState(), newState()}
	other := newState()
	held := make(map[topology.Adapter]topology.AdapterState)
	term, published := uint64(1), uint64(0)
	var late []*wire.Item
	for step := range 3000 {
		if step%97 == 0 { // another box takes over with the facts published so far
			term++
			published = 0
			for _, o := range owners {
				o.table.Receive(late...)
			}
		}
		a := topology.Adapter{Model: "m", Name: fmt.Sprint("a", r.IntN(10))}
		switch h, there := held[a]; {
		case !there && len(held) < 6:
			held[a] = topology.AdapterState{}
		case there && !h.Ready:
			held[a] = topology.AdapterState{Ready: true}
		default:
			delete(held, a)
		}
		published++
		o := owners[term%2]
		_, before, _ := o.table.ItemsSince(0)
		o.publish("dc", "e/1", term<<24|published, maps.Clone(held))
		items, _, _ := o.table.ItemsSince(before)
		most := 1
		if published == 1 { // a new owner publishes all slots
			most += len(held)
		}
		c.Assert(len(items) <= most, quicktest.IsTrue, quicktest.Commentf("step %d published %d slots", step, len(items)))
		r.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
		other.table.Receive(items...)
		late = append(late, items...)
		if r.IntN(3) == 0 && len(late) > 9 {
			other.table.Receive(late[r.IntN(len(late))]) // again
		}
		c.Assert(other.heldAdapters(), quicktest.DeepEquals, held, quicktest.Commentf("step %d", step))
		c.Assert(o.heldAdapters(), quicktest.DeepEquals, held, quicktest.Commentf("step %d, the owner", step))
	}
}

func TestOwnerCanPublishAnEmptyEndpoint(t *testing.T) {
	c := quicktest.New(t)
	s := newState()
	c.Assert(s.updateHeld("e/1"), quicktest.IsFalse)
	s.publish("dc", "e/1", 5<<24|1, nil)
	c.Assert(s.updateHeld("e/1"), quicktest.IsTrue)
}

func TestSlotsOfRemovedEndpointAreForgotten(t *testing.T) {
	c := quicktest.New(t)
	s := newState()
	s.publish("dc", "e/1", 5<<24|1, map[topology.Adapter]topology.AdapterState{{Model: "m", Name: "a1"}: {Ready: true}, {Model: "m", Name: "a2"}: {}})
	c.Assert(s.table.Keys(), quicktest.HasLen, 3)
	s.table.Merge(&wire.Item{Key: "e/1", Version: 2, Removed: true})
	c.Assert(s.table.Keys(), quicktest.HasLen, 0)
}

// Guards against excess traffic: each load published all nine adapters of the endpoint three times, 260 bytes each.
// With 195 boxes and 100 loads a second that cost each box 20 KB a second.
func TestSlotChangeIsPublishedInFewBytes(t *testing.T) {
	c := quicktest.New(t)
	s := newState()
	held := make(map[topology.Adapter]topology.AdapterState)
	for i := range 9 {
		held[topology.Adapter{Model: "dawu412ccf", Name: fmt.Sprint("a", 10000+i)}] = topology.AdapterState{Version: 3, Ready: true}
	}
	s.publish("kg-kimihurura", "i-2fa099c1e3", 1785000000<<24|1, held)
	_, before, _ := s.table.ItemsSince(0)
	held[topology.Adapter{Model: "dawu412ccf", Name: "a10004"}] = topology.AdapterState{Version: 4, Ready: true}
	s.publish("kg-kimihurura", "i-2fa099c1e3", 1785000000<<24|2, held)
	items, _, _ := s.table.ItemsSince(before)
	c.Assert(items, quicktest.HasLen, 1)
	c.Assert(proto.Size(items[0]) <= 90, quicktest.IsTrue, quicktest.Commentf("%d bytes", proto.Size(items[0])))
}

// Guards against a mixture of what two holders of one term published about an endpoint.
func TestHolderOfTheHigherFenceOfATermIsTheOwner(t *testing.T) {
	c := quicktest.New(t)
	lower, higher, other := newState(), newState(), newState()
	const term = 1_800_000_000
	held := make(map[topology.Adapter]topology.AdapterState)
	for i := range 5 {
		held[topology.Adapter{Model: "m", Name: fmt.Sprint("a", i)}] = topology.AdapterState{Ready: true}
		lower.publish("dc", "e/1", term<<24|1<<16|uint64(i+1), maps.Clone(held))
	}
	owned := map[topology.Adapter]topology.AdapterState{{Model: "m", Name: "a9"}: {Ready: true}}
	higher.publish("dc", "e/1", term<<24|2<<16|1, owned)
	for _, from := range []*state{lower, higher, lower} {
		items, _, _ := from.table.ItemsSince(0)
		other.table.Receive(items...)
	}
	c.Check(other.heldAdapters(), quicktest.DeepEquals, owned)
	items, _, _ := higher.table.ItemsSince(0)
	lower.table.Receive(items...)
	c.Check(lower.heldAdapters(), quicktest.DeepEquals, owned)
}
