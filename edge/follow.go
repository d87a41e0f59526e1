// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/share"
	"cairnwick.example/wire"
)

// followChangeDelay is how long changes of members are collected before the boxes to follow are chosen again. A box that
// starts should follow at once: until then it knows nothing that only boxes know, such as quarantined requests.
const followChangeDelay = 5 * time.Millisecond

// followAll keeps a stream open from each box that this one follows, until ctx ends.
func (p *peers) followAll(ctx context.Context) error {
	running := make(map[followTarget]context.CancelFunc)
	ended := make(chan followTarget)
	for ctx.Err() == nil {
		changed := p.table.Changed()
		wanted := p.followTargets()
		for s := range wanted {
			if running[s] != nil {
				continue
			}
			inner, cancel := context.WithCancel(ctx)
			running[s] = cancel
			go func() {
				p.follow(inner, s)
				ended <- s
			}()
		}
		for s, cancel := range running {
			if !wanted[s] {
				cancel()
			}
		}
		select {
		case <-ctx.Done():
		case s := <-ended:
			running[s]()
			delete(running, s)
			sleep(ctx, leaderCheckInterval)
		case <-changed:
			sleep(ctx, followChangeDelay)
		case <-time.After(leaderCheckInterval):
		}
	}
	for range running {
		<-ended
	}
	return nil
}

// followTarget is a box to follow.
type followTarget struct {
	name       string
	address    string
	everything bool // otherwise only facts that this box does not read from the source itself
}

// followTargets returns the boxes to follow now. The boxes of a data centre follow its leader, some through
// other boxes; leaders follow each other. Traffic between data centres is expensive, so a leader that
// reads the source itself takes from other leaders only the facts that the source does not have. It takes those from
// leaving boxes too: when all boxes restart within the time that leaving takes, the first one to return leads, and only
// boxes that are leaving have them.
func (p *peers) followTargets() map[followTarget]bool {
	list := make(map[followTarget]bool)
	if m, _, ok := p.clusterView().parent(); ok {
		list[followTarget{name: m.Name(), address: m.Address(), everything: true}] = true
		return list
	}
	o := p.clusterView()
	for _, c := range o.centres {
		if m, ok := o.leader(c); ok && m.Name() != p.box {
			list[followTarget{name: m.Name(), address: m.Address(), everything: !p.readsSource()}] = true
		}
	}
	for _, m := range o.departing {
		list[followTarget{name: m.Name(), address: m.Address()}] = true
	}
	return list
}

// hasFacts reports whether this box has received what only other boxes know, as far as they answer: it follows nobody, or
// has received all that a box that it follows knew, or has waited for that for initialFactsTimeout.
func (p *peers) hasFacts(now time.Time) bool {
	if p.receivedFacts.Load() || now.Sub(p.started) >= initialFactsTimeout {
		return true
	}
	hasContact := len(p.table.Members()) > 1 // before, it does not know whom to follow
	return (hasContact || len(p.seeds()) == 0) && len(p.followTargets()) == 0
}

// initialFactsTimeout bounds how long a box that starts is not ready for want of facts that only boxes have. A box that
// answers sends them within some milliseconds of the first contact.
const initialFactsTimeout = 500 * time.Millisecond

// follow merges the updates of one box until the stream ends.
func (p *peers) follow(ctx context.Context, s followTarget) {
	q := &wire.FollowRequest{Box: p.box, Everything: s.everything}
	c := wire.NewShareClient(p.dialer.Conn(s.address))
	p.resetStream(s.name)
	lastData := func() time.Time { return p.lastData(s.address) }
	err := share.Follow(ctx, c, q, p.items, lastData, func(u *wire.Update, received time.Time) { p.apply(s, u, received) })
	if ctx.Err() == nil {
		p.log.Info("Update stream from box ended", "followed", s.name, "err", err.Error())
		p.loop.Probe(s.name)
	}
}

