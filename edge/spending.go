// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/wire"
)

const (
	// settlePeriod is the time between two settlements of a box on which no request waits. For that time the pools
	// may not have counted an organisation's latest requests, and the box may not know how recent its configuration
	// is.
	settlePeriod        = 300 * time.Millisecond
	settleTimeout       = 400 * time.Millisecond // a leader in the same data centre answers within a millisecond
	settleRetryInterval = 20 * time.Millisecond  // while requests wait: pools refill, and other data centres lend units
	noLeaderInterval    = 100 * time.Millisecond // while requests wait and no leader answers
	// refusalTTL is how long further requests of an organisation are refused locally after a refusal, so that a flood
	// of requests costs the leader no more than a few.
	refusalTTL = 30 * time.Millisecond
	// maxAskedPerSettlement is the number of waiting requests per organisation that one settlement asks units for.
	maxAskedPerSettlement = 32
	// noLeaderRetryAfter is the retry delay given to callers while no leader counts the quota: boxes agree on a
	// leader within a second.
	noLeaderRetryAfter = 500 * time.Millisecond
)

// spending tracks what this box spends of the organisations' quotas and, while the box leads its data centre, the
// pool from which the boxes there draw.
type spending struct {
	node       *Node
	pool       access.Pool
	drawers    drawers
	opened     atomic.Uint64 // version of the configuration for which the pool was opened; zero: this box does not lead
	short      chan struct{} // signals that the pool lacks units
	urgent     chan struct{} // signals that a request waits
	servesKeys bool          // whether callers with keys were served at the last check; only used by run

	mu         sync.Mutex
	accounts   map[string]*account // by organisation
	leaderless bool                // the last settlement reached no leader
}

// account is what this box spent of one organisation's quota, and the requests that wait for units.
type account struct {
	access.Account

	waiting     []*waiter
	refuseUntil time.Time // until then requests that would have to wait are refused
	retryAt     time.Time // retry time for refused callers
}

// waiter is a request that waits for units.
type waiter struct {
	units    float64
	deadline time.Time // the request is refused if its units are known to come later
	asked    bool      // a settlement has asked for its units
	done     chan forward.ChargeResult
}

func newSpending(n *Node) *spending {
	return &spending{
		node:     n,
		short:    make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
		accounts: make(map[string]*account),
	}
}

func (s *spending) accountLocked(organisation string) *account {
	a := s.accounts[organisation]
	if a == nil {
		a = new(account)
		s.accounts[organisation] = a
	}
	return a
}

// assumedBoxes is the number of boxes assumed to share the allowed overshoot while a box that has just started does
// not know it. A new account has spent nothing yet and can spend only a third of what others can, so this covers
// three times as many boxes.
const assumedBoxes = 128

// maxOwed is how many units of a quota this box may have spent without having drawn them from the pool.
func (s *spending) maxOwed(q access.Quota) float64 {
	boxes := s.node.peers.budgetBoxes(clock.Now())
	if boxes == 0 {
		boxes = assumedBoxes
	}
	return s.node.current.Load().Quota.CreditLimit(q, boxes)
}

// charge adds units to what this box spent, without a check of the quota; negative units are given back.
func (s *spending) charge(organisation string, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accountLocked(organisation).Spend(units)
}

// spend takes units of an organisation's quota for a request: at once if this box owes little, otherwise when the
// leader grants them.
func (s *spending) spend(ctx context.Context, o *access.Organisation, units float64, p forward.QuotaTimeouts) forward.ChargeResult {
	now := clock.Now()
	s.mu.Lock()
	a := s.accountLocked(o.Name())
	if len(a.waiting) == 0 && a.TrySpend(units, s.maxOwed(o.Quota()), rand.Float64()) {
		s.mu.Unlock()
		return forward.ChargeResult{OK: true}
	}
	if now.Before(a.refuseUntil) {
		defer s.mu.Unlock()
		return forward.ChargeResult{Exceeded: true, RetryAfter: a.retryAt.Sub(now)}
	}
	w := &waiter{units: units, deadline: now.Add(p.Exceeded), done: make(chan forward.ChargeResult, 1)}
	a.waiting = append(a.waiting, w)
	s.mu.Unlock()
	s.settleNow()
	timeout := time.NewTimer(p.Unavailable)
	defer timeout.Stop()
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
	case <-timeout.C:
	}
	return s.abandon(a, w)
}

