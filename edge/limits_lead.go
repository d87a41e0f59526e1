// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"math"
	"time"

	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
	"google.golang.org/protobuf/proto"
)

// answer answers a box that asks for one of the requests that an endpoint takes.
func (s *limits) answer(q *wire.TakeRequest, now time.Time) *wire.TakeReply {
	id := q.GetWord().GetEndpoint()
	if !s.leads(id, now) {
		return &wire.TakeReply{}
	}
	s.hear(q.GetWord(), now)
	g := s.counter.Take(id, ratelimit.Request{
		Rank:      int(q.GetRank()),
		MaxWait:   time.Duration(q.GetPatienceMicros()) * time.Microsecond,
		SpareOnly: q.GetSpare(),
	}, now)
	return &wire.TakeReply{Leads: true, Limited: g.Limited, Granted: g.OK, WaitMicros: g.Wait.Microseconds()}
}

// leads tells whether this box counts for an endpoint.
func (s *limits) leads(endpoint string, now time.Time) bool {
	e := s.node.view.Endpoint(endpoint)
	if e == nil {
		return false
	}
	leads, from := s.node.owns(e, now)
	return leads && !now.Before(from)
}

// hear takes in, as the box that counts for it, what an endpoint said, after what this box knew
// itself: it may have begun to count just now. It tells all boxes of a limit that is another one.
func (s *limits) hear(w *wire.LimitWord, now time.Time) {
	id := w.GetEndpoint()
	s.mu.Lock()
	var own ratelimit.Observation
	if k := s.known[id]; k != nil {
		own = k.word
	}
	s.mu.Unlock()
	s.counter.Observe(id, own, now)
	s.counter.Observe(id, w.Word(now), now)
	if l := s.counter.Limit(id); s.isNews(id, l, now) {
		s.publish(id, l)
	}
}

// isNews tells whether all boxes must be told of a limit that is counted by.
func (s *limits) isNews(endpoint string, l ratelimit.Limit, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[endpoint]
	if k == nil {
		return l.IsSet()
	}
	if k.fact.IsSet() != l.IsSet() {
		return true
	}
	return math.Abs(l.Rate()-k.fact.Rate()) > limitPart*k.fact.Rate() && now.Sub(k.factAt) >= limitLine
}

// publish tells all boxes the limit of an endpoint.
func (s *limits) publish(endpoint string, l ratelimit.Limit) {
	raw, err := proto.Marshal(wire.NewRateLimit(l))
	if err != nil {
		s.node.Log.Error(err, "Limit can't be encoded", "endpoint", endpoint)
		return
	}
	key := limitsPrefix + endpoint
	s.node.items.Merge(&wire.Item{
		Key: key,
		// Above the version before also where the time of day went back.
		Version:    max(uint64(time.Now().UnixMicro()), s.node.items.Version(key)+1),
		Value:      raw,
		DataCentre: s.node.Settings.DataCentre,
	})
}

// room returns what an endpoint takes, for the one that decides where adapters are loaded.
func (s *limits) room(endpoint string, now time.Time) ratelimit.Headroom {
	r := s.counter.Headroom(endpoint, now)
	if !r.Limited && s.HasLimit(endpoint) { // nobody has asked this box for it yet
		return ratelimit.Headroom{Limited: true}
	}
	return r
}
