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

// limitsPrefix is the key prefix of facts with rate limits that endpoints announce; the endpoint's ID follows.
const limitsPrefix = "limits/"

const (
	// takeTimeout is how long a request waits for the leader, which normally answers within a few milliseconds. A leader
	// that has used up its processor share is suspended for 100 ms, and answers then: with a shorter timeout all
	// requests to its endpoints were denied meanwhile.
	takeTimeout = 150 * time.Millisecond
	// noLeaderDenialTime is how long an endpoint is skipped after its leader did not answer. Boxes agree on a new
	// leader within a second; without the skip each request in that time would wait for takeTimeout.
	noLeaderDenialTime = 200 * time.Millisecond
	// maxDenialTime is the longest that one denial by the leader is reused for later requests. It may be shorter than
	// the retry delay that callers are given, since other boxes may have left capacity unused in the meantime.
	maxDenialTime = 100 * time.Millisecond
	// spareDenialTime is how long a denial of spare capacity is reused. Spare capacity is of little use, and up to
	// 380 boxes ask one leader for it.
	spareDenialTime = time.Second
	// limitUpdateInterval is the shortest time between two log lines, and between two published values, of one
	// endpoint's limit: it may change with each response, and only the leader needs each exact value.
	limitUpdateInterval = time.Second
	// loadReportDelay is how long changes of a box's load at endpoints with a limit of rejections are batched.
	loadReportDelay = 50 * time.Millisecond
	// limitChangeRatio is the relative change of a limit from which on the new value is published to all boxes.
	limitChangeRatio = 0.25
)

// limits enforces the limits of requests and of rejections that endpoints announce for all boxes together. The box that
// commands an endpoint, below its leader, counts the requests to it; the other boxes report announcements and loads to the
// leader, ask it before each send, and learn from a published fact which endpoints are limited.
type limits struct {
	node    *Node
	counter ratelimit.Limiter // for endpoints that this box commands
	wake    chan struct{}     // signals that a limit has to be reported

	mu                 sync.Mutex
	known              map[string]*limitState           // by endpoint; mu must not be held while facts are merged, since applyLimit locks it
	loads              map[string]*endpointLoad         // by endpoint
	services           map[string]ratelimit.Observation // by service: the latest limit of rejections of any of its endpoints
	reportPending      bool                             // a wake-up for a changed load is scheduled
	unreadableLoggedAt time.Time                        // when an unreadable limit was last logged
}

// limitState is what this box knows of an endpoint that announces a limit or used to.
type limitState struct {
	latest      ratelimit.Observation // from a response or a published fact
	unreported  bool                  // latest has not been reported to the leader
	loggedAt    time.Time             // when a change was last logged
	published   ratelimit.Limit       // value of the last published fact
	publishedAt time.Time
	denied      denial
	counts      LimitCounts
}

// denial is a leader's answer that an endpoint has no capacity left. It also applies to later requests that rank no
// higher than the one that was denied.
type denial struct {
	until   time.Time
	retryAt time.Time // retry time for refused callers
	ask     ratelimit.Request
}

// LimitCounts counts this box's requests for an endpoint since it first announced a limit.
type LimitCounts struct {
	Sent    int64 `json:"sent"`    // requests sent to the endpoint
	Granted int64 `json:"granted"` // requests granted by the leader of its data centre
	Denied  int64 `json:"denied"`  // requests sent elsewhere or refused
}

func newLimits(n *Node) *limits {
	return &limits{
		node:     n,
		wake:     make(chan struct{}, 1),
		known:    make(map[string]*limitState),
		loads:    make(map[string]*endpointLoad),
		services: make(map[string]ratelimit.Observation),
	}
}

// HasLimit implements forward.Limits.
func (s *limits) HasLimit(endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestLocked(endpoint).Limit.IsSet()
}

// isFragile reports whether an endpoint limits the number of rejections.
func (s *limits) isFragile(endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestLocked(endpoint).Limit.IsFragile()
}

// latestLocked returns the latest known limit of an endpoint. One that has not answered yet, as after a restart, is taken to
// survive as few rejections as the others of its service.
func (s *limits) latestLocked(endpoint string) ratelimit.Observation {
	if k := s.known[endpoint]; k != nil {
		return k.latest
	}
	if e := s.node.view.Endpoint(endpoint); e != nil {
		return s.services[e.Service()]
	}
	return ratelimit.Observation{}
}