// apply records the status in a message of a followed box, whose facts have been merged already. A
// stream without everything carries no endpoint entries, so its status does not cover them.
func (p *peers) apply(s followTarget, u *wire.Update, received time.Time) {
	p.table.RecordContact(s.name, received)
	if !share.IsFullBatch(u.GetItems()) { // the last message of a list: the latest facts come last
		p.receivedFacts.Store(true)
	}
	if !u.GetReading() {
		return
	}
	status := share.ReadStatus{Age: time.Duration(u.GetAgeMicros()) * time.Microsecond, SettledRevision: u.GetSettledRevision()}
	if s.everything {
		status.EndpointsRevision = u.GetEndpointsRevision()
	}
	p.receiveStatus(s.name, status, received)
	p.onStatus(received)
}

// resetStream records that a new stream from a box begins. The box may have restarted and listed the
// source after an endpoint was removed, in which case it never sends that removal, and this box would
// keep the endpoint. So its status counts for endpoints only once this box has read the source up to
// the first status of the stream.
func (p *peers) resetStream(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.statuses[name]; ok {
		w.first = 0
		p.statuses[name] = w
	}
}

// receiveStatus records how far a followed box has read the source, by a status received at now.
func (p *peers) receiveStatus(name string, status share.ReadStatus, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.statuses == nil {
		p.statuses = make(map[string]leaderStatus)
	}
	sent := now
	if p.sentBy != nil {
		sent = p.sentBy(clock.Now())
	}
	read := earlier(sent, now).Add(-status.Age)
	w := p.statuses[name]
	w.received, w.settled = now, Revision(status.SettledRevision)
	if read.After(w.readAt) {
		w.readAt = read
	}
	if w.first == 0 {
		w.first = Revision(status.EndpointsRevision)
	}
	p.statuses[name] = w
	p.checkpoints.advance(Configuration, checkpoint{revision: Revision(status.SettledRevision), asOf: read})
	if p.isComplete(w) {
		p.checkpoints.advance(Endpoints, checkpoint{revision: Revision(status.EndpointsRevision), asOf: read})
	}
}

// isComplete reports whether this box misses no removal of an endpoint up to a status: it had read
// everything up to the first status of that stream, and the stream has sent the rest.
func (p *peers) isComplete(w leaderStatus) bool {
	return w.first != 0 && w.first <= p.checkpoints.of(Endpoints).revision
}

// statusAge returns the age of the leader's last read of the source, by the status of the followed
// box. It returns false if that read is too old, if the followed box has not sent a message for too
// long, or if this box leads.
func (p *peers) statusAge(now time.Time) (time.Duration, bool) {
	w, ok := p.latestStatus()
	return now.Sub(w.readAt), ok && p.isOfCurrentEpoch(w) && w.isFresh(now, p.maxStaleness())
}

// isOfCurrentEpoch reports whether a followed box knows of the last restore of the source that this
// box knows of.
func (p *peers) isOfCurrentEpoch(w leaderStatus) bool {
	return w.settled.Epoch() >= p.checkpoints.of(Configuration).revision.Epoch()
}

// completeStatusAge is statusAge for a followed box from which this one cannot have missed a removal.
func (p *peers) completeStatusAge(now time.Time) (time.Duration, bool) {
	w, ok := p.latestStatus()
	return now.Sub(w.readAt), ok && p.isOfCurrentEpoch(w) && p.isComplete(w) && w.isFresh(now, p.maxStaleness())
}

// latestStatusAge returns the age of the leader's last read by the latest status, however old. It
// returns false if there is no status yet or if this box leads.
func (p *peers) latestStatusAge(now time.Time) (time.Duration, bool) {
	w, ok := p.latestStatus()
	return now.Sub(w.readAt), ok && !w.received.IsZero()
}

// latestStatus returns the latest status of the followed box; false if this box leads.
func (p *peers) latestStatus() (leaderStatus, bool) {
	m, _, ok := p.clusterView().parent()
	if !ok {
		return leaderStatus{}, false
	}
	p.mu.Lock()
	w := p.statuses[m.Name()]
	p.mu.Unlock()
	if w.received.IsZero() || p.lastData == nil {
		return w, true
	}
	if at := p.lastData(m.Address()); at.After(w.received) {
		w.received = at // the next message may be a large one that is arriving
	}
	return w, true
}

// leaderIsCurrent reports whether this box receives, without gaps, what a leader with a recent read of
// the source sends.
func (p *peers) leaderIsCurrent(now time.Time) bool {
	_, ok := p.completeStatusAge(now)
	return ok
}
