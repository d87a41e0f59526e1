// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"sync/atomic"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/forward/origin"
	"cairnwick.example/member"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
)

const (
	// maxOrigins bounds the origins of streams that a box stores, some 200 bytes each.
	maxOrigins = 1 << 15
	// maxOriginTime bounds how long an origin of another box is stored, whatever that box asks for.
	maxOriginTime = 15 * time.Minute
	// originLookupTimeout is how long a caller that resumes a stream waits for boxes that do not answer, while none of the
	// others knows the stream. A box that has used up its processor share is suspended for 100 ms.
	originLookupTimeout = 250 * time.Millisecond
	// soleWitnesses is how many boxes are asked whether one version alone can have begun a stream. Any one that has run for long enough
	// knows; in a release half of those that have run for longer than this box may be too young themselves.
	soleWitnesses = 8
	// maxOriginLookups bounds the lookups at the same time, since each asks many boxes and callers choose what to look up.
	maxOriginLookups = 64
)

// origins stores which software began each stream that may be resumed, and finds out about those that began at other boxes.
// A box sends the origins of its streams to a few others at their first event. A box that is asked to resume a stream asks
// all boxes that may store its origin.
type origins struct {
	node    *Node
	table   origin.Table
	lookups chan struct{} // a slot of each lookup in progress
	sender  originSender

	found, notFound atomic.Int64 // lookups of streams that began at another box
}

func newOrigins(n *Node) *origins {
	o := &origins{node: n, table: origin.Table{MaxRecords: maxOrigins}, lookups: make(chan struct{}, maxOriginLookups)}
	o.sender = originSender{origins: o, wake: make(chan struct{}, 1)}
	return o
}

// StreamBegan implements forward.Origins. It does not wait for other boxes.
func (o *origins) StreamBegan(k origin.Key, began origin.Origin, keep time.Duration) {
	r := origin.Record{Key: k, Origin: began, Expires: clock.Now().Add(min(keep, maxOriginTime))}
	if !o.table.Add(r, true) {
		return
	}
	if _, sole := o.sole(forward.OriginQuery{Service: began.Service, Age: keep}); sole {
		o.sender.hold(r, keep)
		return
	}
	o.sender.add(r)
}

// FindOrigin implements forward.Origins.
func (o *origins) FindOrigin(ctx context.Context, q forward.OriginQuery) (origin.Origin, bool) {
	if known, ok := o.local(q); ok {
		return known, true
	}
	if !q.HasKey && !o.mayBeSole(q) {
		o.notFound.Add(1)
		return origin.Origin{}, false
	}
	if !o.startLookup(ctx) {
		o.notFound.Add(1)
		return origin.Origin{}, false
	}
	defer func() { <-o.lookups }()
	r, ok := o.ask(ctx, q)
	if !ok {
		o.notFound.Add(1)
		return origin.Origin{}, false
	}
	o.found.Add(1)
	if q.HasKey {
		o.table.Add(r, false)
	}
	return r.Origin, true
}