// observeServiceLocked records the limit of rejections that an endpoint of a service announced, or that it announced none.
func (s *limits) observeServiceLocked(endpoint string, w ratelimit.Observation) {
	e := s.node.view.Endpoint(endpoint)
	if e == nil {
		return
	}
	before, known := s.services[e.Service()]
	if known && !w.At.After(before.At) {
		return
	}
	if w.Limit.IsFragile() {
		s.services[e.Service()] = ratelimit.Observation{Limit: ratelimit.Limit{}.WithRejections(float64(w.Limit.Rejections())), At: w.At}
	} else if known {
		s.services[e.Service()] = ratelimit.Observation{At: w.At}
	}
}

// ObserveLimit implements forward.Limits.
func (s *limits) ObserveLimit(endpoint string, l ratelimit.Limit, sent time.Time) {
	now := clock.Now()
	w := ratelimit.NewObservation(l, sent, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeServiceLocked(endpoint, w)
	if !s.updateLocked(endpoint, w, now) {
		return
	}
	s.known[endpoint].unreported = true
	s.wakeUp()
}

// updateLocked applies an announcement unless a newer one is known. It reports whether the limit changed.
func (s *limits) updateLocked(endpoint string, w ratelimit.Observation, now time.Time) bool {
	if s.known[endpoint] == nil && !w.Limit.IsSet() {
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
	if before.IsSet() && w.Limit.IsSet() && now.Sub(k.loggedAt) < limitUpdateInterval {
		return true
	}
	k.loggedAt = now
	message := "Endpoint announced a rate limit"
	switch {
	case !w.Limit.IsSet() && before.HasRate():
		message = "Endpoint no longer announces a rate limit"
	case !w.Limit.IsSet():
		message = "Endpoint no longer announces a limit of rejections"
	case !w.Limit.HasRate():
		message = "Endpoint announced a limit of rejections"
	}
	s.node.Log.Info(message, "endpoint", endpoint, "a_second", w.Limit.Rate(), "rejections", w.Limit.Rejections(), "fragile", w.Limit.IsFragile(), "sent", k.counts.Sent, "granted", k.counts.Granted, "denied", k.counts.Denied)
	return true
}

// InvalidLimit implements forward.Limits.
func (s *limits) InvalidLimit(endpoint string, err error) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreadableLoggedAt.IsZero() && now.Sub(s.unreadableLoggedAt) < limitUpdateInterval {
		return
	}
	s.unreadableLoggedAt = now
	s.node.Log.Info("Failed to parse the endpoint's rate limit; keeping the last known one", "endpoint", endpoint, "err", err.Error())
}

// Acquire implements forward.Limits.
func (s *limits) Acquire(ctx context.Context, e *topology.Endpoint, want ratelimit.Request) (result forward.AcquireResult) {
	if !s.isFragile(e.ID()) {
		return s.ask(ctx, e, want)
	}
	if !s.startAsking(ctx, e.ID()) {
		return forward.AcquireResult{Wait: noLeaderDenialTime}
	}
	if alone, ok := s.acquireAlone(e, clock.Now()); ok {
		result = alone
	} else {
		result = s.ask(ctx, e, want)
	}
	s.stopAsking(e.ID(), result.OK)
	return result
}

// ask asks the leader for one request of an endpoint's limit, unless it has just denied such a request.
func (s *limits) ask(ctx context.Context, e *topology.Endpoint, want ratelimit.Request) forward.AcquireResult {
	now := clock.Now()
	latest, report, wait := s.cached(e.ID(), want, now)
	if wait > 0 {
		return forward.AcquireResult{Wait: wait}
	}
	q := &wire.TakeRequest{
		Box:            s.node.peers.box,
		Word:           report,
		Rank:           int32(want.Rank),
		PatienceMicros: want.MaxWait.Microseconds(),
		Spare:          want.SpareOnly,
	}
	a := s.askLeader(ctx, e.DataCentre(), q)
	return s.applyReply(e.ID(), latest, a, want, clock.Now())
}

// cached returns the latest known limit of an endpoint, the message with it and, if an earlier denial applies to the
// request, how long it has to wait. If that is zero the leader has to be asked.
func (s *limits) cached(endpoint string, want ratelimit.Request, now time.Time) (latest ratelimit.Observation, report *wire.LimitWord, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest = s.latestLocked(endpoint)
	report = s.loadReportLocked(endpoint, latest, now)
	if k := s.known[endpoint]; k != nil && now.Before(k.denied.until) && !want.Before(k.denied.ask) {
		k.counts.Denied++
		return latest, report, max(k.denied.retryAt.Sub(now), time.Millisecond)
	}
	return latest, report, 0
}

// askLeader asks the leader of a data centre. If there is none or it does not answer, Leads is false in the reply.
func (s *limits) askLeader(ctx context.Context, centre string, q *wire.TakeRequest) *wire.TakeReply {
	m, ok := s.node.peers.clusterView().commander(centre)
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
		s.node.Log.V(1).Info("Leader did not answer a request for rate-limited capacity", "leader", m.Name(), "err", err.Error())
		return &wire.TakeReply{}
	}
	return a
}

