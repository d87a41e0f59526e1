// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
)

// limitLine is between two lines about one endpoint's limit, which may change with each answer.
const limitLine = time.Second

// limits is the endpoints that name how many requests they take from all boxes together.
type limits struct {
	node *Node

	mu     sync.Mutex
	known  map[string]*limited // by endpoint
	unread time.Time           // when a line last told of a limit that can't be read
}

// limited is an endpoint that names a limit, or did.
type limited struct {
	limit ratelimit.Limit
	told  time.Time // when a line last told of it
	sent  int64     // requests of this box since it named one first
}

func newLimits(n *Node) *limits { return &limits{node: n, known: make(map[string]*limited)} }

// Sent implements forward.Limits.
func (s *limits) Sent(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.known[endpoint]; k != nil {
		k.sent++
	}
}

// Said implements forward.Limits.
func (s *limits) Said(endpoint string, l ratelimit.Limit, _ time.Time) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[endpoint]
	if k == nil {
		if !l.Named() {
			return
		}
		k = new(limited)
		s.known[endpoint] = k
	}
	if k.limit == l {
		return
	}
	begins, ends := !k.limit.Named(), !l.Named()
	k.limit = l
	if !begins && !ends && now.Sub(k.told) < limitLine {
		return
	}
	k.told = now
	s.node.Log.Info("Endpoint names a limit", "endpoint", endpoint, "named", l.Named(), "a_second", l.Rate(), "sent", k.sent)
}

// Unread implements forward.Limits.
func (s *limits) Unread(endpoint string, err error) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unread.IsZero() && now.Sub(s.unread) < limitLine {
		return
	}
	s.unread = now
	s.node.Log.Info("Endpoint's limit can't be read; what was known before stays", "endpoint", endpoint, "err", err.Error())
}

// limitReport is what the metrics tell of one endpoint that names a limit, or did.
type limitReport struct {
	Named bool    `json:"named"`
	Rate  float64 `json:"a_second"`
	Sent  int64   `json:"sent"`
}

func (s *limits) report() map[string]limitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]limitReport, len(s.known))
	for e, k := range s.known {
		list[e] = limitReport{Named: k.limit.Named(), Rate: k.limit.Rate(), Sent: k.sent}
	}
	return list
}

// forget drops what is known of an endpoint that is gone: each life names its own limit.
func (s *limits) forget(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, endpoint)
}
