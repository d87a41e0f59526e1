// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"

	"cairnwick.example/placement"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
)

// state keeps the view as the table says.
type state struct {
	view    *topology.View
	table   *share.Table
	decoder Decoder
	fences  *placement.Fences
	log     logr.Logger

	slots slots
}

// apply takes accepted items into the view. One that cannot be read changes
// nothing: the last good one stays.
func (s *state) apply(items []*wire.Item) {
	touched := make(map[string]bool) // endpoints whose slots were told
	for _, i := range items {
		if rest, ok := strings.CutPrefix(i.GetKey(), slotsPrefix); ok {
			touched[s.applySlot(rest, i)] = true
			continue
		}
		if err := s.applyOne(i); err != nil {
			s.log.Info("Fact can't be read; the last good one stays", "key", i.GetKey(), "version", i.GetVersion(), "err", err.Error())
		}
	}
	for id := range touched {
		s.showSlots(id)
	}
}

func (s *state) applyOne(i *wire.Item) error {
	value, err := share.Value(i)
	if err != nil {
		return err
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
		s.forgetSlots(id)
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
	if !s.showSlots(id) {
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