// applyReply records the leader's answer to a request. While an endpoint has no leader the request is denied, since
// a single box does not know how many requests the others send.
func (s *limits) applyReply(endpoint string, sent ratelimit.Observation, a *wire.TakeReply, want ratelimit.Request, now time.Time) forward.AcquireResult {
	wait := time.Duration(a.GetWaitMicros()) * time.Microsecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.GetLeads() && sent.Limit.IsFragile() {
		s.loadLocked(endpoint).aloneUntil = now.Add(noLeaderDenialTime)
	}
	k := s.known[endpoint]
	if k == nil { // the endpoint was removed in the meantime, or has not answered yet
		return forward.AcquireResult{OK: a.GetLeads() && (a.GetGranted() || !a.GetLimited()), Wait: wait}
	}
	switch {
	case !a.GetLeads():
		k.counts.Denied++
		if k.latest.Limit.IsFragile() && !k.latest.Limit.HasRate() {
			return forward.AcquireResult{Wait: noLeaderDenialTime} // the next request is decided without the leader
		}
		k.denied = denial{until: now.Add(noLeaderDenialTime), retryAt: now.Add(noLeaderDenialTime)}
		return forward.AcquireResult{Wait: noLeaderDenialTime}
	case !a.GetLimited():
		if k.latest == sent { // the leader knows that the limit has ended
			k.latest = ratelimit.Observation{At: now}
		}
		return forward.AcquireResult{OK: true}
	case a.GetGranted():
		k.counts.Granted++
		return forward.AcquireResult{OK: true, Wait: wait}
	}
	k.counts.Denied++
	reuse := min(wait, maxDenialTime)
	if want.SpareOnly {
		reuse = spareDenialTime
	}
	k.denied = denial{until: now.Add(reuse), retryAt: now.Add(wait), ask: want}
	return forward.AcquireResult{Wait: wait}
}

// applyLimit applies a fact with the limit of an endpoint, or with none after the limit ended.
func (s *limits) applyLimit(endpoint string, i *wire.Item) {
	var l wire.RateLimit
	if err := proto.Unmarshal(i.GetValue(), &l); err != nil {
		s.node.Log.Info("Failed to decode fact; keeping the last valid one", "key", i.GetKey(), "version", i.GetVersion(), "err", err.Error())
		return
	}
	now := clock.Now()
	limit := l.Limit()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.entryLocked(endpoint)
	k.published, k.publishedAt = limit, now
	s.observeServiceLocked(endpoint, ratelimit.Observation{Limit: limit, At: now})
	s.updateLocked(endpoint, ratelimit.Observation{Limit: limit, At: now}, now)
}

func (s *limits) entryLocked(endpoint string) *limitState {
	k := s.known[endpoint]
	if k == nil {
		k = new(limitState)
		s.known[endpoint] = k
	}
	return k
}

// forget removes the state of an endpoint that is gone. A restarted endpoint has another ID and announces its own
// limit.
func (s *limits) forget(endpoint string) {
	s.counter.Forget(endpoint)
	s.node.items.Discard(limitsPrefix + endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, endpoint)
	if l := s.loads[endpoint]; l != nil && l.inFlight == 0 && l.askers == 0 {
		delete(s.loads, endpoint)
	}
}

// limitReport is the entry of one endpoint in the metrics.
type limitReport struct {
	Named      bool    `json:"named"`
	Rate       float64 `json:"a_second"`
	Fragile    bool    `json:"fragile"`
	Rejections int     `json:"rejections"` // per second that it survives
	LimitCounts
}

func (s *limits) report() map[string]limitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]limitReport, len(s.known))
	for e, k := range s.known {
		list[e] = limitReport{Named: k.latest.Limit.HasRate(), Rate: k.latest.Limit.Rate(), Fragile: k.latest.Limit.IsFragile(),
			Rejections: k.latest.Limit.Rejections(), LimitCounts: k.counts}
	}
	return list
}
