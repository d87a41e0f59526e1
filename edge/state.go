// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"

	"cairnwick.example/placement"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
)

// slotsPrefix begins the keys of what endpoints hold; their IDs follow.
const slotsPrefix = "slots/"

// state keeps the view as the table says.
type state struct {
	view    *topology.View
	table   *share.Table
	decoder Decoder
	fences  *placement.Fences
	log     logr.Logger
}

// apply takes accepted items into the view. One that cannot be read changes
// nothing: the last good one stays.
func (s *state) apply(items []*wire.Item) {
	for _, i := range items {
		if err := s.applyOne(i); err != nil {
			s.log.Info("Fact can't be read; the last good one stays", "key", i.GetKey(), "version", i.GetVersion(), "err", err.Error())
		}
	}
}

func (s *state) applyOne(i *wire.Item) error {
	value, err := share.Value(i)
	if err != nil {
		return err
	}
	if id, ok := strings.CutPrefix(i.GetKey(), slotsPrefix); ok {
		return s.applySlots(id, i.GetVersion(), value)
	}
	switch s.decoder.Kind(i.GetKey()) {
	case KindConfig:
		return s.applyConfig(i, value)
	case KindEndpoint:
		return s.applyEndpoint(i, value)
	case KindVersion:
		a, v, err := s.decoder.Version(value)
		if err != nil || i.GetRemoved() {
			return err
		}
		s.view.SetNewest(a, v)
		s.log.Info("Adapter has a new version", "adapter", a.String(), "adapter_version", v, "revision", i.GetVersion())
	}
	return nil
}

func (s *state) applyConfig(i *wire.Item, value []byte) error {
	if i.GetRemoved() {
		return nil // the last one stays in force
	}
	c, err := s.decoder.Config(value)
	if err != nil {
		return err
	}
	if s.view.SetConfig(c) {
		s.log.Info("Configuration is in force", "config", c.Version(), "revision", i.GetVersion())
	}
	return nil
}

func (s *state) applyEndpoint(i *wire.Item, value []byte) error {
	id := s.decoder.EndpointID(i.GetKey())
	if i.GetRemoved() {
		s.view.RemoveEndpoint(id)
		s.table.Forget(slotsPrefix + id)
		s.log.Info("Endpoint is gone", "endpoint", id, "revision", i.GetVersion())
		return nil
	}
	e, err := s.decoder.Endpoint(i.GetKey(), value)
	if err != nil {
		return err
	}
	old := s.view.Endpoint(id)
	if old == nil || old.Draining() != e.Draining() {
		s.log.Info("Endpoint is known", "endpoint", id, "address", e.Address(), "endpoint_data_centre", e.DataCentre(),
			"draining", e.Draining(), "revision", i.GetVersion())
	}
	s.view.SetEndpoint(e)
	if s.table.Version(slotsPrefix+id) == 0 {
		s.view.SetHeld(id, heldLongAgo(e)) // better than nothing until its owner tells
	}
	return nil
}

// heldLongAgo returns what an endpoint published that it holds. It may be wrong by
// now, which the endpoint says when it is asked.
func heldLongAgo(e *topology.Endpoint) map[topology.Adapter]topology.Held {
	held := make(map[topology.Adapter]topology.Held, len(e.Adapters()))
	for a, v := range e.Adapters() {
		held[a] = topology.Held{Version: v, Ready: true}
	}
	return held
}

func (s *state) applySlots(id string, version uint64, value []byte) error {
	var w wire.Slots
	if err := proto.Unmarshal(value, &w); err != nil {
		return err
	}
	s.fences.Hear(placement.Term(version))
	held := make(map[topology.Adapter]topology.Held, len(w.GetSlots()))
	for _, t := range w.GetSlots() {
		held[topology.ParseAdapter(t.GetAdapter())] = topology.Held{Version: t.GetVersion(), Ready: t.GetReady()}
	}
	if s.view.Endpoint(id) == nil {
		return nil
	}
	s.view.SetHeld(id, held)
	return nil
}

// publish tells all boxes what an endpoint of this data centre holds.
func (s *state) publish(centre, endpoint string, version uint64, held map[topology.Adapter]topology.Held) {
	w := &wire.Slots{Endpoint: endpoint}
	for a, h := range held {
		w.Slots = append(w.Slots, &wire.Slot{Adapter: a.String(), Version: h.Version, Ready: h.Ready})
	}
	raw, err := proto.Marshal(w)
	if err != nil {
		s.log.Error(err, "Slots can't be encoded", "endpoint", endpoint)
		return
	}
	s.table.Merge(&wire.Item{Key: slotsPrefix + endpoint, Version: version, Value: raw, DataCentre: centre})
}
