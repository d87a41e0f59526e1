// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"cairnwick.example/placement"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// slotsPrefix is the key prefix of facts about endpoints' slots; the endpoint's ID, a slash and the slot number
// follow. Each slot has its own fact because a load changes only one: that sends at most 90 bytes to each box,
// where a fact with all nine slots of an endpoint took 260.
const slotsPrefix = "slots/"

// maxSlots is more than any endpoint has. It bounds the memory that an invalid slot number can cost.
const maxSlots = 1 << 12

// slots holds what the owners of endpoints published about their slots, and what this box published as an owner.
type slots struct {
	mu        sync.Mutex
	reports   map[string]*ownerReport    // by endpoint
	published map[string]*publishedSlots // by endpoint
}

// ownerReport is what the latest owner of an endpoint published about its slots. Facts of earlier owners about other
// slots are ignored.
type ownerReport struct {
	owner   uint64       // of the publications, which increases with the owner's fencing token
	held    map[int]slot // by slot number; empty slots have no entry
	highest int          // highest slot number in any fact so far
}

// slot is a slot that holds an adapter; the zero value is an empty slot.
type slot struct {
	adapter topology.Adapter
	held    topology.AdapterState
}

// publishedSlots is what this box published about an endpoint's slots with one fencing token.
type publishedSlots struct {
	owner uint64
	slots []slot // by slot number
}

// applySlot applies a fact about one slot; rest is its key without the prefix. It returns the endpoint's ID, or an
// empty string if the fact cannot be decoded.
func (s *state) applySlot(rest string, i *wire.Item) string {
	cut := strings.LastIndexByte(rest, '/')
	number, err := strconv.Atoi(rest[cut+1:])
	var w wire.Slot
	if err == nil {
		err = proto.Unmarshal(i.GetValue(), &w)
	}
	if err == nil && (cut < 0 || number < 0 || number >= maxSlots) {
		err = errors.New("edge: the key holds no valid slot number")
	}
	if err != nil {
		s.log.Info("Failed to decode fact; keeping the last valid one", "key", i.GetKey(), "version", i.GetVersion(), "err", err.Error())
		return ""
	}
	id, owner := rest[:cut], placement.Owner(i.GetVersion())
	s.fences.Observe(placement.Term(i.GetVersion()))
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	if s.slots.reports == nil {
		s.slots.reports = make(map[string]*ownerReport)
	}
	o := s.slots.reports[id]
	if o == nil || o.owner < owner {
		highest := -1
		if o != nil {
			highest = o.highest
		}
		o = &ownerReport{owner: owner, held: make(map[int]slot), highest: highest}
		s.slots.reports[id] = o
	}
	o.highest = max(o.highest, number)
	switch {
	case o.owner > owner: // from an earlier owner
	case w.GetAdapter() == "":
		delete(o.held, number)
	default:
		o.held[number] = slot{adapter: topology.ParseAdapter(w.GetAdapter()), held: topology.AdapterState{Version: w.GetVersion(), Ready: w.GetReady()}}
	}
	return id
}

// updateHeld copies the slots that the owner published into the view, if the endpoint is in it. It reports whether an
// owner published anything.
func (s *state) updateHeld(id string) bool {
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	o := s.slots.reports[id]
	if o == nil {
		return false
	}
	if s.view.Endpoint(id) == nil {
		return true
	}
	held := make(map[topology.Adapter]topology.AdapterState, len(o.held))
	for _, t := range o.held {
		held[t.adapter] = t.held
	}
	s.view.SetAdapterStates(id, held)
	return true
}

// forgetSlots removes the facts and state of an endpoint that is gone.
func (s *state) forgetSlots(id string) {
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	if o := s.slots.reports[id]; o != nil {
		for number := range o.highest + 1 {
			s.table.Discard(slotKey(id, number))
		}
	}
	delete(s.slots.reports, id)
	delete(s.slots.published, id)
}

func slotKey(endpoint string, number int) string {
	return fmt.Sprint(slotsPrefix, endpoint, "/", number)
}

// publish publishes an endpoint's slots to all boxes: those that changed, or all of them with a new fencing token.
func (s *state) publish(centre, endpoint string, version uint64, held map[topology.Adapter]topology.AdapterState) {
	var items []*wire.Item
	for number, t := range s.slots.diff(endpoint, placement.Owner(version), held) {
		w := &wire.Slot{Version: t.held.Version, Ready: t.held.Ready}
		if t.adapter.Name != "" {
			w.Adapter = t.adapter.String()
		}
		raw, err := proto.Marshal(w)
		if err != nil {
			s.log.Error(err, "Failed to encode a slot", "endpoint", endpoint)
			return
		}
		items = append(items, &wire.Item{Key: slotKey(endpoint, number), Version: version, Value: raw, DataCentre: centre})
	}
	s.table.Merge(items...)
}

// diff records what an endpoint holds now, and returns the slots to publish by number. An adapter stays in its slot.
func (t *slots) diff(endpoint string, owner uint64, held map[topology.Adapter]topology.AdapterState) map[int]slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published == nil {
		t.published = make(map[string]*publishedSlots)
	}
	changed := make(map[int]slot)
	k := t.published[endpoint]
	if k == nil || k.owner != owner {
		k = &publishedSlots{owner: owner}
		t.published[endpoint] = k
		changed[0] = slot{} // publish at least one slot, so that boxes know the owner even if nothing is held
	}
	rest := maps.Clone(held)
	for n, was := range k.slots {
		now, stays := held[was.adapter]
		switch {
		case was.adapter.Name == "":
		case !stays:
			k.slots[n] = slot{}
			changed[n] = slot{}
		case now != was.held:
			k.slots[n].held = now
			changed[n] = k.slots[n]
		}
		delete(rest, was.adapter)
	}
	for a, h := range rest {
		n := slices.Index(k.slots, slot{})
		if n < 0 {
			n = len(k.slots)
			k.slots = append(k.slots, slot{})
		}
		k.slots[n] = slot{adapter: a, held: h}
		changed[n] = k.slots[n]
	}
	return changed
}
