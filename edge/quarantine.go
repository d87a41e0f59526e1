// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/member"
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// quarantinePrefix begins the keys of the requests that are kept from endpoints; the content follows.
// Such a fact's version is until when, in Unix microseconds.
const quarantinePrefix = "quarantine/"

const (
	endsCall  = 400 * time.Millisecond // for a leader's answer, which takes a millisecond in a data centre
	endsAgain = 100 * time.Millisecond // between two tries to tell a leader
	// endsFor is how long a leader that does not answer is told anew: one that died has a successor
	// by then, and one that is cut off counts what its own data centre sees.
	endsFor = 8 * time.Second
	// mostEnds bounds what waits to be told, and what one message may hold: endpoints that end together.
	mostEnds = 1024
	// expirePause is between two looks for what is over: requests that need not be kept away any more, limits
	// of endpoints that are gone.
	expirePause = 10 * time.Second
)

// quarantined is the requests that this box keeps from endpoints, and the endpoints that ended under
// others. Each box tells the leaders of all data centres what ended under its requests, so what one
// leader knew is lost with it alone; who has counted enough tells all boxes by a fact.
type quarantined struct {
	node *Node
	wake chan struct{} // holds one when an end is to be told

	mu   sync.Mutex
	ends []*endpointEnd // that some leaders have not been told
}

// endpointEnd is an endpoint that ended while it ran requests of this box.
type endpointEnd struct {
	wire  *wire.EndpointEnd
	until time.Time       // it is told as long
	told  map[string]bool // boxes that were told; of run alone
}

func newQuarantined(n *Node) *quarantined {
	return &quarantined{node: n, wake: make(chan struct{}, 1)}
}

// Left implements forward.Quarantine.
func (q *quarantined) Left(c quarantine.Content, now time.Time) (time.Duration, bool) {
	return q.node.state.tracker.Kept().Left(c, now)
}

// Ended implements forward.Quarantine.
func (q *quarantined) Ended(endpoint string, contents []quarantine.Content) {
	now := time.Now()
	q.count(endpoint, contents, now)
	e := &endpointEnd{
		wire:  &wire.EndpointEnd{Endpoint: endpoint, Contents: quarantine.Encode(contents)},
		until: now.Add(endsFor),
		told:  make(map[string]bool),
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ends) >= mostEnds {
		q.node.Log.Info("End of an endpoint is not told to others: too many wait", "endpoint", endpoint)
		return
	}
	q.ends = append(q.ends, e)
	select {
	case q.wake <- struct{}{}:
	default: // it will tell anyway
	}
}

// hear takes in what another box saw.
func (q *quarantined) hear(m *wire.EndedRequest, now time.Time) {
	for _, e := range m.GetEnds()[:min(len(m.GetEnds()), mostEnds)] {
		q.count(e.GetEndpoint(), quarantine.Decode(e.GetContents()), now)
	}
}

// count counts an end of an endpoint, and tells all boxes of the requests that it puts into
// quarantine. A leader brings nothing more to the endpoint until its entry has lapsed.
func (q *quarantined) count(endpoint string, contents []quarantine.Content, now time.Time) {
	q.node.loader.Ended(endpoint, clock.Now().Add(q.node.current.Load().Bounds.Lapse))
	for _, c := range q.node.state.tracker.Note(endpoint, contents, now) {
		q.node.items.Merge(&wire.Item{
			Key:        quarantinePrefix + c.String(),
			Version:    uint64(now.Add(quarantine.KeptFor).UnixMicro()),
			DataCentre: q.node.Settings.DataCentre,
		})
	}
}

// applyQuarantine takes in a fact that a request is kept from endpoints, by the rest of its key.
func (s *state) applyQuarantine(rest string, i *wire.Item) {
	c, ok := quarantine.ParseContent(rest)
	if !ok {
		s.log.Info("Fact can't be read; the last good one stays", "key", i.GetKey(), "version", i.GetVersion(), "err", "no content")
		return
	}
	until := time.UnixMicro(int64(i.GetVersion()))
	if s.tracker.Kept().Add(c, until) {
		s.log.Info("Request is kept from endpoints", "content", c.String(), "until", until.UTC().Format(time.RFC3339))
	}
}

