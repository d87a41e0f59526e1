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
			sleep(ctx, lookPause)
		case <-time.After(lookPause):
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
			list[source{name: m.Name(), address: m.Address(), everything: !p.reads()}] = true
		}
	}
	return list
}

// follow merges what one box tells until the stream ends.
func (p *peers) follow(ctx context.Context, s source) {
	q := &wire.FollowRequest{Box: p.box, Everything: s.everything}
	c := wire.NewShareClient(p.dialer.Conn(s.address))
	p.begin(s.name)
	err := share.Follow(ctx, c, q, p.items, func(u *wire.Update, came time.Time) { p.took(s, u, came) })
	if ctx.Err() == nil {
		p.log.Info("Stream from a box ended", "followed", s.name, "err", err.Error())
		p.loop.Probe(s.name)
	}
}

// took notes a message of a followed box, whose facts were taken in. One that is followed only for what
// it alone knows tells of no endpoints that the source publishes, so its word says nothing of those.
func (p *peers) took(s source, u *wire.Update, came time.Time) {
	p.table.Seen(s.name, came)
	if !u.GetReading() {
		return
	}
	said := share.Word{Age: time.Duration(u.GetAgeMicros()) * time.Microsecond, Settled: u.GetSettledRevision()}
	if s.everything {
		said.Endpoints = u.GetEndpointsRevision()
	}
	p.hear(s.name, said, came)
}

// begin notes that a box is followed anew. It may have started again since, and list the
// source without what has left; what this box kept meanwhile it would never tell of. So its
// word counts once this box knows the source up to the first word of it.
func (p *peers) begin(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.words[name]; ok {
		w.first = 0
		p.words[name] = w
	}
}

// hear notes how far the source was heard, by what a box that is followed said at now.
func (p *peers) hear(name string, said share.Word, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.words == nil {
		p.words = make(map[string]word)
	}
	heard := now.Add(-said.Age)
	w := p.words[name]
	w.told, w.settled = now, Revision(said.Settled)
	if heard.After(w.heard) {
		w.heard = heard
	}
	if w.first == 0 {
		w.first = Revision(said.Endpoints)
	}
	p.words[name] = w
	p.known.raise(Settled, mark{revision: Revision(said.Settled), asOf: heard})
	if p.isComplete(w) {
		p.known.raise(Endpoints, mark{revision: Revision(said.Endpoints), asOf: heard})
	}
}

// isComplete tells whether this box misses no removal of an endpoint up to a word: it knew all
// up to the first one of that stream, which has told the rest.
func (p *peers) isComplete(w word) bool {
	return w.first != 0 && w.first <= p.known.of(Endpoints).revision
}

// wordAgo tells how long ago the source was heard by the leader, as far as the box that
// is followed tells; false where that is too long ago, where that box has said nothing for
// long, or where this box leads.
func (p *peers) wordAgo(now time.Time) (time.Duration, bool) {
	w, ok := p.latestWord()
	return now.Sub(w.heard), ok && p.knowsEpoch(w) && w.isFresh(now, p.behind())
}

// knowsEpoch reports whether a followed box has learned that the source was restored, as far as this box knows of it.
func (p *peers) knowsEpoch(w word) bool {
	return w.settled.Epoch() >= p.known.of(Settled).revision.Epoch()
}

// heardAgo tells the same where this box cannot have missed what left before.
func (p *peers) heardAgo(now time.Time) (time.Duration, bool) {
	w, ok := p.latestWord()
	return now.Sub(w.heard), ok && p.knowsEpoch(w) && p.isComplete(w) && w.isFresh(now, p.behind())
}

// toldAgo tells how long ago the source was heard by the word of the box that is followed,
// however old; false where it has said nothing yet, or where this box leads.
func (p *peers) toldAgo(now time.Time) (time.Duration, bool) {
	w, ok := p.latestWord()
	return now.Sub(w.heard), ok && !w.told.IsZero()
}

// latestWord returns what the box that is followed said last; false where this box leads.
func (p *peers) latestWord() (word, bool) {
	m, _, ok := p.clusterView().parent()
	if !ok {
		return word{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.words[m.Name()], true
}

// informed tells whether this box is told what a leader that reads the source reads.
func (p *peers) informed(now time.Time) bool {
	_, ok := p.heardAgo(now)
	return ok
}
