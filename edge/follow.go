// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/share"
	"cairnwick.example/wire"
)

// followAll follows the boxes that this one learns from, until ctx ends.
func (p *peers) followAll(ctx context.Context) error {
	running := make(map[source]context.CancelFunc)
	ended := make(chan source)
	for ctx.Err() == nil {
		wanted := p.sources()
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
		case <-time.After(leaderCheckInterval):
		}
	}
	for range running {
		<-ended
	}
	return nil
}

// source is a box to follow.
type source struct {
	name       string
	address    string
	everything bool // else only what this box does not read by itself
}

// sources returns the boxes to follow now: those of the own data centre follow the
// leader, some by way of others; leaders follow each other. Bytes between data centres
// are dear, so a leader that reads the source of the configuration takes from the others
// only what they alone know.
func (p *peers) sources() map[source]bool {
	list := make(map[source]bool)
	if m, _, ok := p.clusterView().parent(); ok {
		list[source{name: m.Name(), address: m.Address(), everything: true}] = true
		return list
	}
	o := p.clusterView()
	for _, c := range o.centres {
		if m, ok := o.leader(c); ok && m.Name() != p.box {
			list[source{name: m.Name(), address: m.Address(), everything: !p.readsSource()}] = true
		}
	}
	return list
}

// follow merges what one box sends until the stream ends.
func (p *peers) follow(ctx context.Context, s source) {
	q := &wire.FollowRequest{Box: p.box, Everything: s.everything}
	c := wire.NewShareClient(p.dialer.Conn(s.address))
	p.begin(s.name)
	err := share.Follow(ctx, c, q, p.items, func(u *wire.Update, came time.Time) { p.apply(s, u, came) })
	if ctx.Err() == nil {
		p.log.Info("Stream from a box ended", "followed", s.name, "err", err.Error())
		p.loop.Probe(s.name)
	}
}

// apply records the status in a message of a followed box, whose facts were merged. One that is followed only for
// what it alone knows sends no endpoints of the source, so its status says nothing of those.
func (p *peers) apply(s source, u *wire.Update, came time.Time) {
	p.table.Seen(s.name, came)
	if !u.GetReading() {
		return
	}
	said := share.Status{Age: time.Duration(u.GetAgeMicros()) * time.Microsecond, Settled: u.GetSettledRevision()}
	if s.everything {
		said.Endpoints = u.GetEndpointsRevision()
	}
	p.receiveStatus(s.name, said, came)
}

// begin records that a box is followed anew. It may have started again since, and listed the source without what had
// left; it would never send the removal of what this box kept meanwhile. So its status counts once this box has read
// the source up to the first one of the stream.
func (p *peers) begin(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.statuses[name]; ok {
		w.first = 0
		p.statuses[name] = w
	}
}

// receiveStatus records how far a followed box has read the source, by its status that came at now.
func (p *peers) receiveStatus(name string, said share.Status, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.statuses == nil {
		p.statuses = make(map[string]leaderStatus)
	}
	read := now.Add(-said.Age)
	w := p.statuses[name]
	w.received, w.settled = now, Revision(said.Settled)
	if read.After(w.readAt) {
		w.readAt = read
	}
	if w.first == 0 {
		w.first = Revision(said.Endpoints)
	}
	p.statuses[name] = w
	p.checkpoints.advance(Settled, checkpoint{revision: Revision(said.Settled), asOf: read})
	if p.isComplete(w) {
		p.checkpoints.advance(Endpoints, checkpoint{revision: Revision(said.Endpoints), asOf: read})
	}
}

// isComplete reports whether this box misses no removal of an endpoint up to a status: it knew all up to the first one
// of that stream, which has sent the rest.
func (p *peers) isComplete(w leaderStatus) bool {
	return w.first != 0 && w.first <= p.checkpoints.of(Endpoints).revision
}

// statusAge returns how long ago the leader read the source, by the status of the followed box; false where that is too
// long ago, where that box has sent nothing for long, or where this box leads.
func (p *peers) statusAge(now time.Time) (time.Duration, bool) {
	w, ok := p.latestStatus()
	return now.Sub(w.readAt), ok && p.knowsEpoch(w) && w.isFresh(now, p.maxStaleness())
}

// knowsEpoch reports whether a followed box has learned that the source was restored, as far as this box knows of it.
func (p *peers) knowsEpoch(w leaderStatus) bool {
	return w.settled.Epoch() >= p.checkpoints.of(Settled).revision.Epoch()
}

// completeStatusAge returns the same where this box cannot have missed what left before.
func (p *peers) completeStatusAge(now time.Time) (time.Duration, bool) {
	w, ok := p.latestStatus()
	return now.Sub(w.readAt), ok && p.knowsEpoch(w) && p.isComplete(w) && w.isFresh(now, p.maxStaleness())
}

// latestStatusAge returns how long ago the source was read by the status of the followed box, however old; false where
// it has sent none yet, or where this box leads.
func (p *peers) latestStatusAge(now time.Time) (time.Duration, bool) {
	w, ok := p.latestStatus()
	return now.Sub(w.readAt), ok && !w.received.IsZero()
}

// latestStatus returns the last status of the followed box; false where this box leads.
func (p *peers) latestStatus() (leaderStatus, bool) {
	m, _, ok := p.clusterView().parent()
	if !ok {
		return leaderStatus{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statuses[m.Name()], true
}

// informed reports whether this box receives what a leader that reads the source reads.
func (p *peers) informed(now time.Time) bool {
	_, ok := p.completeStatusAge(now)
	return ok
}
