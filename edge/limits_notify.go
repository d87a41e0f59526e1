// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/member"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
)

// maxReportedLimits bounds what one message may hold: endpoints that name limits.
const maxReportedLimits = 4096

// run tells leaders what endpoints said of their limits, and forgets endpoints that are gone, until
// ctx ends.
func (s *limits) run(ctx context.Context) error {
	return teller{Wake: s.wake, Tell: s.notifyLeaders, Again: noLeaderInterval, Expire: s.forgetGone}.Run(ctx)
}

// forgetGone forgets endpoints that this box does not know: a box that had not heard of their end
// may have told of them later.
func (s *limits) forgetGone() {
	s.mu.Lock()
	var gone []string
	for e := range s.known {
		if s.node.view.Endpoint(e) == nil {
			gone = append(gone, e)
		}
	}
	s.mu.Unlock()
	for _, e := range gone {
		s.forget(e)
	}
}

// limitsReport is what one leader is to be told.
type limitsReport struct {
	leader member.Member
	limits map[string]ratelimit.Word // by endpoint
}

// notifyLeaders tells each leader what it has not been told. It returns whether all were.
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

// pendingReports returns what leaders are to be told, by leader; complete is false where one is not known.
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
		m, ok := view.leader(e.DataCentre())
		if !ok {
			complete = false
			continue
		}
		u, known := list[m.Name()]
		if !known {
			u = limitsReport{leader: m, limits: make(map[string]ratelimit.Word)}
			list[m.Name()] = u
		}
		u.limits[id] = k.latest
	}
	return list, complete
}

// notifyLeader tells one leader; it returns whether that one leads and has heard.
func (s *limits) notifyLeader(ctx context.Context, u limitsReport) bool {
	now := clock.Now()
	q := &wire.LimitsRequest{Box: s.node.peers.box}
	for id, w := range u.limits {
		q.Words = append(q.Words, wire.NewLimitWord(id, w, now))
	}
	a := s.sendReport(ctx, u.leader, q, now)
	if !a.GetLeads() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range u.limits {
		if k := s.known[id]; k != nil && k.latest == w {
			k.unreported = false
		}
	}
	return true
}

// sendReport brings words to a leader, which may be this box; one that gives no answer leads nothing.
func (s *limits) sendReport(ctx context.Context, m member.Member, q *wire.LimitsRequest, now time.Time) *wire.LimitsReply {
	if m.Name() == s.node.peers.box {
		return s.handleReport(q, now)
	}
	call, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	a, err := wire.NewShareClient(s.node.peers.dialer.Conn(m.Address())).Limits(call, q)
	if err != nil {
		s.node.Log.Info("Leader was not told what endpoints say of their limits", "leader", m.Name(), "err", err.Error())
		return &wire.LimitsReply{}
	}
	return a
}

// handleReport takes in what a box tells of the endpoints for which this one counts.
func (s *limits) handleReport(q *wire.LimitsRequest, now time.Time) *wire.LimitsReply {
	a := &wire.LimitsReply{Leads: true}
	for _, w := range q.GetWords()[:min(len(q.GetWords()), maxReportedLimits)] {
		if !s.leads(w.GetEndpoint(), now) {
			a.Leads = false
			continue
		}
		s.receive(w, now)
	}
	return a
}
