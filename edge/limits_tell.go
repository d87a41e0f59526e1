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

// mostWords bounds what one message may hold: endpoints that name limits.
const mostWords = 4096

// run tells leaders what endpoints said of their limits, and forgets endpoints that are gone, until
// ctx ends.
func (s *limits) run(ctx context.Context) error {
	return notifier{Wake: s.wake, Send: s.tell, RetryDelay: leaderAgain, Expire: s.forgetGone}.Run(ctx)
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

// untoldWords is what one leader is to be told.
type untoldWords struct {
	leader member.Member
	words  map[string]ratelimit.Observation // by endpoint
}

// tell tells each leader what it has not been told. It returns whether all were.
func (s *limits) tell(ctx context.Context) bool {
	list, complete := s.untold()
	answers := make(chan bool, len(list))
	for _, u := range list {
		go func() { answers <- s.tellOne(ctx, u) }()
	}
	for range list {
		complete = <-answers && complete
	}
	return complete
}

// untold returns what leaders are to be told, by leader; complete is false where one is not known.
func (s *limits) untold() (list map[string]untoldWords, complete bool) {
	view := s.node.peers.clusterView()
	list = make(map[string]untoldWords)
	complete = true
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, k := range s.known {
		e := s.node.view.Endpoint(id)
		if !k.untold || e == nil {
			continue
		}
		m, ok := view.leader(e.DataCentre())
		if !ok {
			complete = false
			continue
		}
		u, known := list[m.Name()]
		if !known {
			u = untoldWords{leader: m, words: make(map[string]ratelimit.Observation)}
			list[m.Name()] = u
		}
		u.words[id] = k.word
	}
	return list, complete
}

// tellOne tells one leader; it returns whether that one leads and has heard.
func (s *limits) tellOne(ctx context.Context, u untoldWords) bool {
	now := clock.Now()
	q := &wire.LimitsRequest{Box: s.node.peers.box}
	for id, w := range u.words {
		q.Words = append(q.Words, wire.NewLimitWord(id, w, now))
	}
	a := s.sendWords(ctx, u.leader, q, now)
	if !a.GetLeads() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range u.words {
		if k := s.known[id]; k != nil && k.word == w {
			k.untold = false
		}
	}
	return true
}

// sendWords brings words to a leader, which may be this box; one that gives no answer leads nothing.
func (s *limits) sendWords(ctx context.Context, m member.Member, q *wire.LimitsRequest, now time.Time) *wire.LimitsReply {
	if m.Name() == s.node.peers.box {
		return s.hearAll(q, now)
	}
	call, cancel := context.WithTimeout(ctx, settleCall)
	defer cancel()
	a, err := wire.NewShareClient(s.node.peers.dialer.Conn(m.Address())).Limits(call, q)
	if err != nil {
		s.node.Log.Info("Leader was not told what endpoints say of their limits", "leader", m.Name(), "err", err.Error())
		return &wire.LimitsReply{}
	}
	return a
}

// hearAll takes in what a box tells of the endpoints for which this one counts.
func (s *limits) hearAll(q *wire.LimitsRequest, now time.Time) *wire.LimitsReply {
	a := &wire.LimitsReply{Leads: true}
	for _, w := range q.GetWords()[:min(len(q.GetWords()), mostWords)] {
		if !s.leads(w.GetEndpoint(), now) {
			a.Leads = false
			continue
		}
		s.hear(w, now)
	}
	return a
}
