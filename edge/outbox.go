// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	tellCall  = 400 * time.Millisecond // for a leader's answer, which takes a millisecond in a data centre
	tellAgain = 100 * time.Millisecond // between two tries to tell a leader
	// tellFor is how long a leader that does not answer is told anew: one that died has a successor
	// by then, and one that is cut off hears what its own data centre sees.
	tellFor = 8 * time.Second
	// mostMessages bounds what waits to be told, and what one message may hold: endpoints that end together.
	mostMessages = 1024
)

// outbox is what the leaders of all data centres must hear of endpoints from this box: each leader
// decides by it, and tells its data centre by a fact, so what one leader knew is lost with it alone.
type outbox struct {
	node *Node
	wake chan struct{} // holds one when there is something to tell

	mu       sync.Mutex
	messages []*message // that some leaders have not been told
}

// message is one thing that this box saw of an endpoint.
type message struct {
	end     *wire.EndpointEnd // it ended under requests; nil: it did not
	leaving string            // it said that it leaves; empty: it did not
	until   time.Time         // it is told as long
	told    map[string]bool   // boxes that were told; of run alone
}

func newOutbox(n *Node) *outbox { return &outbox{node: n, wake: make(chan struct{}, 1)} }

// add has leaders told something; it tells whether there was room for it.
func (o *outbox) add(n *message, now time.Time) bool {
	n.until, n.told = now.Add(tellFor), make(map[string]bool)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.messages) >= mostMessages {
		return false
	}
	o.messages = append(o.messages, n)
	select {
	case o.wake <- struct{}{}:
	default: // it will tell anyway
	}
	return true
}

// run tells leaders, and has what is over forgotten, until ctx ends.
func (o *outbox) run(ctx context.Context) error {
	t := teller{
		Wake:   o.wake,
		Tell:   func(ctx context.Context) bool { return o.tell(ctx, time.Now()) },
		Again:  tellAgain,
		Expire: o.expire,
	}
	return t.Run(ctx)
}

func (o *outbox) expire() {
	o.node.quarantine.expire(time.Now())
	o.node.departures.forgetGone()
}

// toldMessages is what a leader was told; nothing where it did not answer.
type toldMessages struct {
	leader   string
	messages []*message
}

// tell tells each leader what it has not been told. It returns whether all were.
func (o *outbox) tell(ctx context.Context, now time.Time) bool {
	all, leaders := o.waiting(), o.leaders()
	answers := make(chan toldMessages, len(leaders))
	calls := 0
	for _, m := range leaders {
		untold := slices.DeleteFunc(slices.Clone(all), func(n *message) bool { return n.told[m.Name()] })
		if len(untold) == 0 {
			continue
		}
		calls++
		go func() { answers <- o.tellOne(ctx, m, untold) }()
	}
	for range calls {
		a := <-answers
		for _, n := range a.messages {
			n.told[a.leader] = true
		}
	}
	return o.drop(leaders, now)
}

// waiting returns what some leaders have not been told.
func (o *outbox) waiting() []*message {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.messages)
}

// leaders returns the boxes that lead data centres, but for this one.
func (o *outbox) leaders() []member.Member {
	var list []member.Member
	seen := map[string]bool{"": true, o.node.peers.box: true}
	for _, m := range o.node.peers.clusterView().leaders {
		if !seen[m.Name()] {
			seen[m.Name()] = true
			list = append(list, m)
		}
	}
	return list
}

// tellOne tells one leader.
func (o *outbox) tellOne(ctx context.Context, m member.Member, untold []*message) toldMessages {
	call, cancel := context.WithTimeout(ctx, tellCall)
	defer cancel()
	r := &wire.EndedRequest{Box: o.node.peers.box}
	for _, n := range untold {
		if n.end != nil {
			r.Ends = append(r.Ends, n.end)
		}
		if n.leaving != "" {
			r.Leaving = append(r.Leaving, n.leaving)
		}
	}
	_, err := wire.NewPeerClient(o.node.peers.dialer.Conn(m.Address())).Ended(call, r)
	if status.Code(err) == codes.Unimplemented {
		return toldMessages{leader: m.Name(), messages: untold} // of an older version: it hears of no endpoints
	}
	if err != nil {
		o.node.Log.Info("Leader was not told of endpoints that ended or leave", "leader", m.Name(), "err", err.Error())
		return toldMessages{}
	}
	return toldMessages{leader: m.Name(), messages: untold}
}

// drop forgets what every leader was told, or what is too old. It returns whether nothing is left.
func (o *outbox) drop(leaders []member.Member, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.messages = slices.DeleteFunc(o.messages, func(n *message) bool {
		untold := func(m member.Member) bool { return !n.told[m.Name()] }
		return !now.Before(n.until) || !slices.ContainsFunc(leaders, untold)
	})
	return len(o.messages) == 0
}
