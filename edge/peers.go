// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/member"
	"cairnwick.example/share"
	"github.com/go-logr/logr"
)

// roleBox is the member role of boxes.
const roleBox = "edge"

const (
	heartbeatInterval   = 300 * time.Millisecond // interval and timeout; a dead neighbour is suspected after 1.5 intervals
	suspectTimeout      = 900 * time.Millisecond // after it a suspected member is considered dead: three more intervals
	deadRetention       = 10 * time.Minute       // how long dead members are still probed, in case a network partition heals
	exchangeFreshness   = 2 * time.Second        // how long a heartbeat exchange confirms the view; unused by boxes
	maxHeartbeatGap     = time.Second            // a longer gap between two heartbeats counts as a pause of this process
	heartbeatNeighbours = 2                      // number of ring successors that get heartbeats
	peerDialTimeout     = 400 * time.Millisecond // an unreachable box drops the SYN; the next attempt may find it up
	connSilenceLimit    = 550 * time.Millisecond // just below two heartbeat intervals without a byte: a stalled connection may never recover while new ones work; a single lost packet is retransmitted after 200 ms
	initialViewDelay    = 700 * time.Millisecond // after start-up, until the membership view is complete: heartbeats of the first second are more frequent
	firstContactDelay   = 300 * time.Millisecond // the same after the first contact with another box
	noContactDelay      = 2 * time.Second        // the same after start-up without contact to any other box: the seeds may start later
	askTimeoutMargin    = 300 * time.Millisecond // added to a request's wait time for the timeout of its call
	leaderCheckInterval = 100 * time.Millisecond // between two checks of which boxes lead
	fullUsageInterval   = 500 * time.Millisecond // between two full usage reports
	// usageBatchDelay is how long usage changes are batched. A leader must know which adapters are in use before it
	// evicts one from a slot, but each call costs processor time.
	usageBatchDelay = 20 * time.Millisecond
)

// peers holds this box's view of the other boxes, and its connections to them.
type peers struct {
	box          string
	centre       string
	table        *member.Table
	loop         *member.HeartbeatLoop
	dialer       *daemon.Dialer
	items        *share.Table
	log          logr.Logger
	started      time.Time
	readsSource  func() bool                    // whether this box reads the source of the configuration
	seeds        func() []string                // addresses of other boxes that should exist, by the settings
	maxStaleness func() time.Duration           // maximum staleness of this box relative to that source
	lastData     func(address string) time.Time // when data last came from a box, by package clock; nil: not known
	checkpoints  *checkpoints                   // up to which this box knows the source
	onStatus     func(now time.Time)            // called after each status of a followed box
	sentBy       func(now time.Time) time.Time  // the earliest time at which a message that was read at now may have been sent; nil: that time

	clusterViews  clusterViews
	receivedFacts atomic.Bool // a followed box has sent all that it knew

	mu           sync.Mutex
	firstContact time.Time               // first contact with another box; zero: none yet
	leaders      map[string]leadership   // by data centre
	statuses     map[string]leaderStatus // by followed box
}

// leaderStatus is what a followed box sent of how far the source was read.
type leaderStatus struct {
	received time.Time // when the last status came
	readAt   time.Time // when the source was read, by the status
	settled  Revision  // checkpoint of the configuration in the last status
	first    Revision  // checkpoint of endpoints in the first status of the stream; zero: none yet, or an older version's
}

// isFresh reports whether a status is still recent enough at now.
func (w leaderStatus) isFresh(now time.Time, behind time.Duration) bool {
	return now.Sub(w.readAt) < maxStatusAge(behind) && now.Sub(w.received) < share.IdleTimeout
}

// leadership is the current leader of a data centre, and when it may start to issue commands to endpoints.
type leadership struct {
	name         string
	previous     string    // previous leader; empty: not known
	commandsFrom time.Time // when it may issue commands
}

