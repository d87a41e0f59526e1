// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/clock"
	"cairnwick.example/member"
	"cairnwick.example/wire"
)

const (
	// drawerTTL is how long a box counts as drawing after its last settlement: three of them may be lost.
	drawerTTL = 1100 * time.Millisecond
	// loanTimeout is the timeout of a call to the leader of another data centre.
	loanTimeout = 400 * time.Millisecond
	// loanRetryDelay is the pause between two loan requests while the pool lacks units; loanBackoff is the pause after
	// a request that yielded none.
	loanRetryDelay = 40 * time.Millisecond
	loanBackoff    = 250 * time.Millisecond
)

// drawers tracks which boxes draw from this box's pool.
type drawers struct {
	mu       sync.Mutex
	lastDraw map[string]time.Time // time of the last draw, by box
}

// record records a draw by a box, and returns how many boxes draw.
func (d *drawers) record(box string, now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastDraw == nil {
		d.lastDraw = make(map[string]time.Time)
	}
	d.lastDraw[box] = now
	return d.countLocked(now)
}

func (d *drawers) count(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.countLocked(now)
}

func (d *drawers) countLocked(now time.Time) int {
	for b, at := range d.lastDraw {
		if now.Sub(at) > drawerTTL {
			delete(d.lastDraw, b)
		}
	}
	return len(d.lastDraw)
}

// share returns the fraction of each quota that this box grants, given how many boxes draw from it. Unreachable
// boxes count as known ones of the data centre, since they may draw from another pool.
func (s *spending) share(boxes int, now time.Time) float64 {
	centres := s.node.current.Load().DataCentres
	if centres == 0 {
		v := s.node.peers.clusterView()
		centres = len(v.centres) + len(v.unreachable)
	}
	known := 0
	for _, m := range s.node.peers.table.Members() {
		if m.Role() == roleBox && m.DataCentre() == s.node.peers.centre && s.mayDraw(m, now) {
			known++
		}
	}
	return access.Share(boxes, known, centres)
}

// mayDraw reports whether a box may still serve callers. One that shuts down has stopped after its grace period.
func (s *spending) mayDraw(m member.Member, now time.Time) bool {
	return m.State() != member.Leaving || now.Sub(m.Since()) < s.node.current.Load().Bounds.Grace
}

// leads reports whether this box manages the quota pool of its data centre.
func (s *spending) leads(now time.Time) bool {
	return s.node.countsCallers() && s.node.leads() && !now.Before(s.node.peers.viewTrustedFrom(now))
}

// handleSettle handles a settlement: it grants units to a box, and returns how recent the configuration is.
func (s *spending) handleSettle(q *wire.SettleRequest, now time.Time) *wire.SettleReply {
	a := &wire.SettleReply{}
	if ago, ok := s.node.configFreshness.age(now); ok {
		a.Vouched, a.AgeMicros, a.Config = true, ago.Microseconds(), s.node.configVersion()
	}
	if q.GetDataCentre() != s.node.peers.centre || !s.leads(now) {
		return a
	}
	a.Leads = true
	share := s.share(s.drawers.record(q.GetBox(), now), now)
	s.openPool(share, now)
	for _, d := range q.GetDemands() {
		a.Allowances = append(a.Allowances, s.grant(d, share, now))
	}
	return a
}

// openPool starts to fill the pool for each quota when the configuration is new here or this box has become the leader.
func (s *spending) openPool(share float64, now time.Time) {
	version := s.node.configVersion()
	if s.opened.Swap(version) == version {
		return
	}
	if started := s.node.peers.started; now.Sub(started) < newFleetAge {
		now = started
	}
	bounds := s.node.current.Load().Quota
	for _, o := range s.node.view.Config().Callers().All() {
		if o.Quota().IsLimited() {
			s.pool.StartFilling(o.Name(), bounds.Limit(o.Quota(), share), now)
		}
	}
}

// newFleetAge is the age of a leader below which all boxes of its data centre have just started, since the oldest
// leads. No other box has granted units since this one started, so the pool fills from that time.
const newFleetAge = 3 * time.Second

// closePool discards the pool after another box has become the leader.
func (s *spending) closePool() {
	if s.opened.Swap(0) != 0 {
		s.pool.Reset()
	}
}

