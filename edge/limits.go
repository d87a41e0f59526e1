// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"google.golang.org/protobuf/proto"
)

// limitsPrefix begins the keys of the limits that endpoints name; the endpoint's ID follows.
const limitsPrefix = "limits/"

const (
	// takeTimeout is for a leader's answer, which takes a few milliseconds; a request waits for it.
	takeTimeout = 100 * time.Millisecond
	// noLeaderDenialTime is how long an endpoint is passed over after its leader gave no answer: boxes agree
	// on another one within a second, and each request of the time would wait for takeCall.
	noLeaderDenialTime = 200 * time.Millisecond
	// maxDenialTime is the longest that a box passes an endpoint over by one answer of its leader,
	// which may be less than what that tells callers: other boxes may have left room since.
	maxDenialTime = 100 * time.Millisecond
	// spareDenialTime is between two questions of a box for what others leave of an endpoint's limit: it is of
	// little use, and 380 boxes ask one leader.
	spareDenialTime = time.Second
	// limitUpdateInterval is between two lines about one endpoint's limit, and between two facts that tell all
	// boxes a new value of it: it may change with each answer, and only who counts needs the value.
	limitUpdateInterval = time.Second
	// limitChangeRatio is the part of a limit by which it must have changed for all boxes to be told.
	limitChangeRatio = 0.25
)

// limits is the endpoints that name how many requests they take from all boxes together. The box that
// leads an endpoint's data centre counts for it; the others tell it what they hear, ask it before each
// send, and know by a fact which endpoints to ask for.
type limits struct {
	node    *Node
	counter ratelimit.Counter // for the endpoints of the data centres that this box leads
	wake    chan struct{}     // holds one when a word is to be told

	mu                 sync.Mutex
	known              map[string]*limitState // by endpoint; mu is not held while facts are merged
	unreadableLoggedAt time.Time              // when a line last told of a limit that can't be read
}

// limitState is an endpoint that names a limit, or did.
type limitState struct {
	latest      ratelimit.Word  // the latest, by an answer or by a fact
	unreported  bool            // its leader has not been told of word
	loggedAt    time.Time       // when a line last told of it
	published   ratelimit.Limit // by the last fact
	publishedAt time.Time
	denied      denial
	counts      LimitCounts
}

// denial is a leader's answer that an endpoint takes no more, which stands for later requests of the
// same kind, and for all that would get less.
type denial struct {
	until   time.Time
	retryAt time.Time // when callers are told to come back
	ask     ratelimit.Ask
}

// LimitCounts is what one box did with an endpoint that names a limit, since it named one first.
type LimitCounts struct {
	Sent    int64 `json:"sent"`    // requests to it
	Granted int64 `json:"granted"` // by the leader of its data centre
	Denied  int64 `json:"denied"`  // that went elsewhere, or were refused
}

func newLimits(n *Node) *limits {
	return &limits{node: n, wake: make(chan struct{}, 1), known: make(map[string]*limitState)}
}

// Limited implements forward.Limits.
func (s *limits) Limited(endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[endpoint]
	return k != nil && k.latest.Limit.Named()
}

// Sent implements forward.Limits.
func (s *limits) Sent(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.known[endpoint]; k != nil {
		k.counts.Sent++
	}
}

// Said implements forward.Limits.
func (s *limits) Said(endpoint string, l ratelimit.Limit, sent time.Time) {
	now := clock.Now()
	w := ratelimit.NewWord(l, sent, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.updateLocked(endpoint, w, now) {
		return
	}
	s.known[endpoint].unreported = true
	select {
	case s.wake <- struct{}{}:
	default: // it will look anyway
	}
}

// updateLocked takes in a word; it tells whether the limit is another one now.
func (s *limits) updateLocked(endpoint string, w ratelimit.Word, now time.Time) bool {
	if s.known[endpoint] == nil && !w.Limit.Named() {
		return false
	}
	k := s.entryLocked(endpoint)
	if !w.At.After(k.latest.At) {
		return false
	}
	before := k.latest.Limit
	k.latest = w
	if before == w.Limit {
		return false
	}
	k.denied = denial{}
	if before.Named() && w.Limit.Named() && now.Sub(k.loggedAt) < limitUpdateInterval {
		return true
	}
	k.loggedAt = now
	line := "Endpoint names a limit"
	if !w.Limit.Named() {
		line = "Endpoint names no limit any more"
	}
	s.node.Log.Info(line, "endpoint", endpoint, "a_second", w.Limit.Rate(), "sent", k.counts.Sent, "granted", k.counts.Granted, "denied", k.counts.Denied)
	return true
}

// Unread implements forward.Limits.
func (s *limits) Unread(endpoint string, err error) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreadableLoggedAt.IsZero() && now.Sub(s.unreadableLoggedAt) < limitUpdateInterval {
		return
	}
	s.unreadableLoggedAt = now
	s.node.Log.Info("Endpoint's limit can't be read; what was known before stays", "endpoint", endpoint, "err", err.Error())
}

