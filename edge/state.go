// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"
	"sync"

	"cairnwick.example/access"
	"cairnwick.example/placement"
	"cairnwick.example/quarantine"
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
	limits  *limits // nil: none are kept

	slots   slots
	tracker quarantine.Tracker // of requests under which endpoints ended

	mu           sync.Mutex
	lives        map[string]string // by the key of an endpoint's fact: the ID of the life that it named last
	unreadConfig uint64            // revision of the latest configuration that can't be read; zero: the latest one could
}

// unread reports whether a newer configuration than that in force could not be read.
func (s *state) unread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreadConfig != 0
}

// apply takes accepted items into the view. One that cannot be read changes
// nothing: the last good one stays.
func (s *state) apply(items []*wire.Item) {
	touched := make(map[string]bool) // endpoints whose slots were received
	for _, i := range items {
		if rest, ok := strings.CutPrefix(i.GetKey(), slotsPrefix); ok {
			touched[s.applySlot(rest, i)] = true
			continue
		}
		if rest, ok := strings.CutPrefix(i.GetKey(), quarantinePrefix); ok {
			s.applyQuarantine(rest, i)
			continue
		}
		if rest, ok := strings.CutPrefix(i.GetKey(), leavingPrefix); ok {
			s.applyLeaving(rest)
			continue
		}
		if rest, ok := strings.CutPrefix(i.GetKey(), limitsPrefix); ok {
			if s.limits != nil {
				s.limits.applyLimit(rest, i)
			}
			continue
		}
		if err := s.applyOne(i); err != nil {
			s.log.Info("Fact can't be read; the last good one stays", "key", i.GetKey(), "version", i.GetVersion(), "err", err.Error())
		}
	}
	for id := range touched {
		s.updateHeld(id)
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
		s.log.Info("Adapter has a new version", "adapter", a.String(), "adapter_version", v, "revision", revisionOf(i).String())
	}
	return nil
}

func (s *state) applyConfig(i *wire.Item, value []byte) error {
	if i.GetRemoved() {
		return nil // the last one stays in force
	}
	c, err := s.decoder.Config(value)
	s.mu.Lock()
	s.unreadConfig = 0
	if err != nil {
		s.unreadConfig = i.GetVersion()
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	before := s.view.Config()
	if s.view.SetConfig(c) {
		s.log.Info("Configuration is in force", "config", c.Version(), "revision", revisionOf(i).String())
		s.logKeys(before, c)
	}
	return nil
}

// applyEndpoint takes in what the source says under an endpoint's key. What can't be read names no
// endpoint to use, also where it takes the place of a good entry: other writers than endpoints may
// write there, and an endpoint that lives writes its own entry again within a heartbeat.
func (s *state) applyEndpoint(i *wire.Item, value []byte) error {
	if i.GetRemoved() {
		s.endLife(i, "", "Endpoint is gone")
		return nil
	}
	e, err := s.decoder.Endpoint(i.GetKey(), value)
	if err != nil {
		s.endLife(i, "", "Endpoint's entry can't be read; the endpoint is not used")
		return err
	}
	id := e.ID()
	s.endLife(i, id, "Endpoint has started again")
	old := s.view.Endpoint(id)
	s.view.SetEndpoint(e)
	if known := s.view.Endpoint(id); old == nil || old.Draining() != known.Draining() {
		s.log.Info("Endpoint is known", "endpoint", id, "address", e.Address(), "endpoint_data_centre", e.DataCentre(),
			"draining", known.Draining(), "revision", revisionOf(i).String())
	}
	if !s.updateHeld(id) {
		s.view.SetHeld(id, heldLongAgo(e)) // better than nothing until its owner publishes
	}
	return nil
}

// endLife records which life of an endpoint its key names now, empty for none. All that was
// known of the life before is forgotten: one that started again holds and runs nothing of it.
func (s *state) endLife(i *wire.Item, id, why string) {
	s.mu.Lock()
	if s.lives == nil {
		s.lives = make(map[string]string)
	}
	before := s.lives[i.GetKey()]
	s.lives[i.GetKey()] = id
	if id == "" {
		delete(s.lives, i.GetKey())
	}
	s.mu.Unlock()
	if before == "" || before == id {
		return
	}
	s.view.RemoveEndpoint(before)
	s.forgetSlots(before)
	if s.limits != nil {
		s.limits.forget(before)
	}
	s.log.Info(why, "endpoint", before, "revision", revisionOf(i).String())
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

// mostKeyLines bounds the lines about keys that one configuration brings.
const mostKeyLines = 32

// digestShown is how many bytes of a key's digest a log line shows: enough to find it by.
const digestShown = 6

// logKeys logs which keys came and went with a configuration.
func (s *state) logKeys(before, after *topology.Config) {
	if before == nil {
		s.log.Info("Organisations may call", "config", after.Version(), "organisations", len(after.Callers().All()))
		return
	}
	changes := access.KeyChanges(before.Callers(), after.Callers())
	for i, c := range changes {
		if i == mostKeyLines {
			s.log.Info("Further keys came or went", "config", after.Version(), "keys", len(changes)-mostKeyLines)
			return
		}
		s.log.Info("Key stands for another organisation", "config", after.Version(), "key_digest", c.Key.Short(digestShown),
			"before", c.Before, "now", c.After)
	}
}
