// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/clock"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// Bounds of values that gateways report. Larger ones are errors and would distort the model of all endpoints.
const (
	maxPromptTokens = 1 << 20
	maxFirstToken   = 10 * time.Minute
)

// unreadFactor is how many times its expected time a prompt counts as not yet read if no first token is reported.
// Only streams report it; half of the others are read later than expected.
const unreadFactor = 2

// trialWeight is how many observations one counts as that follows a pause: twice the prior of balance.Speeds. A slow
// endpoint gets a request every some seconds; with the weight 1, such trials would not show that it has recovered.
const trialWeight = 4

// lockedSpeeds predicts times to first token. It is safe for concurrent use; its lock is taken last.
type lockedSpeeds struct {
	mu     sync.Mutex
	speeds balance.Speeds
}

func (l *lockedSpeeds) observe(incarnation string, o balance.Observation, now time.Time) (slow, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.speeds.Prune(now) // also drops incarnations that have ended
	l.speeds.Observe(incarnation, o, now)
	return l.speeds.Changed(incarnation, now)
}

func (l *lockedSpeeds) predict(incarnation string, ahead, own int, now time.Time) (queue, rest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.speeds.Predict(incarnation, ahead, own, now)
}

func (l *lockedSpeeds) slowdown(incarnation string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.speeds.Slowdown(incarnation, now)
}

// incarnationLocked identifies the run of the engine, so that a restarted one counts as ordinary.
func (e *endpoint) incarnationLocked() string { return e.name + " " + e.bootID }

// promptTokens returns the bounded length of a request's prompt; at least 1, so that an unread one is seen.
func promptTokens(req *wire.AcquireRequest) int {
	return int(min(max(req.GetPromptTokens(), 1), maxPromptTokens))
}

// unreadTokensLocked returns the tokens of granted prompts that the endpoint has not read yet.
func (e *endpoint) unreadTokensLocked(now time.Time) int {
	tokens := 0
	for _, g := range e.grants {
		if !g.read && now.Before(g.readBy) {
			tokens += g.promptTokens
		}
	}
	return tokens
}

// trackPromptLocked records what is needed to learn from the first token of a request, where memory limits the
// endpoint. It is called before its grant is added.
func (s *Scheduler) trackPromptLocked(e *endpoint, g *grant, req *wire.AcquireRequest, now time.Time) {
	if !e.spec.IsMemoryBound() {
		return
	}
	g.request, g.promptTokens = req, promptTokens(req)
	unread := e.unreadTokensLocked(now)
	g.aheadTokens = unread + g.promptTokens
	ahead, own := s.speeds.predict(e.incarnationLocked(), unread, g.promptTokens, now)
	g.readBy = now.Add(unreadFactor * (ahead + own))
}

// forecastLocked returns when the first token of a further request is expected, after a wait.
func (s *Scheduler) forecastLocked(e *endpoint, req *wire.AcquireRequest, wait time.Duration, now time.Time) policy.FirstTokenForecast {
	unread := e.unreadTokensLocked(now)
	idle := unread == 0 && len(e.waiters) == 0
	for _, w := range e.waiters {
		unread += promptTokens(w.request)
	}
	ahead, own := s.speeds.predict(e.incarnationLocked(), unread, promptTokens(req), now)
	return policy.FirstTokenForecast{
		Ahead:    max(ahead, wait), // prompts ahead are read while the request waits
		Own:      own,
		Deadline: time.Duration(req.GetDeadlineMicros()) * time.Microsecond,
		Idle:     idle,
		Observed: !e.firstTokenAt.IsZero(),
		Age:      now.Sub(e.firstTokenAt),
	}
}

// refuseLateLocked returns the refusal of a request whose first token is expected after its deadline; nil if there is
// none. The adapter is loaded for its retry.
func (s *Scheduler) refuseLateLocked(e *endpoint, w *waiter, now time.Time) *wire.AcquireReply {
	if !e.spec.IsMemoryBound() || w.request.GetDeadlineMicros() <= 0 {
		return nil
	}
	forecast := s.forecastLocked(e, w.request, s.estimatedWaitLocked(e, w, now), now)
	w.trial = forecast.IsTrial()
	retryAfter, refuse := forecast.Refuse()
	if !refuse {
		return nil
	}
	if !s.adapterReadyLocked(e, w.request.GetAdapter()) {
		e.recordUnmetDemandLocked(w.request.GetAdapter(), now)
		s.planLoadsLocked(e, now)
	}
	return refusal(wire.Reason_REASON_DEADLINE, retryAfter, "")
}

