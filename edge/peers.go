// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/member"
	"cairnwick.example/share"
	"github.com/go-logr/logr"
)

// roleBox is the role under which boxes are members.
const roleBox = "edge"

const (
	heartbeat  = 300 * time.Millisecond // a dead neighbour is suspected after one and a half
	suspectFor = 900 * time.Millisecond // and dead after three more
	forgetDead = 10 * time.Minute       // the dead are looked for so long, in case a cut heals
	freshFor   = 2 * time.Second        // how long an exchange would confirm the view; no box asks
	pauseLimit = time.Second            // a longer gap between two beats is a pause of this process
	neighbours = 2                      // the next ones on the ring, to which heartbeats go
	peerDial   = 400 * time.Millisecond // a box that is dark drops the opening packet; the next try may meet it up
	silentFor  = 550 * time.Millisecond // just below two heartbeats in a row without a byte: the connection may be silent for good while new ones work; what is lost once comes again after 200 ms
	settleFor  = 700 * time.Millisecond // after the start, for the view to become whole: the first second's beats are quick
	metFor     = 300 * time.Millisecond // the same after the first other box was met
	aloneFor   = 2 * time.Second        // after the start, where no other box was met: the seeds may be late
	askSlack   = 300 * time.Millisecond // on top of what a request can wait
	lookPause  = 100 * time.Millisecond // between two looks at who leads
	usePause   = 500 * time.Millisecond // between two whole reports of use
	// changePause is how long a change of use waits for others: a leader must know what is
	// in use before it empties a slot, and calls cost processor time.
	changePause = 20 * time.Millisecond
)

// peers is this box among the others.
type peers struct {
	box     string
	centre  string
	table   *member.Table
	loop    *member.Loop
	dialer  *daemon.Dialer
	items   *share.Table
	log     logr.Logger
	started time.Time
	reads   func() bool          // whether this box reads the source of the configuration
	seeds   func() []string      // other boxes that should be there, at their addresses
	behind  func() time.Duration // how far this box may be behind that source
	known   *checkpoints         // of the source, by this box

	clusterViews clusterViews

	mu       sync.Mutex
	met      time.Time               // when another box was first met
	leaders  map[string]leadership   // by data centre
	statuses map[string]leaderStatus // by box that is followed
}

// leaderStatus is what a followed box sent of how far the source was read.
type leaderStatus struct {
	received time.Time // when the last status came
	readAt   time.Time // when the source was read, by the status
	settled  Revision  // checkpoint of the configuration in the last status
	first    Revision  // checkpoint of endpoints in the first status of the stream; zero: none yet, or an older version's
}

// isFresh reports whether a status still counts at now.
func (w leaderStatus) isFresh(now time.Time, behind time.Duration) bool {
	return now.Sub(w.readAt) < maxStatusAge(behind) && now.Sub(w.received) < share.SilentAfter
}

// leadership is who leads a data centre, and since when.
type leadership struct {
	name   string
	before string    // who led before; empty: not known
	from   time.Time // when it may give orders
}

// leads reports whether this box leads a data centre, and from when on it may give
// orders there. A new leader waits for the lease of the one before, unless that
// one is known to have ended.
func (p *peers) leads(centre string, lease time.Duration, now time.Time) (bool, time.Time) {
	m, ok := p.clusterView().leader(centre)
	if !ok {
		return false, now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaders == nil {
		p.leaders = make(map[string]leadership)
	}
	settled := p.settledLocked(now)
	old, known := p.leaders[centre]
	if !known || old.name != m.Name() {
		from := now
		if now.After(settled) && p.works(old.name) {
			from = now.Add(lease + lease/4)
		}
		p.leaders[centre] = leadership{name: m.Name(), before: old.name, from: from}
		p.log.Info("Data centre has a leader", "led_data_centre", centre, "leader", m.Name(), "before", old.name)
	}
	from := p.leaders[centre].from
	if settled.After(from) {
		from = settled
	}
	return m.Name() == p.box, from
}

// settledLocked is when this box's first view of the others can be trusted. One that
// claimed endpoints before it had met anybody would take them from their owners.
func (p *peers) settledLocked(now time.Time) time.Time {
	if p.met.IsZero() && len(p.table.All()) > 1 {
		p.met = now
	}
	if p.met.IsZero() {
		return p.started.Add(aloneFor)
	}
	settled, met := p.started.Add(settleFor), p.met.Add(metFor)
	if met.After(settled) {
		return met
	}
	return settled
}

// settled is when this box's first view of the others can be trusted.
func (p *peers) settled(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settledLocked(now)
}

// works reports whether a box is believed to serve.
func (p *peers) works(name string) bool {
	m, ok := p.table.Find(name)
	return ok && m.Serving()
}

// budgetBoxes returns how many boxes share what all may send again; zero as long as the
// first view of the others is not whole, and where this box should know others and does not.
// Boxes that fell silent count too: on the sides of a cut, shares by those that answer alone would add
// up to the whole on each side.
func (p *peers) budgetBoxes(now time.Time) int {
	p.mu.Lock()
	settled, met := p.settledLocked(now), !p.met.IsZero()
	p.mu.Unlock()
	if now.Before(settled) || (!met && len(p.seeds()) > 0) {
		return 0
	}
	return max(p.clusterView().boxes, 1)
}

// near reports whether the box at an IP number is of the own data centre; known is false for one
// that is not known.
func (p *peers) near(ip string) (near, known bool) {
	for _, m := range p.table.All() {
		if host, _, err := net.SplitHostPort(m.Address()); err == nil && host == ip {
			return m.DataCentre() == p.centre, true
		}
	}
	return false, false
}

// lost lists boxes that are believed dead: a cut that heals is noticed there.
func (p *peers) lost() []string {
	var list []string
	for _, m := range p.table.All() {
		if m.State() == member.Dead {
			list = append(list, m.Address())
		}
	}
	return list
}

// otherSeeds returns the seeds that are not this box, in a random order.
func otherSeeds(seeds []string, self string) []string {
	var list []string
	for _, s := range seeds {
		if s != self {
			list = append(list, s)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
