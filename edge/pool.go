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
	// drawnFor is how long a box counts as one that draws here: three settlements may be lost.
	drawnFor = 1100 * time.Millisecond
	// lendCall is for the answer of another data centre's leader.
	lendCall = 400 * time.Millisecond
	// lendAgain is between two questions of a pool that lacks units, and lendRest after one that
	// brought none.
	lendAgain = 40 * time.Millisecond
	lendRest  = 250 * time.Millisecond
)

// drawn is which boxes draw from this box's pool.
type drawn struct {
	mu    sync.Mutex
	boxes map[string]time.Time // when each did last
}

// note notes that a box draws at now, and returns how many do.
func (d *drawn) note(box string, now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.boxes == nil {
		d.boxes = make(map[string]time.Time)
	}
	d.boxes[box] = now
	return d.countLocked(now)
}

func (d *drawn) count(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.countLocked(now)
}

func (d *drawn) countLocked(now time.Time) int {
	for b, at := range d.boxes {
		if now.Sub(at) > drawnFor {
			delete(d.boxes, b)
		}
	}
	return len(d.boxes)
}

// share is the part of each quota that this box hands out to so many boxes. Boxes that fell silent
// are known: they may draw elsewhere.
func (s *spending) share(boxes int, now time.Time) float64 {
	centres := s.node.current.Load().DataCentres
	if centres == 0 {
		v := s.node.peers.clusterView()
		centres = len(v.centres) + len(v.silent)
	}
	known := 0
	for _, m := range s.node.peers.table.All() {
		if m.Role() == roleBox && m.DataCentre() == s.node.peers.centre && s.mayDraw(m, now) {
			known++
		}
	}
	return access.Share(boxes, known, centres)
}

// mayDraw tells whether a box may still serve callers: one that left in order has ended when its
// time is over.
func (s *spending) mayDraw(m member.Member, now time.Time) bool {
	return m.State() != member.Leaving || now.Sub(m.Since()) < s.node.current.Load().Bounds.Grace
}

// leads tells whether this box counts for its data centre.
func (s *spending) leads(now time.Time) bool {
	return s.node.countsCallers() && s.node.leads() && !now.Before(s.node.peers.settled(now))
}

// answer hands out what a box asks, and says how recent the configuration is.
func (s *spending) answer(q *wire.SettleRequest, now time.Time) *wire.SettleReply {
	a := &wire.SettleReply{}
	if ago, ok := s.node.configFreshness.age(now); ok {
		a.Vouched, a.AgeMicros, a.Config = true, ago.Microseconds(), s.node.configVersion()
	}
	if q.GetDataCentre() != s.node.peers.centre || !s.leads(now) {
		return a
	}
	a.Leads = true
	share := s.share(s.drawn.note(q.GetBox(), now), now)
	s.open(share, now)
	for _, d := range q.GetDemands() {
		a.Allowances = append(a.Allowances, s.allow(d, share, now))
	}
	return a
}

// open begins to fill the pool for each quota of a configuration that is new here, or since this
// box leads.
func (s *spending) open(share float64, now time.Time) {
	version := s.node.configVersion()
	if s.opened.Swap(version) == version {
		return
	}
	if started := s.node.peers.started; now.Sub(started) < freshFleet {
		now = started
	}
	bounds := s.node.current.Load().Quota
	for _, o := range s.node.view.Config().Callers().All() {
		if o.Quota().Limits() {
			s.pool.Open(o.Name(), bounds.Limit(o.Quota(), share), now)
		}
	}
}

// freshFleet is the age of a leader below which all boxes of its data centre have just started, since
// the oldest leads: nobody has counted since this one started.
const freshFleet = 3 * time.Second

// close forgets what this box counted: another one leads.
func (s *spending) close() {
	if s.opened.Swap(0) != 0 {
		s.pool.Clear()
	}
}

