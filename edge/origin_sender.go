// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/forward/origin"
	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

const (
	// originCopies is how many other boxes store the origins of a box's streams: if half of all boxes are killed at the same
	// time, 15 of 16 origins are left.
	originCopies = 4
	// localOriginCopies is how many of these boxes are in the box's data centre: either side of a network partition has copies.
	localOriginCopies = 2
	// maxOriginDirectory is how many boxes may store origins. It bounds the boxes that are asked for one, of which a box keeps
	// connections for a while; with fewer, each would store those of more boxes.
	maxOriginDirectory = 128
	// originTimeout is the timeout of a message with origins.
	originTimeout = 400 * time.Millisecond
	// originRetryDelay is the time after which a message is repeated to a box that did not answer.
	originRetryDelay = 100 * time.Millisecond
	// heldCheckInterval is the time between two checks whether records that were not sent are needed, besides those after changes of
	// endpoints: this box may have lost the source.
	heldCheckInterval = 250 * time.Millisecond
	// maxOriginsPerMessage bounds the records in one message.
	maxOriginsPerMessage = 1024
	// originDirectoryKey ranks the boxes for the directory, the same for all boxes.
	originDirectoryKey = "origins"
)

// originSender sends the origins of this box's streams to the boxes that store copies. Each of them has a queue, so that one
// that does not answer holds up no other. A box that begins to store copies gets all that are still of use.
type originSender struct {
	origins *origins
	wake    chan struct{} // signals that a record was added

	mu    sync.Mutex
	added []origin.Record           // not yet queued
	held  map[origin.Key]heldOrigin // not sent, since the version that began the streams is the only one

	queues map[string]*originQueue // by leaderKey; used by run only
	ended  chan originDelivery     // of the deliveries in progress; used by run only
}

// heldOrigin is a record that is not sent for the time being.
type heldOrigin struct {
	origin.Record

	age time.Duration // that its stream may reach
}

// originQueue holds the records that one box has not received.
type originQueue struct {
	member  member.Member
	records []origin.Record
	sending bool
	retryAt time.Time // when the next delivery may begin
}

// originDelivery is the end of a delivery.
type originDelivery struct {
	queue  *originQueue
	unsent []origin.Record // to be repeated
}

// add queues a record for all boxes that store copies.
func (s *originSender) add(r origin.Record) {
	s.mu.Lock()
	s.added = append(s.added, r)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// hold keeps a record of a stream whose software is the only one: other boxes know its origin without it. It is sent once they may not.
func (s *originSender) hold(r origin.Record, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = make(map[origin.Key]heldOrigin)
	}
	if len(s.held) < maxOrigins {
		s.held[r.Key] = heldOrigin{Record: r, age: age}
	}
}

// releaseHeld queues the records of services of which other boxes may not know the only version any more, and drops expired ones.
func (s *originSender) releaseHeld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := make(map[string]time.Duration) // by service: the longest of its records
	for k, r := range s.held {
		if !now.Before(r.Expires) {
			delete(s.held, k)
			continue
		}
		age[r.Origin.Service] = max(age[r.Origin.Service], r.age)
	}
	for service, longest := range age {
		if _, sole := s.origins.sole(forward.OriginQuery{Service: service, Age: longest}); sole {
			continue
		}
		for k, r := range s.held {
			if r.Origin.Service == service {
				s.added = append(s.added, r.Record)
				delete(s.held, k)
			}
		}
	}
}

// isHeld reports whether a record has not been sent on purpose.
func (s *originSender) isHeld(r origin.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, held := s.held[r.Key]
	return held
}

func (s *originSender) heldCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// run sends records until ctx ends.
func (s *originSender) run(ctx context.Context) error {
	s.queues, s.ended = make(map[string]*originQueue), make(chan originDelivery)
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	check := time.NewTicker(heldCheckInterval)
	defer check.Stop()
	inProgress := 0
	for ctx.Err() == nil {
		changed, endpointsChanged := s.origins.node.peers.table.Changed(), s.origins.node.view.Changed()
		s.releaseHeld(clock.Now())
		s.updateQueues()
		started, retry := s.startDeliveries(ctx)
		inProgress += started
		select {
		case <-ctx.Done():
		case <-changed:
		case <-endpointsChanged:
		case <-check.C:
		case <-s.wake:
		case <-retry:
		case <-expire.C:
			s.origins.table.Expire(clock.Now())
		case d := <-s.ended:
			inProgress--
			s.finish(d)
		}
	}
	for range inProgress {
		<-s.ended
	}
	return nil
}

// updateQueues adds the new records to all queues, and has one queue for each box that stores copies.
func (s *originSender) updateQueues() {
	s.mu.Lock()
	added := s.added
	s.added = nil
	s.mu.Unlock()
	for _, q := range s.queues {
		q.records = append(q.records, added...)
	}
	partners := make(map[string]bool)
	for _, m := range s.partners() {
		key := leaderKey(m)
		partners[key] = true
		if s.queues[key] == nil {
			s.queues[key] = &originQueue{member: m, records: slices.DeleteFunc(s.origins.table.Own(clock.Now()), s.isHeld)}
		}
	}
	for key := range s.queues {
		if !partners[key] {
			delete(s.queues, key)
		}
	}
}

