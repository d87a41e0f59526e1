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
	tellCall  = 400 * time.Millisecond // a leader in the same data centre answers within a millisecond
	tellAgain = 100 * time.Millisecond // between two attempts to notify a leader
	// tellFor is how long a message is retried to leaders that do not answer. By then a leader that died has
	// been replaced, and one behind a network partition receives the reports of its own data centre.
	tellFor = 8 * time.Second
	// mostMessages bounds the pending messages and the entries of one request, since many endpoints may end together.
	mostMessages = 1024
)

// outbox holds this box's observations of endpoints until the leaders of all data centres have received them. Each
// leader acts on them and publishes a fact in its own data centre, so no observation is lost when one leader crashes.
type outbox struct {
	node *Node
	wake chan struct{} // signals that a message is pending

	mu       sync.Mutex
	messages []*message // not yet delivered to every leader
}

// message is one observation of an endpoint by this box.
type message struct {
	end     *wire.EndpointEnd // the endpoint ended while it ran requests; nil: it did not
	leaving string            // ID of an endpoint that announced draining; empty: none did
	until   time.Time         // when retries stop
	told    map[string]bool   // by box, whether it received the message; only used by run
}

func newOutbox(n *Node) *outbox { return &outbox{node: n, wake: make(chan struct{}, 1)} }

// add queues a message for all leaders. It returns false if the queue is full.
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
	default: // a wake-up is already pending
	}
	return true
}

// run delivers messages and removes expired state until ctx ends.
func (o *outbox) run(ctx context.Context) error {
	t := notifier{
		Wake:       o.wake,
		Send:       func(ctx context.Context) bool { return o.tell(ctx, time.Now()) },
		RetryDelay: tellAgain,
		Expire:     o.expire,
	}
	return t.Run(ctx)
}

func (o *outbox) expire() {
	o.node.kept.expire(time.Now())
	o.node.departures.forgetGone()
}

// toldMessages lists the messages that a leader received; none if it did not answer.
type toldMessages struct {
	leader   string
	messages []*message
}

// tell sends each leader the messages that it has not received. It returns whether all messages are delivered or expired.
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

// waiting returns the messages that some leaders have not received.
func (o *outbox) waiting() []*message {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.messages)
}

// leaders returns the leaders of all data centres, without this box.
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

// tellOne sends messages to one leader.
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
		return toldMessages{leader: m.Name(), messages: untold} // an older version without this method: it can't be notified
	}
	if err != nil {
		o.node.Log.Info("Failed to notify leader of endpoints that ended or are draining", "leader", m.Name(), "err", err.Error())
		return toldMessages{}
	}
	return toldMessages{leader: m.Name(), messages: untold}
}

// drop removes messages that every leader has received and those that have expired. It returns whether none is left.
func (o *outbox) drop(leaders []member.Member, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.messages = slices.DeleteFunc(o.messages, func(n *message) bool {
		untold := func(m member.Member) bool { return !n.told[m.Name()] }
		return !now.Before(n.until) || !slices.ContainsFunc(leaders, untold)
	})
	return len(o.messages) == 0
}
