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
	// takeCall is for a leader's answer, which takes a few milliseconds; a request waits for it.
	takeCall = 100 * time.Millisecond
	// takeAgain is how long an endpoint is passed over after its leader gave no answer: boxes agree
	// on another one within a second, and each request of the time would wait for takeCall.
	takeAgain = 200 * time.Millisecond
	// deniedMost is the longest that a box passes an endpoint over by one answer of its leader,
	// which may be less than what that tells callers: other boxes may have left room since.
	deniedMost = 100 * time.Millisecond
	// spareAgain is between two questions of a box for what others leave of an endpoint's limit: it is of
	// little use, and 380 boxes ask one leader.
	spareAgain = time.Second
	// limitLine is between two lines about one endpoint's limit, and between two facts that tell all
	// boxes a new value of it: it may change with each answer, and only who counts needs the value.
	limitLine = time.Second
	// limitPart is the part of a limit by which it must have changed for all boxes to be told.
	limitPart = 0.25
)

// limits is the endpoints that name how many requests they take from all boxes together. The box that
// leads an endpoint's data centre counts for it; the others tell it what they hear, ask it before each
// send, and know by a fact which endpoints to ask for.
type limits struct {
	node    *Node
	counter ratelimit.Limiter // for the endpoints of the data centres that this box leads
	wake    chan struct{}     // holds one when a word is to be told

	mu     sync.Mutex
	known  map[string]*limited // by endpoint; mu is not held while facts are merged
	unread time.Time           // when a line last told of a limit that can't be read
}

// limited is an endpoint that names a limit, or did.
type limited struct {
	word   ratelimit.Observation // the latest, by an answer or by a fact
	untold bool                  // its leader has not been told of word
	line   time.Time             // when a line last told of it
	fact   ratelimit.Limit       // by the last fact
	factAt time.Time
	denied denial
	counts LimitCounts
}

// denial is a leader's answer that an endpoint takes no more, which stands for later requests of the
// same kind, and for all that would get less.
type denial struct {
	until time.Time
	back  time.Time // when callers are told to come back
	want  ratelimit.Request
}

// LimitCounts is what one box did with an endpoint that names a limit, since it named one first.
type LimitCounts struct {
	Sent    int64 `json:"sent"`    // requests to it
	Granted int64 `json:"granted"` // by the leader of its data centre
	Denied  int64 `json:"denied"`  // that went elsewhere, or were refused
}

func newLimits(n *Node) *limits {
	return &limits{node: n, wake: make(chan struct{}, 1), known: make(map[string]*limited)}
}

// HasLimit implements forward.Limits.
func (s *limits) HasLimit(endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[endpoint]
	return k != nil && k.word.Limit.IsSet()
}

// RequestSent implements forward.Limits.
func (s *limits) RequestSent(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.known[endpoint]; k != nil {
		k.counts.Sent++
	}
}

// ObserveLimit implements forward.Limits.
func (s *limits) ObserveLimit(endpoint string, l ratelimit.Limit, sent time.Time) {
	now := clock.Now()
	w := ratelimit.NewObservation(l, sent, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.learnLocked(endpoint, w, now) {
		return
	}
	s.known[endpoint].untold = true
	select {
	case s.wake <- struct{}{}:
	default: // it will look anyway
	}
}

// learnLocked takes in a word; it tells whether the limit is another one now.
func (s *limits) learnLocked(endpoint string, w ratelimit.Observation, now time.Time) bool {
	if s.known[endpoint] == nil && !w.Limit.IsSet() {
		return false
	}
	k := s.entryLocked(endpoint)
	if !w.At.After(k.word.At) {
		return false
	}
	before := k.word.Limit
	k.word = w
	if before == w.Limit {
		return false
	}
	k.denied = denial{}
	if before.IsSet() && w.Limit.IsSet() && now.Sub(k.line) < limitLine {
		return true
	}
	k.line = now
	line := "Endpoint names a limit"
	if !w.Limit.IsSet() {
		line = "Endpoint names no limit any more"
	}
	s.node.Log.Info(line, "endpoint", endpoint, "a_second", w.Limit.Rate(), "sent", k.counts.Sent, "granted", k.counts.Granted, "denied", k.counts.Denied)
	return true
}

// InvalidLimit implements forward.Limits.
func (s *limits) InvalidLimit(endpoint string, err error) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unread.IsZero() && now.Sub(s.unread) < limitLine {
		return
	}
	s.unread = now
	s.node.Log.Info("Endpoint's limit can't be read; what was known before stays", "endpoint", endpoint, "err", err.Error())
}