// startLookup waits until fewer than maxOriginLookups are in progress; it reports whether that was in time. Callers of killed
// boxes come back at the same time.
func (o *origins) startLookup(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	select {
	case o.lookups <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// local returns the origin of a stream if this box knows it.
func (o *origins) local(q forward.OriginQuery) (origin.Origin, bool) {
	if r, known := o.table.Find(q.Key, clock.Now()); known && q.HasKey {
		return r.Origin, true
	}
	return o.sole(q)
}

// staleBoxTime is how long a box that reaches neither the source nor other boxes may go on using endpoints that have left.
const staleBoxTime = time.Minute

// maxProofAge returns how old the last read of the source may be for a proof that one version alone serves. Boxes wait for the whole
// lag until they begin streams at another version; half of it is left for messages that are delayed in transit, and for boxes
// that have just started, which begin streams at once if they find a single version.
func maxProofAge(lag time.Duration) time.Duration { return lag / 2 }

// sole returns the origin that all streams of a service must have: its endpoints have run one version since the stream may have
// begun. A box begins streams at a new version only once it has known it for the longest time by which the view of a
// box that reaches the source lags behind, so this box, if it has done so without a gap, knows all versions that have begun
// streams.
func (o *origins) sole(q forward.OriginQuery) (origin.Origin, bool) {
	now, lag := clock.Now(), o.node.behind()
	if age, ok := o.node.sourceAge(); q.Service == "" || !ok || age >= maxProofAge(lag) {
		return origin.Origin{}, false
	}
	o.node.extendCoverage(now)
	since := now.Add(-q.Age - 2*lag)
	software, ok := o.node.view.SoleSoftware(q.Service, since, since.Add(-staleBoxTime))
	return origin.Origin{Service: q.Service, Software: software},
		ok && o.node.covered.covers(q.Service, since) && o.node.view.StreamsStayedSince(since)
}

// mayBeSole reports whether another box, which has known the service for longer, may know the origin of all its streams.
func (o *origins) mayBeSole(q forward.OriginQuery) bool {
	_, ok := o.node.view.SoleSoftware(q.Service, clock.Now(), clock.Now().Add(-q.Age-2*o.node.behind()-staleBoxTime))
	return ok
}

// adopt has this box know what another one has proven, so that it need not ask again once it has known the service for long enough
// itself. It reports whether that is true by this box's view, too.
func (o *origins) adopt(q forward.OriginQuery, sole origin.Origin, config uint64) bool {
	now, lag := clock.Now(), o.node.behind()
	claim := topology.SoleSoftwareClaim{Service: sole.Service, Software: sole.Software, Config: config, Since: now.Add(-q.Age - 2*lag)}
	if sole.Service != q.Service || !o.node.view.AdoptSoleSoftware(claim, now.Add(-2*lag)) {
		return false
	}
	o.node.extendCoverage(now)
	o.node.covered.adopt(claim.Service, claim.Since)
	return true
}

// ask asks other boxes for the origin of a stream: a few that may know that one version alone can have begun it, and then those that
// may have its record.
func (o *origins) ask(ctx context.Context, q forward.OriginQuery) (origin.Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	m := &wire.FindOriginRequest{Box: o.node.peers.box, Service: q.Service, AgeMicros: q.Age.Microseconds()}
	if q.HasKey {
		m.Key = q.Key[:]
	}
	if o.mayBeSole(q) {
		if r, ok := o.askBoxes(ctx, o.node.peers.soleWitnesses(), m, q); ok || !q.HasKey {
			return r, ok
		}
	}
	return o.askBoxes(ctx, o.node.peers.originHolders(), m, q)
}

// askBoxes asks boxes, all at the same time, and returns the first origin that one knows.
func (o *origins) askBoxes(ctx context.Context, boxes []member.Member, m *wire.FindOriginRequest, q forward.OriginQuery) (origin.Record, bool) {
	answers := make(chan *wire.FindOriginReply, len(boxes))
	for _, b := range boxes {
		go func() { answers <- o.askBox(ctx, b, m) }()
	}
	for range boxes {
		a := <-answers
		r, ok := recordFromWire(a.GetOrigin(), clock.Now())
		if !ok || r.Key != q.Key {
			continue
		}
		if config := a.GetSoleConfig(); config == 0 || o.adopt(q, r.Origin, config) {
			return r, true
		}
	}
	return origin.Record{}, false
}

// askBox asks one box, and returns nil if it does not know the stream or does not answer.
func (o *origins) askBox(ctx context.Context, b member.Member, m *wire.FindOriginRequest) *wire.FindOriginReply {
	a, err := wire.NewShareClient(o.node.peers.dialer.Conn(b.Address())).FindOrigin(ctx, m)
	if err != nil {
		o.node.Log.V(1).Info("Box does not answer where a stream began", "member", b.Name(), "err", err.Error())
		return nil
	}
	return a
}

// handleFind answers another box that asks where a stream began.
func (o *origins) handleFind(m *wire.FindOriginRequest) *wire.FindOriginReply {
	q := forward.OriginQuery{Service: m.GetService(), Age: positiveMessageTime(m.GetAgeMicros())}
	q.Key, q.HasKey = origin.ParseKey(m.GetKey())
	now := clock.Now()
	if r, known := o.table.Find(q.Key, now); known && q.HasKey {
		return &wire.FindOriginReply{Origin: recordToWire(r, now)}
	}
	config := o.node.view.Config() // before the proof, which holds for it and those before it
	if sole, ok := o.sole(q); ok {
		return &wire.FindOriginReply{Origin: recordToWire(origin.Record{Key: q.Key, Origin: sole, Expires: now.Add(q.Age)}, now), SoleConfig: config.Version()}
	}
	return &wire.FindOriginReply{}
}

// handleRecord stores the origins of streams that began at another box.
func (o *origins) handleRecord(q *wire.RecordOriginsRequest) {
	now := clock.Now()
	list := q.GetOrigins()
	for _, w := range list[:min(len(list), maxOriginsPerMessage)] {
		if r, ok := recordFromWire(w, now); ok {
			o.table.Add(r, false)
		}
	}
}

// recordFromWire converts a message; false if it has no valid key or names nothing that a stream can go on at.
func recordFromWire(w *wire.StreamOrigin, now time.Time) (origin.Record, bool) {
	k, ok := origin.ParseKey(w.GetKey())
	r := origin.Record{
		Key:     k,
		Origin:  origin.Origin{Service: w.GetService(), Software: w.GetSoftware(), Endpoint: w.GetEndpoint()},
		Expires: now.Add(min(positiveMessageTime(w.GetKeepMicros()), maxOriginTime)),
	}
	return r, ok && r.Origin.IsKnown()
}

// recordToWire converts a record to a message.
func recordToWire(r origin.Record, now time.Time) *wire.StreamOrigin {
	return &wire.StreamOrigin{
		Key:        r.Key[:],
		Service:    r.Origin.Service,
		Software:   r.Origin.Software,
		Endpoint:   r.Origin.Endpoint,
		KeepMicros: r.Expires.Sub(now).Microseconds(),
	}
}

// originsReport is the entry of the metrics.
type originsReport struct {
	Stored   int   `json:"stored"`
	Own      int   `json:"own"`
	Held     int   `json:"held"` // of these, those that other boxes do not need
	Found    int64 `json:"found"`
	NotFound int64 `json:"not_found"`
}

func (o *origins) report() originsReport {
	return originsReport{Stored: o.table.Len(), Own: len(o.table.Own(clock.Now())), Held: o.sender.heldCount(), Found: o.found.Load(), NotFound: o.notFound.Load()}
}
