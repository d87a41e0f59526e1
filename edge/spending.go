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
	// settlePeriod is between two settlements of a box that nobody waits for. It is the time of
	// an organisation's requests that the pools have not counted, and of the word on how recent
	// the configuration is.
	settlePeriod = 300 * time.Millisecond
	settleCall   = 400 * time.Millisecond // for the answer: a leader in the same data centre takes a millisecond
	settleAgain  = 20 * time.Millisecond  // between two settlements while requests wait: pools refill, other data centres lend
	leaderAgain  = 100 * time.Millisecond // the same where no leader answers
	// refusedFor is how long further requests of an organisation that was just refused are
	// refused without a question, so that a flood costs the leader no more than a trickle.
	refusedFor = 30 * time.Millisecond
	// askedMost is how many waiting requests of an organisation one settlement asks for.
	askedMost = 32
	// quotaRetry is when to come back where nobody counts the quota: boxes agree on a leader
	// within a second.
	quotaRetry = 500 * time.Millisecond
)

// spending is what this box spends of the organisations' quotas, and, while it leads its data
// centre, the pool that the boxes there draw from.
type spending struct {
	node    *Node
	pool    access.Pool
	drawers drawers
	opened  atomic.Uint64 // the configuration for which the pool is filled; zero: this box does not lead
	short   chan struct{} // holds one when the pool lacks units
	urgent  chan struct{} // holds one when a request waits
	serves  bool          // callers were served by their keys at the last look; of run alone

	mu       sync.Mutex
	accounts map[string]*account // by organisation
	silent   bool                // the last settlement reached no leader
}

// account is what this box spent of one quota, with the requests that wait for it.
type account struct {
	access.Account

	waiting []*waiter
	refused time.Time // until then requests that would wait are refused
	back    time.Time // when those are told to come back
}

// waiter is a request that waits for its units.
type waiter struct {
	units float64
	over  time.Time // it waits until then for units that are known to come
	asked bool      // a settlement asked for it
	done  chan forward.ChargeResult
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

// boxesAssumed is how many boxes share what is allowed beyond the quotas as long as a box that has just
// started does not know: a new account has spent nothing yet, and can spend a third of what others
// can, so that this covers thrice as many.
const boxesAssumed = 128

// float is how much of a quota this box may have spent and not drawn.
func (s *spending) float(q access.Quota) float64 {
	boxes := s.node.peers.budgetBoxes(clock.Now())
	if boxes == 0 {
		boxes = boxesAssumed
	}
	return s.node.current.Load().Quota.CreditLimit(q, boxes)
}

// change adds to what this box spent, without asking.
func (s *spending) change(organisation string, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accountLocked(organisation).Spend(units)
}

// spend takes units of an organisation's quota for a request: at once where this box owes
// little, else when its leader hands them out.
func (s *spending) spend(ctx context.Context, o *access.Organisation, units float64, p forward.QuotaTimeouts) forward.ChargeResult {
	now := clock.Now()
	s.mu.Lock()
	a := s.accountLocked(o.Name())
	if len(a.waiting) == 0 && a.TrySpend(units, s.float(o.Quota()), rand.Float64()) {
		s.mu.Unlock()
		return forward.ChargeResult{OK: true}
	}
	if now.Before(a.refused) {
		defer s.mu.Unlock()
		return forward.ChargeResult{Exceeded: true, RetryAfter: a.back.Sub(now)}
	}
	w := &waiter{units: units, over: now.Add(p.Exceeded), done: make(chan forward.ChargeResult, 1)}
	a.waiting = append(a.waiting, w)
	s.mu.Unlock()
	s.hurry()
	timeout := time.NewTimer(p.Unavailable)
	defer timeout.Stop()
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
	case <-timeout.C:
	}
	return s.giveUp(a, w)
}

// giveUp takes a request that waits no longer out of the queue; it may have been granted just now.
func (s *spending) giveUp(a *account, w *waiter) forward.ChargeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(a.waiting, w); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
		return forward.ChargeResult{RetryAfter: quotaRetry}
	}
	return <-w.done
}

func (s *spending) hurry() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// run settles with the leader of the data centre now and then, and at once while requests wait,
// until ctx ends.
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

// step settles once, where there are organisations; it returns how long to wait for the next time.
func (s *spending) step(ctx context.Context) time.Duration {
	if !s.node.countsCallers() {
		return settlePeriod
	}
	waiting := s.settle(ctx)
	s.noteKeys(clock.Now())
	switch {
	case !waiting:
		return settlePeriod
	case s.isSilent():
		return leaderAgain
	}
	return settleAgain
}

// noteKeys logs when this box begins or ceases to serve callers by their keys.
func (s *spending) noteKeys(now time.Time) {
	serves := s.node.trustsKeys(now)
	if serves == s.serves {
		return
	}
	s.serves = serves
	ago, _ := s.node.vouched.ago(now)
	if serves {
		s.node.Log.Info("Callers are served by their keys", "config", s.node.configVersion(), "age_ms", ago.Milliseconds())
		return
	}
	s.node.Log.Info("Callers with keys are refused: a newer configuration may have taken keys away", "config", s.node.configVersion(), "age_ms", ago.Milliseconds())
}

// countsCallers tells whether there are organisations whose requests and keys are counted.
func (n *Node) countsCallers() bool {
	c := n.view.Config()
	return c != nil && c.Callers() != nil
}