// Acquire implements forward.Limits.
func (s *limits) Acquire(ctx context.Context, e *topology.Endpoint, want ratelimit.Request) forward.AcquireResult {
	now := clock.Now()
	word, denied := s.look(e.ID(), want, now)
	if denied > 0 {
		return forward.AcquireResult{Wait: denied}
	}
	q := &wire.TakeRequest{
		Box:            s.node.peers.box,
		Word:           wire.NewLimitWord(e.ID(), word, now),
		Rank:           int32(want.Rank),
		PatienceMicros: want.MaxWait.Microseconds(),
		Spare:          want.SpareOnly,
	}
	a := s.ask(ctx, e.DataCentre(), q)
	return s.taken(e.ID(), word, a, want, clock.Now())
}

// look returns what is known of an endpoint's limit, and how long a request has to wait by what its
// leader answered before; zero: the leader is asked.
func (s *limits) look(endpoint string, want ratelimit.Request, now time.Time) (w ratelimit.Observation, denied time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[endpoint]
	if k == nil {
		return w, 0
	}
	if now.Before(k.denied.until) && !want.Before(k.denied.want) {
		k.counts.Denied++
		return k.word, max(k.denied.back.Sub(now), time.Millisecond)
	}
	return k.word, 0
}

// ask asks the leader of a data centre; one that gives no answer leads nothing.
func (s *limits) ask(ctx context.Context, centre string, q *wire.TakeRequest) *wire.TakeReply {
	m, ok := s.node.peers.clusterView().leader(centre)
	if !ok {
		return &wire.TakeReply{}
	}
	if m.Name() == s.node.peers.box {
		return s.answer(q, clock.Now())
	}
	call, cancel := context.WithTimeout(ctx, takeCall)
	defer cancel()
	a, err := wire.NewShareClient(s.node.peers.dialer.Conn(m.Address())).Take(call, q)
	if err != nil {
		s.node.Log.V(1).Info("Leader does not answer for an endpoint that names a limit", "leader", m.Name(), "err", err.Error())
		return &wire.TakeReply{}
	}
	return a
}

// taken notes what became of a request for an endpoint. Where nobody counts for the endpoint it gets none:
// each box alone can't know what the others send.
func (s *limits) taken(endpoint string, asked ratelimit.Observation, a *wire.TakeReply, want ratelimit.Request, now time.Time) forward.AcquireResult {
	wait := time.Duration(a.GetWaitMicros()) * time.Microsecond
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[endpoint]
	if k == nil { // it is gone meanwhile
		return forward.AcquireResult{OK: a.GetLeads() && (a.GetGranted() || !a.GetLimited()), Wait: wait}
	}
	switch {
	case !a.GetLeads():
		k.counts.Denied++
		k.denied = denial{until: now.Add(takeAgain), back: now.Add(takeAgain)}
		return forward.AcquireResult{Wait: takeAgain}
	case !a.GetLimited():
		if k.word == asked { // its leader knows better
			k.word = ratelimit.Observation{At: now}
		}
		return forward.AcquireResult{OK: true}
	case a.GetGranted():
		k.counts.Granted++
		return forward.AcquireResult{OK: true, Wait: wait}
	}
	k.counts.Denied++
	again := min(wait, deniedMost)
	if want.SpareOnly {
		again = spareAgain
	}
	k.denied = denial{until: now.Add(again), back: now.Add(wait), want: want}
	return forward.AcquireResult{Wait: wait}
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
	k.fact, k.factAt = limit, now
	s.learnLocked(endpoint, ratelimit.Observation{Limit: limit, At: now}, now)
}

func (s *limits) entryLocked(endpoint string) *limited {
	k := s.known[endpoint]
	if k == nil {
		k = new(limited)
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
		list[e] = limitReport{Named: k.word.Limit.IsSet(), Rate: k.word.Limit.Rate(), LimitCounts: k.counts}
	}
	return list
}