// Take implements forward.Limits.
func (s *limits) Take(ctx context.Context, e *topology.Endpoint, want ratelimit.Ask) forward.Taken {
	now := clock.Now()
	word, denied := s.cached(e.ID(), want, now)
	if denied > 0 {
		return forward.Taken{Wait: denied}
	}
	q := &wire.TakeRequest{
		Box:            s.node.peers.box,
		Word:           wire.NewLimitWord(e.ID(), word, now),
		Rank:           int32(want.Rank),
		PatienceMicros: want.Patience.Microseconds(),
		Spare:          want.Spare,
	}
	a := s.askLeader(ctx, e.DataCentre(), q)
	return s.applyReply(e.ID(), word, a, want, clock.Now())
}

// cached returns what is known of an endpoint's limit, and how long a request has to wait by what its
// leader answered before; zero: the leader is asked.
func (s *limits) cached(endpoint string, want ratelimit.Ask, now time.Time) (w ratelimit.Word, denied time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[endpoint]
	if k == nil {
		return w, 0
	}
	if now.Before(k.denied.until) && !want.Before(k.denied.ask) {
		k.counts.Denied++
		return k.latest, max(k.denied.retryAt.Sub(now), time.Millisecond)
	}
	return k.latest, 0
}

// askLeader asks the leader of a data centre; one that gives no answer leads nothing.
func (s *limits) askLeader(ctx context.Context, centre string, q *wire.TakeRequest) *wire.TakeReply {
	m, ok := s.node.peers.clusterView().leader(centre)
	if !ok {
		return &wire.TakeReply{}
	}
	if m.Name() == s.node.peers.box {
		return s.handleTake(q, clock.Now())
	}
	call, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	a, err := wire.NewShareClient(s.node.peers.dialer.Conn(m.Address())).Take(call, q)
	if err != nil {
		s.node.Log.V(1).Info("Leader does not answer for an endpoint that names a limit", "leader", m.Name(), "err", err.Error())
		return &wire.TakeReply{}
	}
	return a
}

// applyReply notes what became of a request for an endpoint. Where nobody counts for the endpoint it gets none:
// each box alone can't know what the others send.
func (s *limits) applyReply(endpoint string, asked ratelimit.Word, a *wire.TakeReply, want ratelimit.Ask, now time.Time) forward.Taken {
	wait := time.Duration(a.GetWaitMicros()) * time.Microsecond
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[endpoint]
	if k == nil { // it is gone meanwhile
		return forward.Taken{OK: a.GetLeads() && (a.GetGranted() || !a.GetLimited()), Wait: wait}
	}
	switch {
	case !a.GetLeads():
		k.counts.Denied++
		k.denied = denial{until: now.Add(noLeaderDenialTime), retryAt: now.Add(noLeaderDenialTime)}
		return forward.Taken{Wait: noLeaderDenialTime}
	case !a.GetLimited():
		if k.latest == asked { // its leader knows better
			k.latest = ratelimit.Word{At: now}
		}
		return forward.Taken{OK: true}
	case a.GetGranted():
		k.counts.Granted++
		return forward.Taken{OK: true, Wait: wait}
	}
	k.counts.Denied++
	again := min(wait, maxDenialTime)
	if want.Spare {
		again = spareDenialTime
	}
	k.denied = denial{until: now.Add(again), retryAt: now.Add(wait), ask: want}
	return forward.Taken{Wait: wait}
}

// applyLimit takes in a fact that an endpoint names a limit, or none any more.
func (s *limits) applyLimit(endpoint string, i *wire.Item) {
	var l wire.RateLimit
	if err := proto.Unmarshal(i.GetValue(), &l); err != nil {
		s.node.Log.Info("Fact can't be read; the last good one stays", "key", i.GetKey(), "version", i.GetVersion(), "err", err.Error())
		return
	}
	now := clock.Now()
	limit := l.Limit()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.entryLocked(endpoint)
	k.published, k.publishedAt = limit, now
	s.updateLocked(endpoint, ratelimit.Word{Limit: limit, At: now}, now)
}

func (s *limits) entryLocked(endpoint string) *limitState {
	k := s.known[endpoint]
	if k == nil {
		k = new(limitState)
		s.known[endpoint] = k
	}
	return k
}

// forget drops what is known of an endpoint that is gone: each life names its own limit.
func (s *limits) forget(endpoint string) {
	s.counter.Forget(endpoint)
	s.node.items.Forget(limitsPrefix + endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, endpoint)
}

// limitReport is what the metrics tell of one endpoint that names a limit, or did.
type limitReport struct {
	Named bool    `json:"named"`
	Rate  float64 `json:"a_second"`
	LimitCounts
}

func (s *limits) report() map[string]limitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]limitReport, len(s.known))
	for e, k := range s.known {
		list[e] = limitReport{Named: k.latest.Limit.Named(), Rate: k.latest.Limit.Rate(), LimitCounts: k.counts}
	}
	return list
}
