// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"time"
)

func (s *server) handleOrder(c net.Conn, body []byte) bool {
	var o order
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == nil {
		writeResponse(c, 400, nil, nil)
		return true
	}
	if s.onOrder != nil && !s.onOrder(o) {
		return false
	}
	status := s.carryOut(o)
	s.rig.ordered(s, o, status)
	writeResponse(c, status, nil, nil)
	return true
}

func (s *server) carryOut(o order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *o.Fence < s.fence {
		return 412
	}
	s.fence = *o.Fence
	if o.Expected != nil && *o.Expected != s.sequence {
		return 409
	}
	if o.Adapter == "" {
		return s.modelOrderLocked(o)
	}
	if !s.models[o.Model] {
		return 400
	}
	if o.Operation == "unloading" {
		if _, held := s.adapters[o.Adapter]; held {
			delete(s.adapters, o.Adapter)
			s.sequence++
		}
		return 200
	}
	version := max(o.Version, 1)
	if v := s.rig.latest(o.Adapter); o.Version == 0 {
		version = v
	}
	if v, held := s.adapters[o.Adapter]; held && v == version {
		return 200
	}
	if _, loading := s.pending[o.Adapter]; loading {
		return 202
	}
	if len(s.pending) >= 4 {
		return 409
	}
	if _, held := s.adapters[o.Adapter]; !held && len(s.adapters)+len(s.pending) >= adapterSlots {
		if !s.overfilled {
			s.overfilled = true
			s.rig.broken("LIMIT", fmt.Sprintf("server %s is ordered beyond its adapter slots by %s", s.id, o.Holder))
		}
	}
	s.sequence++
	s.pending[o.Adapter] = version
	born := s.born
	time.AfterFunc(100*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.born != born || s.ended {
			return
		}
		delete(s.pending, o.Adapter)
		s.adapters[o.Adapter] = version
	})
	return 202
}

func (s *server) modelOrderLocked(o order) int {
	if s.loading != "" {
		return 409
	}
	if o.Operation == "unloading" {
		if s.models[o.Model] {
			delete(s.models, o.Model)
			s.adapters = make(map[string]int64)
			s.sequence++
		}
		return 200
	}
	if s.models[o.Model] {
		return 200
	}
	s.sequence++
	s.loading = o.Model
	born := s.born
	time.AfterFunc(800*time.Millisecond, func() {
		s.mu.Lock()
		s.loading = ""
		alive := s.born == born && !s.ended
		if alive {
			s.models[o.Model] = true
		}
		s.mu.Unlock()
		if alive {
			s.beat()
		}
	})
	return 202
}