// expectedFirstTokenLocked returns the expected time to first token of a further request like this one, without
// loads, and the part of it that passes until the requests ahead are served; zero if the endpoint is not limited by its
// memory, or nothing has been observed of its speed.
func (s *Scheduler) expectedFirstTokenLocked(e *endpoint, req *wire.AcquireRequest, now time.Time) (firstToken, queue time.Duration) {
	if !e.spec.IsMemoryBound() || e.ownership != owned || e.firstTokenAt.IsZero() {
		return 0, 0
	}
	wait := policy.EstimateBatchWait(e.running(), e.concurrencyLimitLocked(), len(e.waiters), e.serviceTime)
	f := s.forecastLocked(e, req, wait, now)
	return f.Ahead + f.Own, f.Ahead
}

// FirstToken implements the Scheduler service.
func (s *Scheduler) FirstToken(_ context.Context, req *wire.FirstTokenRequest) (*wire.FirstTokenReply, error) {
	e := s.findEndpoint(req.GetEndpoint())
	if e == nil {
		return &wire.FirstTokenReply{}, nil
	}
	return &wire.FirstTokenReply{Facts: s.observeFirstToken(e, req, clock.Now())}, nil
}

// observeFirstToken records the first token of a granted request. It returns the new state of the endpoint, so that the
// gateway knows at once what a trial of a slow endpoint has shown; nil if the grant has ended.
func (s *Scheduler) observeFirstToken(e *endpoint, req *wire.FirstTokenRequest, now time.Time) *wire.EndpointFacts {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.grants[req.GetId()]
	if g == nil || !s.recordFirstTokenLocked(e, g, req.GetTookMicros(), now) {
		return nil
	}
	return s.factsLocked(e, g.request, now)
}

// recordFirstTokenLocked learns the speed of an endpoint from the first token of a granted request. It reports whether it
// did: the time may not have been asked for, be reported again, or not be measured.
func (s *Scheduler) recordFirstTokenLocked(e *endpoint, g *grant, micros int64, now time.Time) bool {
	if g.request == nil || g.read || micros <= 0 {
		return false
	}
	g.read = true
	weight := 1
	if !e.firstTokenAt.IsZero() && now.Sub(e.firstTokenAt) >= policy.TrialInterval {
		weight = trialWeight
	}
	e.firstTokenAt = now
	took := time.Duration(min(micros, maxFirstToken.Microseconds())) * time.Microsecond
	slow, changed := s.speeds.observe(e.incarnationLocked(), balance.Observation{Prompts: weight, Tokens: weight * g.aheadTokens, Took: time.Duration(weight) * took}, now)
	if changed {
		s.logSpeedLocked(e, slow, now)
	}
	return true
}

func (s *Scheduler) logSpeedLocked(e *endpoint, slow bool, now time.Time) {
	message := "Endpoint has recovered its speed"
	if slow {
		message = "Endpoint is slow or fails requests"
	}
	s.Log.Info(message, "endpoint", e.name, "slowdown", s.speeds.slowdown(e.incarnationLocked(), now))
}

// endpointSpeed is the state of an endpoint in scheduler_speeds.
type endpointSpeed struct {
	Slowdown     float64 `json:"slowdown"`
	UnreadTokens int     `json:"unread_tokens"`
}

// endpointSpeeds returns the owned endpoints that are limited by their memory, by name.
func (s *Scheduler) endpointSpeeds() map[string]endpointSpeed {
	now := clock.Now()
	list := make(map[string]endpointSpeed)
	for _, e := range s.allEndpoints() {
		e.mu.Lock()
		if e.ownership == owned && e.spec.IsMemoryBound() {
			list[e.name] = endpointSpeed{Slowdown: s.speeds.slowdown(e.incarnationLocked(), now), UnreadTokens: e.unreadTokensLocked(now)}
		}
		e.mu.Unlock()
	}
	return list
}