// abandon removes a request that stops waiting from the queue, or returns its result if there is one by now.
func (s *spending) abandon(a *account, w *waiter) forward.ChargeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(a.waiting, w); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
		return forward.ChargeResult{RetryAfter: noLeaderRetryAfter}
	}
	return <-w.done
}

func (s *spending) settleNow() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// run settles with the leader of the data centre periodically, and immediately while requests wait, until ctx ends.
func (s *spending) run(ctx context.Context) error {
	period := time.NewTimer(settlePeriod)
	defer period.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-s.urgent:
		case <-period.C:
		}
		period.Reset(s.step(ctx))
	}
	return nil
}

// step settles once if there are organisations. It returns the delay until the next settlement.
func (s *spending) step(ctx context.Context) time.Duration {
	if !s.node.countsCallers() {
		return settlePeriod
	}
	waiting := s.settle(ctx)
	s.logKeyStatus(clock.Now())
	switch {
	case !waiting:
		return settlePeriod
	case s.isLeaderless():
		return noLeaderInterval
	}
	return settleRetryInterval
}

// logKeyStatus logs when this box starts or stops serving callers with keys.
func (s *spending) logKeyStatus(now time.Time) {
	serves := s.node.keysAreCurrent(now)
	if serves == s.servesKeys {
		return
	}
	s.servesKeys = serves
	ago, _ := s.node.configFreshness.age(now)
	if serves {
		s.node.Log.Info("Callers with keys are served", "config", s.node.configVersion(), "age_ms", ago.Milliseconds())
		return
	}
	s.node.Log.Info("Callers with keys are refused: a newer configuration may have revoked keys", "config", s.node.configVersion(), "age_ms", ago.Milliseconds())
}

// countsCallers reports whether there are organisations, whose requests are counted and whose keys are checked.
func (n *Node) countsCallers() bool {
	c := n.view.Config()
	return c != nil && c.Callers() != nil
}

func (s *spending) isLeaderless() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderless
}

// settle draws the units that this box owes and those that its requests wait for. It reports whether requests still
// wait.
func (s *spending) settle(ctx context.Context) bool {
	q, asked := s.demand()
	a, ok := s.requestSettlement(ctx, q)
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderless = !ok
	waiting := false
	answers := make(map[string]*wire.Allowance, len(a.GetAllowances()))
	for _, w := range a.GetAllowances() {
		answers[w.GetOrganisation()] = w
	}
	for name, c := range s.accounts {
		if !ok {
			s.admitWithoutLeader(name, c, now)
		} else {
			c.applyAllowance(answers[name], asked[name], now)
		}
		waiting = waiting || len(c.waiting) > 0
	}
	return waiting
}

// demand returns the settlement to send, and the requests that it asks units for by organisation.
func (s *spending) demand() (*wire.SettleRequest, map[string][]*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &wire.SettleRequest{Box: s.node.peers.box, DataCentre: s.node.peers.centre}
	asked := make(map[string][]*waiter)
	for name, a := range s.accounts {
		owed, returned := a.StartSettlement()
		d := &wire.Demand{Organisation: name, Owed: int64(owed), Returned: int64(returned)}
		for _, w := range a.waiting[:min(len(a.waiting), maxAskedPerSettlement)] {
			d.Wanted = append(d.Wanted, int64(math.Ceil(w.units)))
			asked[name] = append(asked[name], w)
			if w.asked {
				d.Again++
			}
			w.asked = true
		}
		if d.Owed > 0 || d.Returned > 0 || len(d.Wanted) > 0 {
			q.Demands = append(q.Demands, d)
		}
	}
	return q, asked
}

// applyAllowance applies the leader's answer for one organisation; it is nil if the settlement did not mention it.
// Requests are refused if their units will come after their deadline.
func (a *account) applyAllowance(w *wire.Allowance, asked []*waiter, now time.Time) {
	a.FinishSettlement(float64(w.GetPaid()))
	a.StopForgiving()
	for _, r := range asked[:min(int(w.GetGranted()), len(asked))] {
		if !a.resolve(r, forward.ChargeResult{OK: true}) {
			a.Refund(r.units) // the request no longer waits
		}
	}
	if w.GetWaitMicros() == 0 {
		return
	}
	wait := time.Duration(w.GetWaitMicros()) * time.Microsecond
	for _, r := range slices.Clone(a.waiting) {
		if now.Add(wait).After(r.deadline) {
			a.resolve(r, forward.ChargeResult{Exceeded: true, RetryAfter: wait})
			a.refuseUntil, a.retryAt = now.Add(refusalTTL), now.Add(wait)
		}
	}
}

