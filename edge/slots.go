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

// mostSlots is above the slots that any endpoint has: a wrong number must not cost memory.
const mostSlots = 1 << 12

// slots is what endpoints hold, as their owners tell, and what this box told as an owner.
type slots struct {
	mu    sync.Mutex
	heard map[string]*ownersWord // by endpoint
	told  map[string]*toldSlots  // by endpoint
}

// ownersWord is what the latest owner of an endpoint told of it. What owners before it told of
// other slots does not count.
type ownersWord struct {
	term uint64       // of its fence
	held map[int]slot // by number; an empty slot is missing
	most int          // the highest number of which anything was told
}

// slot is an adapter in a slot.
type slot struct {
	adapter topology.Adapter
	held    topology.Held
}

// toldSlots is what this box told of an endpoint under one fence.
type toldSlots struct {
	term    uint64
	numbers []slot // by number; an adapter without a name: it is empty
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
	if err == nil && (cut < 0 || number < 0 || number >= mostSlots) {
		err = errors.New("edge: no number of a slot")
	}
	if err != nil {
		s.log.Info("Fact can't be read; the last good one stays", "key", i.GetKey(), "version", i.GetVersion(), "err", err.Error())
		return ""
	}
	id, term := rest[:cut], placement.Term(i.GetVersion())
	s.fences.Observe(term)
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	if s.slots.heard == nil {
		s.slots.heard = make(map[string]*ownersWord)
	}
	o := s.slots.heard[id]
	if o == nil || o.term < term {
		most := -1
		if o != nil {
			most = o.most
		}
		o = &ownersWord{term: term, held: make(map[int]slot), most: most}
		s.slots.heard[id] = o
	}
	o.most = max(o.most, number)
	switch {
	case o.term > term: // of an owner before
	case w.GetAdapter() == "":
		delete(o.held, number)
	default:
		o.held[number] = slot{adapter: topology.ParseAdapter(w.GetAdapter()), held: topology.Held{Version: w.GetVersion(), Ready: w.GetReady()}}
	}
	return id
}

// showSlots brings what an endpoint's owner told into the view, if the endpoint is known; it
// tells whether an owner told anything.
func (s *state) showSlots(id string) bool {
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	o := s.slots.heard[id]
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
	if o := s.slots.heard[id]; o != nil {
		for number := range o.most + 1 {
			s.table.Forget(slotKey(id, number))
		}
	}
	delete(s.slots.heard, id)
	delete(s.slots.told, id)
}

func slotKey(endpoint string, number int) string {
	return fmt.Sprint(slotsPrefix, endpoint, "/", number)
}

// publish tells all boxes what an endpoint of this data centre holds: the slots that changed, and
// under a new fence all of them.
func (s *state) publish(centre, endpoint string, version uint64, held map[topology.Adapter]topology.Held) {
	var items []*wire.Item
	for number, t := range s.slots.change(endpoint, placement.Term(version), held) {
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

// change notes what an endpoint holds now, and returns the slots of which that must be told, by
// number. An adapter keeps its slot.
func (t *slots) change(endpoint string, term uint64, held map[topology.Adapter]topology.Held) map[int]slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.told == nil {
		t.told = make(map[string]*toldSlots)
	}
	changed := make(map[int]slot)
	k := t.told[endpoint]
	if k == nil || k.term != term {
		k = &toldSlots{term: term}
		t.told[endpoint] = k
		changed[0] = slot{} // even where it holds nothing, the owner has told
	}
	rest := maps.Clone(held)
	for n, was := range k.numbers {
		now, stays := held[was.adapter]
		switch {
		case was.adapter.Name == "":
		case !stays:
			k.numbers[n] = slot{}
			changed[n] = slot{}
		case now != was.held:
			k.numbers[n].held = now
			changed[n] = k.numbers[n]
		}
		delete(rest, was.adapter)
	}
	for a, h := range rest {
		n := slices.Index(k.numbers, slot{})
		if n < 0 {
			n = len(k.numbers)
			k.numbers = append(k.numbers, slot{})
		}
		k.numbers[n] = slot{adapter: a, held: h}
		changed[n] = k.numbers[n]
	}
	return changed
}
