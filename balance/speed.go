// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"time"
)

const (
	speedHalfLife    = 2 * time.Second // of an observation: endpoints become slow, and recover, within seconds
	speedPrior       = 2.0             // observations that the prior of an ordinary speed counts as
	maxSlowdownRatio = 8.0             // bound of one observed ratio, either way, so that one stalled connection doesn't outweigh the rest
	minWeight        = 0.05            // weight below which an endpoint's observations are dropped
	slowThreshold    = 2.0             // slowdown from which an endpoint is reported as slow
	recoverThreshold = 1.4             // slowdown below which it is no longer; the gap avoids repeated reports
)

// Observation summarises prompts that one endpoint has read.
type Observation struct {
	Prompts int           // number of them
	Tokens  int           // sum over them of the prompt tokens that the endpoint read until its first token, the prompt's own included
	Took    time.Duration // sum over them of the times to first token
}

// Speeds predicts the time to first token at each endpoint: a model for all endpoints together, times
// the slowdown of the endpoint. The zero value is ready to use.
type Speeds struct {
	model     readModel
	pauses    pauseModel
	endpoints map[string]*slowdown
	version   uint64 // changes whenever an entry of endpoints is added or removed
}

// Handle finds an endpoint without a look-up of its name for each prediction, which takes a quarter of the time of a choice
// among hundreds. It stays valid when the endpoint is pruned and observed again. It belongs to one Speeds.
type Handle struct {
	endpoint string
	slowdown *slowdown // nil: not observed, as of version
	version  uint64
}

// NewHandle returns a handle of an endpoint, which need not have been observed.
func NewHandle(endpoint string) Handle {
	return Handle{endpoint: endpoint, version: math.MaxUint64}
}

// slowdown is the ratio of observed times to those of the model, as a decaying mean of logarithms.
type slowdown struct {
	logSum    float64
	weight    float64 // of the observations, as of updatedAt
	updatedAt time.Time
	reported  bool // as slow

	cached   float64 // factor at cachedAt; zero: not known
	cachedAt int64   // nanoseconds of Unix time, since comparing a time.Time takes longer than the rest of a prediction
}

// factorInterval is how long a computed factor is used again: it decays by less than 0.4% in this time, and
// the exponentials would take most of the time of a choice among hundreds of endpoints.
const factorInterval = 10 * time.Millisecond

// decay reduces the weights of the observations to what they count at now.
func (s *slowdown) decay(now time.Time) {
	if age := now.Sub(s.updatedAt); age > 0 {
		f := math.Exp2(-age.Seconds() / speedHalfLife.Seconds())
		s.logSum *= f
		s.weight *= f
		s.updatedAt = now
	}
}

func (s *slowdown) factor(now time.Time) float64 {
	at := now.UnixNano()
	if age := at - s.cachedAt; s.cached > 0 && age >= 0 && age < int64(factorInterval) {
		return s.cached
	}
	s.decay(now)
	s.cached, s.cachedAt = math.Exp(s.logSum/(s.weight+speedPrior)), at
	return s.cached
}

// Bounds of an observation, far above what an endpoint reads between two reports. Larger values are errors
// of the reporter, and sums of their squares would leave no digits for the others.
const (
	maxPrompts = 1 << 16
	maxTokens  = 1 << 24 // for each prompt
)

// Observe records prompts that an endpoint has read. It ignores summaries without prompts or with
// values that can't be.
func (s *Speeds) Observe(endpoint string, o Observation, now time.Time) {
	if o.Prompts <= 0 || o.Prompts > maxPrompts || o.Tokens < 0 || o.Tokens/o.Prompts >= maxTokens || o.Took <= 0 {
		return
	}
	n := float64(o.Prompts)
	tokens, took := float64(o.Tokens)/n, o.Took.Seconds()/n
	predicted := s.model.predict(tokens)
	ratio := min(max(took/predicted, 1/maxSlowdownRatio), maxSlowdownRatio)
	s.model.observe(tokens, ratio*predicted, n)
	s.record(endpoint, ratio, n, now)
}

// ObserveFailures records requests that an endpoint failed. Each counts as a prompt that took maxSlowdownRatio times as
// long as usual: the endpoint is avoided like a slow one, and like one it is tried again after some seconds.
func (s *Speeds) ObserveFailures(endpoint string, count int, now time.Time) {
	if count > 0 && count <= maxPrompts {
		s.record(endpoint, maxSlowdownRatio, float64(count), now)
	}
}

// record adds n observations of a ratio to an endpoint.
func (s *Speeds) record(endpoint string, ratio, n float64, now time.Time) {
	if s.endpoints == nil {
		s.endpoints = make(map[string]*slowdown)
	}
	e := s.endpoints[endpoint]
	if e == nil {
		e = &slowdown{updatedAt: now}
		s.endpoints[endpoint] = e
		s.version++
	}
	e.decay(now)
	e.logSum += n * math.Log(ratio)
	e.weight += n
	e.cached = 0
}

// FirstToken predicts the time to first token at an endpoint that reads a number of prompt tokens until then.
func (s *Speeds) FirstToken(endpoint string, tokens int, now time.Time) time.Duration {
	return duration(s.Slowdown(endpoint, now) * s.model.predict(float64(max(tokens, 0))))
}

