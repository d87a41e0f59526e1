// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"
	"sync"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/logging"
	"cairnwick.example/placement"
	"cairnwick.example/quarantine"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
)

// state applies the facts in the table to the view.
type state struct {
	view    *topology.View
	table   *share.Table
	decoder Decoder
	fences  *placement.Fences
	log     logr.Logger
	limits  *limits // nil: limits are not kept

	configs decodedConfigs
	slots   slots
	tracker quarantine.Tracker // counts requests and parts of prompts under which endpoints ended
	// disputed is called with quarantined parts to which an endpoint has recently begun to respond. It must not block.
	disputed func(parts []quarantine.Fingerprint, now time.Time)
	// quarantined is called with each request or part that is quarantined. It must not block.
	quarantined func(c quarantine.Fingerprint)

	mu              sync.Mutex
	incarnations    map[string]string // the endpoint ID that each entry key holds now, one ID per incarnation
	undecodedConfig uint64            // revision of the latest configuration if it cannot be decoded, otherwise zero
}

// configUnreadable reports whether a configuration newer than the one in force could not be decoded.
func (s *state) configUnreadable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.undecodedConfig != 0
}

// apply updates the view from accepted items. An item that cannot be decoded is ignored and the last
// valid one stays in force.
func (s *state) apply(items []*wire.Item) {
	updated := make(map[string]bool) // endpoints for which slots were received
	for _, i := range items {
		if rest, ok := strings.CutPrefix(i.GetKey(), slotsPrefix); ok {
			updated[s.applySlot(rest, i)] = true
			continue
		}
		if rest, ok := strings.CutPrefix(i.GetKey(), quarantinePrefix); ok {
			s.applyQuarantine(rest, i)
			continue
		}
		if rest, ok := strings.CutPrefix(i.GetKey(), suspicionPrefix); ok {
			s.applySuspicion(rest)
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
			s.log.Info("Failed to decode fact; keeping the last valid one", "key", i.GetKey(), "version", i.GetVersion(), "err", logging.ShortError(err).Error())
		}
	}
	for id := range updated {
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
		s.view.SetLatestVersion(a, v)
		s.log.Info("Adapter has a new version", "adapter", a.String(), "adapter_version", v, "revision", revisionOf(i).String())
	}
	return nil
}

func (s *state) applyConfig(i *wire.Item, value []byte) error {
	if i.GetRemoved() {
		return nil // a removal leaves the last configuration in force
	}
	d := s.configs.decode(s.decoder, value)
	s.mu.Lock()
	s.undecodedConfig = 0
	if d.err != nil {
		s.undecodedConfig = i.GetVersion()
	}
	s.mu.Unlock()
	if d.err != nil {
		return d.err
	}
	before := s.view.Config()
	if s.view.SetConfig(d.config) {
		s.log.Info("Configuration is in force", "config", d.config.Version(), "revision", revisionOf(i).String(), "bytes", len(value), "decode_ms", d.took.Milliseconds())
		s.logKeys(before, d.config)
	}
	return nil
}

// applyEndpoint applies the entry of an endpoint. An entry that cannot be decoded makes the endpoint
// unused, even if it replaces a valid one: programs other than the endpoint may have written it, and a
// live endpoint writes its own entry again within a heartbeat.
func (s *state) applyEndpoint(i *wire.Item, value []byte) error {
	if i.GetRemoved() {
		s.setIncarnation(i, "", "Endpoint is gone")
		return nil
	}
	e, err := s.decoder.Endpoint(i.GetKey(), value)
	if err != nil {
		s.setIncarnation(i, "", "Failed to decode endpoint entry; the endpoint is not used")
		return err
	}
	id := e.ID()
	s.setIncarnation(i, id, "Endpoint restarted")
	old := s.view.Endpoint(id)
	s.view.SetEndpoint(e)
	if known := s.view.Endpoint(id); old == nil || old.Draining() != known.Draining() {
		s.log.Info("Endpoint is known", "endpoint", id, "address", e.Address(), "endpoint_data_centre", e.DataCentre(),
			"software", e.Software(), "draining", known.Draining(), "revision", revisionOf(i).String())
	}
	if !s.updateHeld(id) {
		s.view.SetAdapterStates(id, publishedAdapters(e)) // until its owner publishes the slots
	}
	return nil
}

// setIncarnation records the endpoint ID in the entry with i's key; empty if there is none. All state
// of the previous incarnation is dropped, since a restarted endpoint holds no adapters and runs no
// requests of it.
func (s *state) setIncarnation(i *wire.Item, id, why string) {
	s.mu.Lock()
	if s.incarnations == nil {
		s.incarnations = make(map[string]string)
	}
	before := s.incarnations[i.GetKey()]
	s.incarnations[i.GetKey()] = id
	if id == "" {
		delete(s.incarnations, i.GetKey())
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

// publishedAdapters returns the adapters in an endpoint's own entry. The entry may be outdated; the
// endpoint reports its adapters when it is asked.
func publishedAdapters(e *topology.Endpoint) map[topology.Adapter]topology.AdapterState {
	held := make(map[topology.Adapter]topology.AdapterState, len(e.Adapters()))
	for a, v := range e.Adapters() {
		held[a] = topology.AdapterState{Version: v, Ready: true}
	}
	return held
}

// maxKeyChangeLines limits the log lines about changed keys for one configuration.
const maxKeyChangeLines = 32

// loggedDigestBytes is the length of a key digest in log lines, long enough to identify the key.
const loggedDigestBytes = 6

// logKeys logs the keys that a configuration added or removed.
func (s *state) logKeys(before, after *topology.Config) {
	if before == nil {
		s.log.Info("Organisations are configured", "config", after.Version(), "organisations", len(after.Callers().All()))
		return
	}
	changes := access.KeyChanges(before.Callers(), after.Callers())
	for i, c := range changes {
		if i == maxKeyChangeLines {
			s.log.Info("Further key changes are not logged", "config", after.Version(), "keys", len(changes)-maxKeyChangeLines)
			return
		}
		s.log.Info("Key stands for another organisation", "config", after.Version(), "key_digest", c.Key.Short(loggedDigestBytes),
			"before", c.Before, "now", c.After)
	}
}