// partners returns the boxes that store copies of this box's records.
func (s *originSender) partners() []member.Member {
	p := s.origins.node.peers
	return originPartners(p.box, p.centre, p.otherBoxes())
}

// startDeliveries starts a delivery for each queue that has records and none in progress. It returns how many it started,
// and a channel that receives when the next queue may be retried.
func (s *originSender) startDeliveries(ctx context.Context) (started int, retry <-chan time.Time) {
	now := clock.Now()
	var wait time.Duration
	for _, q := range s.queues {
		switch {
		case q.sending || len(q.records) == 0:
		case now.Before(q.retryAt):
			if left := q.retryAt.Sub(now); wait == 0 || left < wait {
				wait = left
			}
		default:
			batch := q.records[:min(len(q.records), maxOriginsPerMessage)]
			q.records, q.sending = slices.Clone(q.records[len(batch):]), true
			started++
			go func() { s.ended <- s.deliver(ctx, q, batch) }()
		}
	}
	if wait > 0 {
		retry = time.After(wait)
	}
	return started, retry
}

// deliver sends records to one box.
func (s *originSender) deliver(ctx context.Context, q *originQueue, batch []origin.Record) originDelivery {
	call, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	now := clock.Now()
	m := &wire.RecordOriginsRequest{Box: s.origins.node.peers.box}
	for _, r := range batch {
		if now.Before(r.Expires) {
			m.Origins = append(m.Origins, recordToWire(r, now))
		}
	}
	_, err := wire.NewShareClient(s.origins.node.peers.dialer.Conn(q.member.Address())).RecordOrigins(call, m)
	if err != nil {
		s.origins.node.Log.V(1).Info("Origins of streams could not be sent", "member", q.member.Name(), "records", len(batch), "err", err.Error())
		return originDelivery{queue: q, unsent: batch}
	}
	return originDelivery{queue: q}
}

// finish queues the records of a failed delivery again. The oldest go if a box does not answer for long.
func (s *originSender) finish(d originDelivery) {
	q := d.queue
	q.sending = false
	if len(d.unsent) == 0 {
		return
	}
	q.records = append(slices.Clone(d.unsent), q.records...)
	q.records = q.records[max(len(q.records)-maxOrigins, 0):]
	q.retryAt = clock.Now().Add(originRetryDelay)
}

// otherBoxes returns the other boxes that serve.
func (p *peers) otherBoxes() []member.Member {
	var list []member.Member
	for _, m := range p.table.Members() {
		if m.Role() == roleBox && m.Serving() && m.Name() != p.box {
			list = append(list, m)
		}
	}
	return list
}

// originHolders returns the boxes that may have the origin of a stream: the directory, and those that were part of it until they
// announced their shutdown, which may be nearly all in a release.
func (p *peers) originHolders() []member.Member {
	boxes := p.otherBoxes()
	holders := originDirectory(boxes)
	for _, m := range p.table.Members() {
		if m.Role() == roleBox && m.State() == member.Leaving && m.Name() != p.box {
			boxes = append(boxes, m)
		}
	}
	for _, m := range originDirectory(boxes) {
		if m.State() == member.Leaving {
			holders = append(holders, m)
		}
	}
	return holders
}

// soleWitnesses returns boxes that have run for longer than this one, chosen at random: half of them in its data centre, as far as
// there are.
func (p *peers) soleWitnesses() []member.Member {
	var local, remote []member.Member
	for _, m := range p.otherBoxes() {
		switch {
		case m.Incarnation() >= p.table.Self().Incarnation():
		case m.DataCentre() == p.centre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	for _, list := range [][]member.Member{local, remote} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	locals := min(len(local), max(soleWitnesses/2, soleWitnesses-len(remote)))
	return append(local[:locals], remote[:min(len(remote), soleWitnesses-locals)]...)
}

// originDirectory returns those of the boxes that may store origins. They change little as boxes come and go.
func originDirectory(boxes []member.Member) []member.Member {
	return firstRanked(originDirectoryKey, boxes, maxOriginDirectory)
}

// originPartners returns the boxes that store the origins of one box: some of its data centre and some of others, or more
// of one side if the other has too few.
func originPartners(box, centre string, others []member.Member) []member.Member {
	var local, remote []member.Member
	for _, m := range firstRanked(box, originDirectory(others), maxOriginDirectory) {
		if m.DataCentre() == centre {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	locals := min(len(local), max(localOriginCopies, originCopies-len(remote)))
	remotes := min(len(remote), originCopies-locals)
	return append(slices.Clone(local[:locals]), remote[:remotes]...)
}

// firstRanked returns up to the given number of boxes, those that rank first for a key.
func firstRanked(key string, boxes []member.Member, most int) []member.Member {
	byName := make(map[string]member.Member, len(boxes))
	names := make([]string, len(boxes))
	for i, m := range boxes {
		names[i], byName[m.Name()] = m.Name(), m
	}
	var list []member.Member
	for _, n := range policy.Rank(key, names)[:min(len(names), most)] {
		list = append(list, byName[n])
	}
	return list
}