// leads reports whether this box commands the endpoints of a data centre, and from when on. A new commander waits until
// the lease of the previous one has expired, unless that one no longer serves or is cut off from them.
func (p *peers) leads(centre string, lease time.Duration, now time.Time) (bool, time.Time) {
	m, ok := p.clusterView().commander(centre)
	if !ok {
		return false, now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaders == nil {
		p.leaders = make(map[string]leadership)
	}
	trusted := p.viewTrustedFromLocked(now)
	old, known := p.leaders[centre]
	if !known || old.name != m.Name() {
		from := now
		if now.After(trusted) && p.mayCommand(old.name) {
			from = now.Add(lease + lease/4)
		}
		p.leaders[centre] = leadership{name: m.Name(), previous: old.name, commandsFrom: from}
		p.log.Info("Data centre has a leader", "led_data_centre", centre, "leader", m.Name(), "before", old.name)
	}
	from := p.leaders[centre].commandsFrom
	if trusted.After(from) {
		from = trusted
	}
	return m.Name() == p.box, from
}

// viewTrustedFromLocked returns from when on this box's initial view of the others can be trusted. A box that claimed
// endpoints before it had contact with any other would take them from their owners.
func (p *peers) viewTrustedFromLocked(now time.Time) time.Time {
	if p.firstContact.IsZero() && len(p.table.Members()) > 1 {
		p.firstContact = now
	}
	if p.firstContact.IsZero() {
		return p.started.Add(noContactDelay)
	}
	trusted, trustedByContact := p.started.Add(initialViewDelay), p.firstContact.Add(firstContactDelay)
	if trustedByContact.After(trusted) {
		return trustedByContact
	}
	return trusted
}

// hasContact reports whether this box has had contact with another box, or knows of none by its settings.
func (p *peers) hasContact() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.viewTrustedFromLocked(time.Now()) // notes the first contact
	return !p.firstContact.IsZero() || len(p.seeds()) == 0
}

// viewTrustedFrom returns from when on this box's initial view of the others can be trusted.
func (p *peers) viewTrustedFrom(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewTrustedFromLocked(now)
}

// mayCommand reports whether a box that commanded endpoints may still do so: it serves and has not reported that it is
// cut off from them.
func (p *peers) mayCommand(name string) bool {
	m, ok := p.table.Find(name)
	return ok && m.Serving() && !m.CutOff()
}

// isAlone reports whether no other box is considered serving.
func (p *peers) isAlone() bool {
	for _, m := range p.table.Members() {
		if m.Role() == roleBox && m.Name() != p.box && m.Serving() {
			return false
		}
	}
	return true
}

// isServing reports whether a box is considered serving.
func (p *peers) isServing(name string) bool {
	m, ok := p.table.Find(name)
	return ok && m.Serving()
}

// budgetBoxes returns how many boxes share the retry budget; zero until the initial view of the others is complete,
// and while this box has seeds but no contact to any other box. Unreachable boxes count too: otherwise each side of a
// network partition would spend the whole budget.
func (p *peers) budgetBoxes(now time.Time) int {
	p.mu.Lock()
	trusted, hasContact := p.viewTrustedFromLocked(now), !p.firstContact.IsZero()
	p.mu.Unlock()
	if now.Before(trusted) || (!hasContact && len(p.seeds()) > 0) {
		return 0
	}
	return max(p.clusterView().boxes, 1)
}

// isNear reports whether the box with an IP address is in this data centre; known is false for an unknown address.
func (p *peers) isNear(ip string) (near, known bool) {
	for _, m := range p.table.Members() {
		if host, _, err := net.SplitHostPort(m.Address()); err == nil && host == ip {
			return m.DataCentre() == p.centre, true
		}
	}
	return false, false
}

// deadAddresses returns the addresses of dead boxes. They are still probed, to detect when a network partition heals.
func (p *peers) deadAddresses() []string {
	var list []string
	for _, m := range p.table.Members() {
		if m.State() == member.Dead {
			list = append(list, m.Address())
		}
	}
	return list
}

// otherSeeds returns the seeds other than this box, in random order.
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