// isQuarantineOver tells of a fact that a request is kept from endpoints whether its time is over.
func isQuarantineOver(i *wire.Item, now time.Time) bool {
	return strings.HasPrefix(i.GetKey(), quarantinePrefix) && int64(i.GetVersion()) <= now.UnixMicro()
}

// run tells leaders of endpoints that ended, and forgets requests whose time is over, until ctx ends.
func (q *quarantined) run(ctx context.Context) error {
	t := teller{
		Wake:   q.wake,
		Tell:   func(ctx context.Context) bool { return q.tell(ctx, time.Now()) },
		Again:  endsAgain,
		Expire: func() { q.expire(time.Now()) },
	}
	return t.Run(ctx)
}

func (q *quarantined) expire(now time.Time) {
	for _, c := range q.node.state.tracker.Kept().Expire(now) {
		q.node.items.Forget(quarantinePrefix + c.String())
		q.node.Log.Info("Request may reach endpoints again", "content", c.String())
	}
}

// toldEnds is the ends that a leader was told; none where it did not answer.
type toldEnds struct {
	leader string
	ends   []*endpointEnd
}

// tell tells each leader the ends that it has not been told. It returns whether all were.
func (q *quarantined) tell(ctx context.Context, now time.Time) bool {
	ends, leaders := q.waiting(), q.leaders()
	answers := make(chan toldEnds, len(leaders))
	calls := 0
	for _, m := range leaders {
		untold := slices.DeleteFunc(slices.Clone(ends), func(e *endpointEnd) bool { return e.told[m.Name()] })
		if len(untold) == 0 {
			continue
		}
		calls++
		go func() { answers <- q.tellOne(ctx, m, untold) }()
	}
	for range calls {
		a := <-answers
		for _, e := range a.ends {
			e.told[a.leader] = true
		}
	}
	return q.drop(leaders, now)
}

// waiting returns the ends that some leaders have not been told.
func (q *quarantined) waiting() []*endpointEnd {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.ends)
}

// leaders returns the boxes that lead data centres, but for this one.
func (q *quarantined) leaders() []member.Member {
	var list []member.Member
	seen := map[string]bool{"": true, q.node.peers.box: true}
	for _, m := range q.node.peers.clusterView().leaders {
		if !seen[m.Name()] {
			seen[m.Name()] = true
			list = append(list, m)
		}
	}
	return list
}

// tellOne tells one leader.
func (q *quarantined) tellOne(ctx context.Context, m member.Member, ends []*endpointEnd) toldEnds {
	call, cancel := context.WithTimeout(ctx, endsCall)
	defer cancel()
	r := &wire.EndedRequest{Box: q.node.peers.box}
	for _, e := range ends {
		r.Ends = append(r.Ends, e.wire)
	}
	_, err := wire.NewPeerClient(q.node.peers.dialer.Conn(m.Address())).Ended(call, r)
	if status.Code(err) == codes.Unimplemented {
		return toldEnds{leader: m.Name(), ends: ends} // of an older version: it counts nothing
	}
	if err != nil {
		q.node.Log.Info("Leader was not told under which requests endpoints ended", "leader", m.Name(), "err", err.Error())
		return toldEnds{}
	}
	return toldEnds{leader: m.Name(), ends: ends}
}

// drop forgets the ends that every leader was told, or that are too old. It returns whether none is
// left.
func (q *quarantined) drop(leaders []member.Member, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ends = slices.DeleteFunc(q.ends, func(e *endpointEnd) bool {
		untold := func(m member.Member) bool { return !e.told[m.Name()] }
		return !now.Before(e.until) || !slices.ContainsFunc(leaders, untold)
	})
	return len(q.ends) == 0
}