// ReadTime predicts how long an endpoint takes to read a number of prompt tokens, without the constant
// part of the time to first token.
func (s *Speeds) ReadTime(endpoint string, tokens int, now time.Time) time.Duration {
	_, slope := s.model.line()
	return duration(s.Slowdown(endpoint, now) * slope * float64(max(tokens, 0)))
}

// Predict returns how long an endpoint takes to read the prompt tokens ahead of a prompt, and then the prompt's
// own until its first token: ReadTime of the first and the rest of FirstToken, for one look-up of the endpoint.
func (s *Speeds) Predict(endpoint string, ahead, own int, now time.Time) (queue, rest time.Duration) {
	return s.predict(s.Slowdown(endpoint, now), ahead, own)
}

// PredictFor is Predict for the endpoint of a handle.
func (s *Speeds) PredictFor(h *Handle, ahead, own int, now time.Time) (queue, rest time.Duration) {
	if h.version != s.version {
		h.slowdown, h.version = s.endpoints[h.endpoint], s.version
	}
	f := 1.0
	if h.slowdown != nil {
		f = h.slowdown.factor(now)
	}
	return s.predict(f, ahead, own)
}

func (s *Speeds) predict(slowdown float64, ahead, own int) (queue, rest time.Duration) {
	base, slope := s.model.line()
	queue = duration(slowdown * slope * float64(max(ahead, 0)))
	return queue, duration(slowdown * max(base+slope*float64(max(own, 0)), minFirstToken))
}

// duration converts seconds, at most to the longest time: out of range, the conversion could return a negative one.
func duration(seconds float64) time.Duration {
	if ns := seconds * float64(time.Second); ns < math.MaxInt64 {
		return time.Duration(ns)
	}
	return math.MaxInt64
}

// Slowdown returns how many times as long as the model an endpoint takes. An endpoint that is unknown, or
// has not been observed for several seconds, has the slowdown 1, so it is tried again.
func (s *Speeds) Slowdown(endpoint string, now time.Time) float64 {
	e := s.endpoints[endpoint]
	if e == nil {
		return 1
	}
	return e.factor(now)
}

// Changed reports whether an endpoint has become slow or has recovered since the last call, and which.
func (s *Speeds) Changed(endpoint string, now time.Time) (slow, changed bool) {
	e := s.endpoints[endpoint]
	if e == nil {
		return false, false
	}
	f := e.factor(now)
	switch {
	case !e.reported && f >= slowThreshold, e.reported && f < recoverThreshold:
		e.reported = !e.reported
		return e.reported, true
	}
	return e.reported, false
}

// Prune drops endpoints that were not observed recently.
func (s *Speeds) Prune(now time.Time) {
	for id, e := range s.endpoints {
		if e.decay(now); e.weight < minWeight {
			delete(s.endpoints, id)
			s.version++
		}
	}
}

// readModel predicts the time to first token at an endpoint of ordinary speed by a linear regression with
// decaying weights: a constant time, and a time per token. The zero value predicts from the prior.
type readModel struct {
	count, sumX, sumY, sumXX, sumXY float64 // X: thousands of tokens, Y: seconds

	base, slope float64 // the line, if fitted
	fitted      bool
}

const (
	modelObservations = 512.0 // observations after which the weight of one falls to 1/e: some seconds of one data centre
	priorBase         = 0.05  // prior: seconds for an empty prompt
	priorPerKiloToken = 0.04  // prior: seconds for a thousand tokens
	priorKiloTokens   = 4.0   // prompt length of half of the prior's observations; the others are of empty prompts
	priorWeight       = 8.0   // observations that the prior counts as
)

func (m *readModel) observe(tokens, seconds, n float64) {
	f := math.Exp(-n / modelObservations)
	x := tokens / 1000
	m.count = m.count*f + n
	m.sumX = m.sumX*f + n*x
	m.sumY = m.sumY*f + n*seconds
	m.sumXX = m.sumXX*f + n*x*x
	m.sumXY = m.sumXY*f + n*x*seconds
	m.fitted = false
}

// minFirstToken is the shortest time that the model predicts, in seconds, so that ratios to it stay finite.
const minFirstToken = 0.001

func (m *readModel) predict(tokens float64) float64 {
	base, slope := m.line()
	return max(base+slope*tokens, minFirstToken)
}

// line returns the time of an empty prompt and the time per token, in seconds.
func (m *readModel) line() (base, slope float64) {
	if m.fitted {
		return m.base, m.slope
	}
	const half = priorWeight / 2
	priorTime := priorBase + priorPerKiloToken*priorKiloTokens
	n := m.count + priorWeight
	x := m.sumX + half*priorKiloTokens
	y := m.sumY + half*(priorBase+priorTime)
	xx := m.sumXX + half*priorKiloTokens*priorKiloTokens
	xy := m.sumXY + half*priorKiloTokens*priorTime
	slope = max((n*xy-x*y)/(n*xx-x*x), 0) // the two points of the prior keep the divisor above zero
	m.base, m.slope, m.fitted = max((y-slope*x)/n, 0), slope/1000, true
	return m.base, m.slope
}
