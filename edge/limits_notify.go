// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/member"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
)

// maxReportedLimits bounds the number of limits in one message.
const maxReportedLimits = 4096

// run reports announced limits to the leaders, and removes the state of endpoints that are gone, until ctx ends.
func (s *limits) run(ctx context.Context) error {
	return notifier{Wake: s.wake, Send: s.notifyLeaders, RetryDelay: noLeaderInterval, Expire: s.forgetGone}.Run(ctx)
}

// forgetGone removes the state of endpoints that are not in the view: a box that had not yet learned that an endpoint
// ended may have published its limit afterwards.
func (s *limits) forgetGone() {
	s.mu.Lock()
	var gone []string
	for e := range s.known {
		if s.node.view.Endpoint(e) == nil {
			gone = append(gone, e)
		}
	}
	for e := range s.loads {
		if s.known[e] == nil && s.node.view.Endpoint(e) == nil {
			gone = append(gone, e)
		}
	}
	s.mu.Unlock()
	for _, e := range gone {
		s.forget(e)
	}
}

// limitsReport holds the limits that have to be reported to one leader.
type limitsReport struct {
	leader member.Member
	limits map[string]ratelimit.Observation // by endpoint
}

// notifyLeaders sends pending reports to the leaders. It reports whether all were delivered.
func (s *limits) notifyLeaders(ctx context.Context) bool {
	list, complete := s.pendingReports()
	answers := make(chan bool, len(list))
	for _, u := range list {
		go func() { answers <- s.notifyLeader(ctx, u) }()
	}
	for range list {
		complete = <-answers && complete
	}
	return complete
}

// pendingReports returns the pending reports by the leader's name. complete is false if a data centre has no known
// leader.
func (s *limits) pendingReports() (list map[string]limitsReport, complete bool) {
	view := s.node.peers.clusterView()
	list = make(map[string]limitsReport)
	complete = true
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, k := range s.known {
		e := s.node.view.Endpoint(id)
		if !k.unreported || e == nil {
			continue
		}
		m, ok := view.commander(e.DataCentre())
		if !ok {
			complete = false
			continue
		}
		u, known := list[m.Name()]
		if !known {
			u = limitsReport{leader: m, limits: make(map[string]ratelimit.Observation)}
			list[m.Name()] = u
		}
		u.limits[id] = k.latest
	}
	return list, complete
}

// notifyLeader sends a report to one leader, in as many messages as it takes. It reports whether that box leads all
// the endpoints in it and accepted it.
func (s *limits) notifyLeader(ctx context.Context, u limitsReport) bool {
	accepted := true
	for ids := range slices.Chunk(slices.Collect(maps.Keys(u.limits)), maxReportedLimits) {
		now := clock.Now()
		q := &wire.LimitsRequest{Box: s.node.peers.box}
		q.Words = s.loadReports(ids, u.limits, now)
		if !s.sendReport(ctx, u.leader, q, now).GetLeads() {
			accepted = false
			s.markUnreported(ids)
		}
	}
	return accepted
}

// loadReports returns the messages about endpoints, and notes that their loads are being reported.
func (s *limits) loadReports(ids []string, observed map[string]ratelimit.Observation, now time.Time) []*wire.LimitWord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*wire.LimitWord
	for _, id := range ids {
		if k := s.known[id]; k != nil {
			k.unreported = false // a change after this is reported again
		}
		w := s.loadReportLocked(id, observed[id], now)
		if l := s.loads[id]; l != nil {
			w.InFlight += int32(len(l.asking)) // it may have been granted
		}
		list = append(list, w)
	}
	return list
}

// markUnreported has endpoints reported again, since the leader did not accept the report.
func (s *limits) markUnreported(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if k := s.known[id]; k != nil {
			k.unreported = true
		}
	}
}

// sendReport delivers a request to a leader, which may be this box. If the call fails, Leads is false in the reply.
func (s *limits) sendReport(ctx context.Context, m member.Member, q *wire.LimitsRequest, now time.Time) *wire.LimitsReply {
	if m.Name() == s.node.peers.box {
		return s.handleReport(q, now)
	}
	call, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	a, err := wire.NewShareClient(s.node.peers.dialer.Conn(m.Address())).Limits(call, q)
	if err != nil {
		s.node.Log.Info("Reporting rate limits to the leader failed", "leader", m.Name(), "err", err.Error())
		return &wire.LimitsReply{}
	}
	return a
}

// handleReport applies the limits that a box reports, for the endpoints that this box leads. A message with more than
// maxReportedLimits is not confirmed, since the rest of it is ignored.
func (s *limits) handleReport(q *wire.LimitsRequest, now time.Time) *wire.LimitsReply {
	words := q.GetWords()
	a := &wire.LimitsReply{Leads: len(words) <= maxReportedLimits}
	for _, w := range words[:min(len(words), maxReportedLimits)] {
		if !s.leads(w, now) {
			a.Leads = false
			continue
		}
		s.receive(w, now)
		s.counter.Report(w.GetEndpoint(), w.Load(q.GetBox(), s.slots(w.GetEndpoint())), now)
	}
	return a
}
