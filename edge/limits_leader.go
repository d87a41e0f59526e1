// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"math"
	"time"

	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
	"google.golang.org/protobuf/proto"
)

// handleTake answers a box that asks to send a request to a rate-limited endpoint.
func (s *limits) handleTake(q *wire.TakeRequest, now time.Time) *wire.TakeReply {
	id := q.GetWord().GetEndpoint()
	if !s.leads(q.GetWord(), now) {
		return &wire.TakeReply{}
	}
	s.receive(q.GetWord(), now)
	g := s.counter.Take(id, ratelimit.Request{
		Rank:      int(q.GetRank()),
		MaxWait:   time.Duration(q.GetPatienceMicros()) * time.Microsecond,
		SpareOnly: q.GetSpare(),
		Load:      q.GetWord().Load(q.GetBox(), s.slots(id)),
	}, now)
	return &wire.TakeReply{Leads: true, Limited: g.Limited, Granted: g.OK, WaitMicros: g.Wait.Microseconds()}
}

// slots returns the number of requests that an endpoint runs at once; zero if it is not known.
func (s *limits) slots(endpoint string) int {
	if e := s.node.view.Endpoint(endpoint); e != nil {
		return e.Slots()
	}
	return 0
}

// leads reports whether this box enforces the limit of an endpoint: it owns the endpoint, and its ownership has
// begun. A limit of rejections alone is enforced at once: each of two boxes that count grants less than half of it.
func (s *limits) leads(w *wire.LimitWord, now time.Time) bool {
	e := s.node.view.Endpoint(w.GetEndpoint())
	if e == nil {
		return false
	}
	leads, from := s.node.owns(e, now)
	if l := w.GetLimit().Limit(); l.IsFragile() && !l.HasRate() && !s.hasRate(e.ID()) {
		return leads
	}
	return leads && !now.Before(from)
}

// receive applies an announcement as the leader, and publishes the limit if it changed enough. This box's own latest
// announcement is applied first, since it may have become the leader just now with an empty counter.
func (s *limits) receive(w *wire.LimitWord, now time.Time) {
	id := w.GetEndpoint()
	s.mu.Lock()
	var own ratelimit.Observation
	if k := s.known[id]; k != nil {
		own = k.latest
	}
	s.mu.Unlock()
	s.counter.Observe(id, own, now)
	s.counter.Observe(id, w.Observation(now), now)
	if l := s.counter.Limit(id); s.shouldPublish(id, l, now) {
		s.publish(id, l)
	}
}

// shouldPublish reports whether all boxes have to learn the limit that is enforced.
func (s *limits) shouldPublish(endpoint string, l ratelimit.Limit, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[endpoint]
	if k == nil {
		return l.IsSet()
	}
	if k.published.HasRate() != l.HasRate() || k.published.IsFragile() != l.IsFragile() {
		return true
	}
	if now.Sub(k.publishedAt) < limitUpdateInterval {
		return false
	}
	return l.Rejections() != k.published.Rejections() || math.Abs(l.Rate()-k.published.Rate()) > limitChangeRatio*k.published.Rate()
}

// publish publishes the limit of an endpoint to all boxes.
func (s *limits) publish(endpoint string, l ratelimit.Limit) {
	raw, err := proto.Marshal(wire.NewRateLimit(l))
	if err != nil {
		s.node.Log.Error(err, "Failed to encode a rate limit", "endpoint", endpoint)
		return
	}
	key := limitsPrefix + endpoint
	s.node.items.Merge(&wire.Item{
		Key: key,
		// Higher than the previous version even if the wall clock was set back.
		Version:    max(uint64(time.Now().UnixMicro()), s.node.items.Version(key)+1),
		Value:      raw,
		DataCentre: s.node.Settings.DataCentre,
	})
}

// room returns the remaining capacity of an endpoint, for placement decisions.
func (s *limits) room(endpoint string, now time.Time) ratelimit.Headroom {
	r := s.counter.Headroom(endpoint, now)
	if !r.Limited && s.hasRate(endpoint) { // the counter does not know the limit until a box asks for the endpoint
		return ratelimit.Headroom{Limited: true}
	}
	return r
}

// hasRate reports whether an endpoint limits the number of requests.
func (s *limits) hasRate(endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestLocked(endpoint).Limit.HasRate()
}