// allow hands out what a box asks of one quota. What has no limit here, since this box has heard
// of another configuration, is granted.
func (s *spending) allow(d *wire.Demand, share float64, now time.Time) *wire.Allowance {
	o := s.node.view.Config().Callers().Named(d.GetOrganisation())
	if o == nil || !o.Quota().Limits() {
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
		s.lack(a, share, now)
	}
	return &wire.Allowance{Organisation: a.Organisation, Paid: int64(a.Paid), Granted: int32(a.Granted), WaitMicros: a.Wait.Microseconds()}
}

// lack has others asked for units that the pool lacks, and logs it now and then.
func (s *spending) lack(a access.Allowance, share float64, now time.Time) {
	select {
	case s.short <- struct{}{}:
	default:
	}
	if l, tell := s.pool.Lacks(a.Organisation, now); tell {
		s.node.Log.Info("Organisation lacks units of its quota", "organisation", a.Organisation, "left", int64(l.Left),
			"holds", int64(l.Most), "a_second", int64(l.Rate), "share", share, "wait_ms", a.Wait.Milliseconds())
	}
}

// borrow asks the other data centres for units while this box's pool lacks some, until ctx ends.
func (s *spending) borrow(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-s.short:
		}
		pause := lendRest
		if s.borrowOnce(ctx) {
			pause = lendAgain
		}
		sleep(ctx, pause)
	}
	return nil
}

// borrowOnce asks each other leader for its part of what is lacking; it tells whether anything
// was lent.
func (s *spending) borrowOnce(ctx context.Context) bool {
	v := s.node.peers.clusterView()
	var others []member.Member
	for _, c := range v.centres {
		if m, ok := v.leader(c); ok && c != s.node.peers.centre && m.Name() != s.node.peers.box {
			others = append(others, m)
		}
	}
	q := &wire.LendRequest{DataCentre: s.node.peers.centre}
	for o, units := range s.pool.Short() {
		q.Loans = append(q.Loans, &wire.Loan{Organisation: o, Units: int64(units)/int64(max(len(others), 1)) + 1})
	}
	answers := make(chan *wire.LendReply, len(others))
	for _, m := range others {
		go func() { answers <- s.askLoan(ctx, m, q) }()
	}
	lent := make(map[string]int64, len(q.GetLoans()))
	for range others {
		for _, l := range (<-answers).GetLoans() {
			lent[l.GetOrganisation()] += l.GetUnits()
		}
	}
	now := clock.Now()
	for _, l := range q.GetLoans() {
		s.pool.Borrowed(l.GetOrganisation(), float64(lent[l.GetOrganisation()]), now, lendRest)
	}
	if len(lent) > 0 {
		s.hurry() // this box's own requests may wait for them
	}
	return len(lent) > 0
}

// askLoan asks one leader. What it lent and could not tell is lost: never counted twice.
func (s *spending) askLoan(ctx context.Context, m member.Member, q *wire.LendRequest) *wire.LendReply {
	ctx, cancel := context.WithTimeout(ctx, lendCall)
	defer cancel()
	a, err := wire.NewShareClient(s.node.peers.dialer.Conn(m.Address())).Lend(ctx, q)
	if err != nil {
		s.node.Log.V(1).Info("Leader of another data centre lends nothing", "leader", m.Name(), "err", err.Error())
		return nil
	}
	return a
}

// lend answers another data centre's leader.
func (s *spending) lend(q *wire.LendRequest, now time.Time) *wire.LendReply {
	a := &wire.LendReply{}
	if !s.leads(now) {
		return a
	}
	share := s.share(s.drawn.count(now), now)
	bounds := s.node.current.Load().Quota
	for _, l := range q.GetLoans() {
		o := s.node.view.Config().Callers().Named(l.GetOrganisation())
		if o == nil || !o.Quota().Limits() {
			continue
		}
		if units := int64(s.pool.Lend(l.GetOrganisation(), float64(l.GetUnits()), bounds.Limit(o.Quota(), share), now)); units > 0 {
			a.Loans = append(a.Loans, &wire.Loan{Organisation: l.GetOrganisation(), Units: units})
		}
	}
	return a
}