// resolve passes a request its result. It reports whether the request was still waiting.
func (a *account) resolve(w *waiter, r forward.ChargeResult) bool {
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	w.done <- r
	return true
}

// admitWithoutLeader admits waiting requests while no leader answers, within the allowed overshoot of the quota.
func (s *spending) admitWithoutLeader(name string, a *account, now time.Time) {
	o := s.node.view.Config().Callers().ByName(name)
	if o == nil {
		return
	}
	maxOwed := s.maxOwed(o.Quota())
	a.Forgive(maxOwed, s.node.current.Load().Quota.Window, now)
	for len(a.waiting) > 0 && a.TrySpend(a.waiting[0].units, maxOwed, 1) {
		a.resolve(a.waiting[0], forward.ChargeResult{OK: true})
	}
}

// requestSettlement sends a settlement to the leader of this box's data centre. It returns false if no leader
// answers.
func (s *spending) requestSettlement(ctx context.Context, q *wire.SettleRequest) (*wire.SettleReply, bool) {
	m, ok := s.node.peers.clusterView().leader(q.GetDataCentre())
	if !ok {
		return nil, false
	}
	if m.Name() == s.node.peers.box {
		return s.settleLocally(ctx, q)
	}
	s.closePool()
	a, err := s.callLeader(ctx, m.Address(), q)
	if err != nil {
		s.node.Log.V(1).Info("Leader did not answer a settlement", "leader", m.Name(), "err", err.Error())
		return nil, false
	}
	return a, a.GetLeads()
}

// settleLocally answers this box's own settlement as the leader. If the source has been silent for too long it asks
// the other leaders how recent the configuration is.
func (s *spending) settleLocally(ctx context.Context, q *wire.SettleRequest) (*wire.SettleReply, bool) {
	a := s.handleSettle(q, clock.Now())
	if ago, ok := s.node.configFreshness.age(clock.Now()); !ok || ago > askLeadersAfter {
		s.askOtherLeaders(ctx)
	}
	return a, a.GetLeads()
}

// callLeader sends a settlement to a leader, and records what the reply says about the age of the configuration.
func (s *spending) callLeader(ctx context.Context, address string, q *wire.SettleRequest) (*wire.SettleReply, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	begun := clock.Now()
	a, err := wire.NewShareClient(s.node.peers.dialer.Conn(address)).Settle(ctx, q)
	if err != nil {
		return nil, err
	}
	if a.GetVouched() && s.node.configVersion() >= a.GetConfig() && !s.node.state.configUnreadable() {
		s.node.configFreshness.advance(begun.Add(-time.Duration(a.GetAgeMicros()) * time.Microsecond))
	}
	return a, nil
}

// askOtherLeaders asks the leaders of the other data centres how recent the configuration is. It is used by a leader
// that does not get answers from the source.
func (s *spending) askOtherLeaders(ctx context.Context) {
	v := s.node.peers.clusterView()
	for _, c := range v.centres {
		m, ok := v.leader(c)
		if !ok || m.Name() == s.node.peers.box {
			continue
		}
		q := &wire.SettleRequest{Box: s.node.peers.box, DataCentre: s.node.peers.centre}
		if _, err := s.callLeader(ctx, m.Address(), q); err != nil {
			s.node.Log.V(1).Info("Leader did not answer a request for the age of the configuration", "leader", m.Name(), "err", err.Error())
		}
	}
}

// quotaReport is the metrics' view of the quotas.
type quotaReport struct {
	Owed  map[string]float64      `json:"owed"`  // units spent here but not yet drawn, by organisation
	Pool  map[string]access.Level `json:"pool"`  // levels of the pool; empty unless this box leads
	Draws int                     `json:"draws"` // number of boxes that draw from the pool
}

func (s *spending) report() quotaReport {
	now := clock.Now()
	r := quotaReport{Owed: make(map[string]float64)}
	if s.leads(now) {
		r.Pool, r.Draws = s.pool.Levels(), s.drawers.count(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for o, a := range s.accounts {
		r.Owed[o] = a.Owed()
	}
	return r
}