func (s *spending) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// settle draws what this box owes and what its requests wait for. It tells whether requests
// still wait.
func (s *spending) settle(ctx context.Context) bool {
	q, asked := s.demand()
	a, ok := s.ask(ctx, q)
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = !ok
	waiting := false
	answers := make(map[string]*wire.Allowance, len(a.GetAllowances()))
	for _, w := range a.GetAllowances() {
		answers[w.GetOrganisation()] = w
	}
	for name, c := range s.accounts {
		if !ok {
			s.carryOn(name, c, now)
		} else {
			c.take(answers[name], asked[name], now)
		}
		waiting = waiting || len(c.waiting) > 0
	}
	return waiting
}

// demand returns what this box asks of its leader, and the requests that it asks for, by
// organisation.
func (s *spending) demand() (*wire.SettleRequest, map[string][]*waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &wire.SettleRequest{Box: s.node.peers.box, DataCentre: s.node.peers.centre}
	asked := make(map[string][]*waiter)
	for name, a := range s.accounts {
		owed, returned := a.StartSettlement()
		d := &wire.Demand{Organisation: name, Owed: int64(owed), Returned: int64(returned)}
		for _, w := range a.waiting[:min(len(a.waiting), askedMost)] {
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

// take notes a leader's answer for one organisation, nil where nothing was asked. Requests whose
// units come too late for them are refused now.
func (a *account) take(w *wire.Allowance, asked []*waiter, now time.Time) {
	a.FinishSettlement(float64(w.GetPaid()))
	a.StopForgiving()
	for _, r := range asked[:min(int(w.GetGranted()), len(asked))] {
		if !a.finish(r, forward.ChargeResult{OK: true}) {
			a.Refund(r.units) // it did not wait so long
		}
	}
	if w.GetWaitMicros() == 0 {
		return
	}
	wait := time.Duration(w.GetWaitMicros()) * time.Microsecond
	for _, r := range slices.Clone(a.waiting) {
		if now.Add(wait).After(r.over) {
			a.finish(r, forward.ChargeResult{Exceeded: true, RetryAfter: wait})
			a.refused, a.back = now.Add(refusedFor), now.Add(wait)
		}
	}
}

// finish tells a request what became of it, unless it waits no longer.
func (a *account) finish(w *waiter, r forward.ChargeResult) bool {
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	w.done <- r
	return true
}

// carryOn goes on without a leader, with what the operator allows beyond a quota.
func (s *spending) carryOn(name string, a *account, now time.Time) {
	o := s.node.view.Config().Callers().ByName(name)
	if o == nil {
		return
	}
	float := s.float(o.Quota())
	a.Forgive(float, s.node.current.Load().Quota.Window, now)
	for len(a.waiting) > 0 && a.TrySpend(a.waiting[0].units, float, 1) {
		a.finish(a.waiting[0], forward.ChargeResult{OK: true})
	}
}

// ask sends a settlement to the leader of this box's data centre; false where none answers.
func (s *spending) ask(ctx context.Context, q *wire.SettleRequest) (*wire.SettleReply, bool) {
	m, ok := s.node.peers.clusterView().leader(q.GetDataCentre())
	if !ok {
		return nil, false
	}
	if m.Name() == s.node.peers.box {
		return s.askSelf(ctx, q)
	}
	s.closePool()
	a, err := s.call(ctx, m.Address(), q)
	if err != nil {
		s.node.Log.V(1).Info("Leader does not answer a settlement", "leader", m.Name(), "err", err.Error())
		return nil, false
	}
	return a, a.GetLeads()
}

// askSelf answers this box's own settlement, and makes up for a source that it does not hear.
func (s *spending) askSelf(ctx context.Context, q *wire.SettleRequest) (*wire.SettleReply, bool) {
	a := s.handleSettle(q, clock.Now())
	if ago, ok := s.node.vouched.ago(clock.Now()); !ok || ago > askOthersAfter {
		s.askOthers(ctx)
	}
	return a, a.GetLeads()
}

// call sends a settlement to a box, and takes in what it says of the configuration.
func (s *spending) call(ctx context.Context, address string, q *wire.SettleRequest) (*wire.SettleReply, error) {
	ctx, cancel := context.WithTimeout(ctx, settleCall)
	defer cancel()
	begun := clock.Now()
	a, err := wire.NewShareClient(s.node.peers.dialer.Conn(address)).Settle(ctx, q)
	if err != nil {
		return nil, err
	}
	if a.GetVouched() && s.node.configVersion() >= a.GetConfig() && !s.node.state.unread() {
		s.node.vouched.raise(begun.Add(-time.Duration(a.GetAgeMicros()) * time.Microsecond))
	}
	return a, nil
}

// askOthers asks the leaders of the other data centres how recent the configuration is, for a
// leader that does not hear the source.
func (s *spending) askOthers(ctx context.Context) {
	v := s.node.peers.clusterView()
	for _, c := range v.centres {
		m, ok := v.leader(c)
		if !ok || m.Name() == s.node.peers.box {
			continue
		}
		q := &wire.SettleRequest{Box: s.node.peers.box, DataCentre: s.node.peers.centre}
		if _, err := s.call(ctx, m.Address(), q); err != nil {
			s.node.Log.V(1).Info("Leader does not say how recent the configuration is", "leader", m.Name(), "err", err.Error())
		}
	}
}

// quotaReport is what the metrics tell of the quotas.
type quotaReport struct {
	Owed  map[string]float64      `json:"owed"`  // units spent here and not drawn, by organisation
	Pool  map[string]access.Level `json:"pool"`  // of the leader's pool; empty on other boxes
	Draws int                     `json:"draws"` // boxes that draw from it
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
