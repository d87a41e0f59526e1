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

// slotsPrefix begins the keys of what endpoints hold; the endpoint's ID, a slash and the number of
// a slot there follow. A load changes one slot, so one is told: 90 bytes at most to each box, where all
// nine of an endpoint were 260.
const slotsPrefix = "slots/"

// maxSlots is above the slots that any endpoint has: a wrong number must not cost memory.
const maxSlots = 1 << 12

// slots is what endpoints hold, as their owners tell, and what this box told as an owner.
type slots struct {
	mu        sync.Mutex
	reports   map[string]*ownerReport    // by endpoint
	published map[string]*publishedSlots // by endpoint
}

// ownerReport is what the latest owner of an endpoint told of it. What owners before it told of
// other slots does not count.
type ownerReport struct {
	term    uint64       // of its fence
	held    map[int]slot // by number; an empty slot is missing
	highest int          // the highest number of which anything was told
}

// slot is an adapter in a slot.
type slot struct {
	adapter topology.Adapter
	held    topology.Held
}

// publishedSlots is what this box told of an endpoint under one fence.
type publishedSlots struct {
	term  uint64
	slots []slot // by number; an adapter without a name: it is empty
}

// applySlot takes in what an owner told of one slot, by the rest of its key. It returns the
// endpoint.
func (s *state) applySlot(rest string, i *wire.Item) string {
	cut := strings.LastIndexByte(rest, '/')
	number, err := strconv.Atoi(rest[cut+1:])
	var w wire.Slot
	if err == nil {
		err = proto.Unmarshal(i.GetValue(), &w)
	}
	if err == nil && (cut < 0 || number < 0 || number >= maxSlots) {
		err = errors.New("edge: no number of a slot")
	}
	if err != nil {
		s.log.Info("Fact can't be read; the last good one stays", "key", i.GetKey(), "version", i.GetVersion(), "err", err.Error())
		return ""
	}
	id, term := rest[:cut], placement.Term(i.GetVersion())
	s.fences.Hear(term)
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	if s.slots.reports == nil {
		s.slots.reports = make(map[string]*ownerReport)
	}
	o := s.slots.reports[id]
	if o == nil || o.term < term {
		most := -1
		if o != nil {
			most = o.highest
		}
		o = &ownerReport{term: term, held: make(map[int]slot), highest: most}
		s.slots.reports[id] = o
	}
	o.highest = max(o.highest, number)
	switch {
	case o.term > term: // of an owner before
	case w.GetAdapter() == "":
		delete(o.held, number)
	default:
		o.held[number] = slot{adapter: topology.ParseAdapter(w.GetAdapter()), held: topology.Held{Version: w.GetVersion(), Ready: w.GetReady()}}
	}
	return id
}

// updateHeld brings what an endpoint's owner told into the view, if the endpoint is known; it
// tells whether an owner told anything.
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
	held := make(map[topology.Adapter]topology.Held, len(o.held))
	for _, t := range o.held {
		held[t.adapter] = t.held
	}
	s.view.SetHeld(id, held)
	return true
}

// forgetSlots drops what was told of an endpoint that is gone.
func (s *state) forgetSlots(id string) {
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	if o := s.slots.reports[id]; o != nil {
		for number := range o.highest + 1 {
			s.table.Forget(slotKey(id, number))
		}
	}
	delete(s.slots.reports, id)
	delete(s.slots.published, id)
}

func slotKey(endpoint string, number int) string {
	return fmt.Sprint(slotsPrefix, endpoint, "/", number)
}

// publish tells all boxes what an endpoint of this data centre holds: the slots that changed, and
// under a new fence all of them.
func (s *state) publish(centre, endpoint string, version uint64, held map[topology.Adapter]topology.Held) {
	var items []*wire.Item
	for number, t := range s.slots.diff(endpoint, placement.Term(version), held) {
		w := &wire.Slot{Version: t.held.Version, Ready: t.held.Ready}
		if t.adapter.Name != "" {
			w.Adapter = t.adapter.String()
		}
		raw, err := proto.Marshal(w)
		if err != nil {
			s.log.Error(err, "Slots can't be encoded", "endpoint", endpoint)
			return
		}
		items = append(items, &wire.Item{Key: slotKey(endpoint, number), Version: version, Value: raw, DataCentre: centre})
	}
	s.table.Merge(items...)
}

// diff notes what an endpoint holds now, and returns the slots of which that must be told, by
// number. An adapter keeps its slot.
func (t *slots) diff(endpoint string, term uint64, held map[topology.Adapter]topology.Held) map[int]slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published == nil {
		t.published = make(map[string]*publishedSlots)
	}
	changed := make(map[int]slot)
	k := t.published[endpoint]
	if k == nil || k.term != term {
		k = &publishedSlots{term: term}
		t.published[endpoint] = k
		changed[0] = slot{} // even where it holds nothing, the owner has told
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