// grant handles a box's demand from one quota. A demand from an organisation without a limit in this box's
// configuration, which may be another version than the caller's, is granted in full.
func (s *spending) grant(d *wire.Demand, share float64, now time.Time) *wire.Allowance {
	o := s.node.view.Config().Callers().ByName(d.GetOrganisation())
	if o == nil || !o.Quota().IsLimited() {
		return &wire.Allowance{Organisation: d.GetOrganisation(), Paid: d.GetOwed(), Granted: int32(len(d.GetWanted()))}
	}
	wanted := make([]float64, len(d.GetWanted()))
	for i, w := range d.GetWanted() {
		wanted[i] = float64(w)
	}
	a := s.pool.Draw(access.Demand{
		Organisation: d.GetOrganisation(),
		Owed:         float64(d.GetOwed()),
		Returned:     float64(d.GetReturned()),
		Wanted:       wanted,
		Again:        int(d.GetAgain()),
	}, s.node.current.Load().Quota.Limit(o.Quota(), share), now)
	if a.Granted < len(wanted) || a.Paid < float64(d.GetOwed()) {
		s.reportShortage(a, share, now)
	}
	return &wire.Allowance{Organisation: a.Organisation, Paid: int64(a.Paid), Granted: int32(a.Granted), WaitMicros: a.Wait.Microseconds()}
}

// reportShortage triggers a loan request for the units that the pool lacks, and logs the shortage at a limited rate.
func (s *spending) reportShortage(a access.Allowance, share float64, now time.Time) {
	select {
	case s.short <- struct{}{}:
	default:
	}
	if l, due := s.pool.ShortageReport(a.Organisation, now); due {
		s.node.Log.Info("Organisation lacks units of its quota", "organisation", a.Organisation, "left", int64(l.Left),
			"holds", int64(l.Capacity), "a_second", int64(l.Rate), "share", share, "wait_ms", a.Wait.Milliseconds())
	}
}

// requestLoans requests units from the other data centres while this box's pool lacks some, until ctx ends.
func (s *spending) requestLoans(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-s.short:
		}
		pause := loanBackoff
		if s.requestLoansOnce(ctx) {
			pause = loanRetryDelay
		}
		sleep(ctx, pause)
	}
	return nil
}

// requestLoansOnce requests an equal part of the missing units from each other leader. It reports whether any were
// granted.
func (s *spending) requestLoansOnce(ctx context.Context) bool {
	v := s.node.peers.clusterView()
	var others []member.Member
	for _, c := range v.centres {
		if m, ok := v.leader(c); ok && c != s.node.peers.centre && m.Name() != s.node.peers.box {
			others = append(others, m)
		}
	}
	q := &wire.LendRequest{DataCentre: s.node.peers.centre}
	for o, units := range s.pool.TakeShortfalls() {
		q.Loans = append(q.Loans, &wire.Loan{Organisation: o, Units: int64(units)/int64(max(len(others), 1)) + 1})
	}
	replies := make(chan *wire.LendReply, len(others))
	for _, m := range others {
		go func() { replies <- s.requestLoan(ctx, m, q) }()
	}
	borrowed := make(map[string]int64, len(q.GetLoans()))
	for range others {
		for _, l := range (<-replies).GetLoans() {
			borrowed[l.GetOrganisation()] += l.GetUnits()
		}
	}
	now := clock.Now()
	for _, l := range q.GetLoans() {
		s.pool.AddBorrowed(l.GetOrganisation(), float64(borrowed[l.GetOrganisation()]), now, loanBackoff)
	}
	if len(borrowed) > 0 {
		s.settleNow() // requests held by this box may wait for the units
	}
	return len(borrowed) > 0
}

// requestLoan requests a loan from one leader. If the reply is lost, so are the units that it granted: no unit is spent
// twice.
func (s *spending) requestLoan(ctx context.Context, m member.Member, q *wire.LendRequest) *wire.LendReply {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	a, err := wire.NewShareClient(s.node.peers.dialer.Conn(m.Address())).Lend(ctx, q)
	if err != nil {
		s.node.Log.V(1).Info("Loan request to the leader of another data centre failed", "leader", m.Name(), "err", err.Error())
		return nil
	}
	return a
}

// handleLend handles a loan request of another data centre's leader.
func (s *spending) handleLend(q *wire.LendRequest, now time.Time) *wire.LendReply {
	a := &wire.LendReply{}
	if !s.leads(now) {
		return a
	}
	share := s.share(s.drawers.count(now), now)
	bounds := s.node.current.Load().Quota
	for _, l := range q.GetLoans() {
		o := s.node.view.Config().Callers().ByName(l.GetOrganisation())
		if o == nil || !o.Quota().IsLimited() {
			continue
		}
		if units := int64(s.pool.Lend(l.GetOrganisation(), float64(l.GetUnits()), bounds.Limit(o.Quota(), share), now)); units > 0 {
			a.Loans = append(a.Loans, &wire.Loan{Organisation: l.GetOrganisation(), Units: units})
		}
	}
	return a
}
