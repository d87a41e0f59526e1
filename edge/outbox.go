// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	notifyTimeout    = 400 * time.Millisecond // a leader in the same data centre answers within a millisecond
	notifyRetryDelay = 100 * time.Millisecond // between two attempts to notify a leader
	// notifyMaxAge is how long a message is retried to leaders that do not answer. By then a leader that died has
	// been replaced, and one behind a network partition receives the reports of its own data centre.
	notifyMaxAge = 8 * time.Second
	// maxPendingMessages bounds the pending messages and the entries of one request, since many endpoints may end
	// together.
	maxPendingMessages = 1024
)

// outbox holds this box's observations of endpoints until the leaders of all data centres have received them. Each
// leader acts on them and publishes a fact in its own data centre, so no observation is lost when one leader crashes.
// A new leader gets what was observed before it led.
type outbox struct {
	node *Node
	wake chan struct{} // signals that a message is pending

	mu       sync.Mutex
	messages []*message // not yet delivered to every leader
	history  endHistory
	known    map[string]bool // leaders that get the history no more, by leaderKey
}

// message is one observation of an endpoint by this box, or the history for one leader. The history is one message, so
// that that of several new leaders leaves room for observations.
type message struct {
	ends      []*wire.EndpointEnd      // endpoints that ended while they ran requests
	leaving   string                   // ID of an endpoint that announced draining; empty: none did
	begun     []quarantine.Fingerprint // quarantined parts to which an endpoint began to respond; run lifts them here, too
	to        string                   // leaderKey of the only recipient; empty: all leaders
	expires   time.Time                // when retries stop
	delivered map[string]bool          // by leaderKey, whether the leader received the message; only used by run
}

// leaderKey identifies one run of a box that leads: after a restart it has lost what it received.
func leaderKey(m member.Member) string { return fmt.Sprintf("%s/%d", m.Name(), m.Incarnation()) }

// isFor reports whether a leader must receive a message and has not.
func (n *message) isFor(m member.Member) bool {
	key := leaderKey(m)
	return !n.delivered[key] && (n.to == "" || n.to == key)
}

func newOutbox(n *Node) *outbox { return &outbox{node: n, wake: make(chan struct{}, 1)} }

// add queues a message for all leaders. It returns false if the queue is full.
func (o *outbox) add(m *message, now time.Time) bool {
	m.expires, m.delivered = now.Add(notifyMaxAge), make(map[string]bool)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.messages) >= maxPendingMessages {
		return false
	}
	o.messages = append(o.messages, m)
	o.wakeUp()
	return true
}

// wakeUp has run deliver what is pending.
func (o *outbox) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// record keeps an endpoint's end for leaders to come.
func (o *outbox) record(end *wire.EndpointEnd, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.add(end, now)
}

// sendHistory queues the ends of endpoints that were observed before for boxes that have begun to lead.
func (o *outbox) sendHistory(now time.Time) {
	leaders := o.leaders()
	o.mu.Lock()
	known := make(map[string]bool, len(leaders))
	var histories []*message
	for _, m := range leaders {
		key := leaderKey(m)
		known[key] = true
		if o.known[key] {
			continue
		}
		if ends := o.history.recent(now); len(ends) > 0 {
			histories = append(histories, &message{ends: ends, to: key})
		}
	}
	o.known = known
	o.messages = slices.DeleteFunc(o.messages, func(n *message) bool { return n.to != "" && !known[n.to] })
	o.mu.Unlock()
	for _, m := range histories {
		if !o.add(m, now) {
			o.node.Log.Info("Earlier ends of endpoints dropped: too many messages pending", "leader", m.to, "ends", len(m.ends))
		}
	}
}

// run delivers messages and removes expired state until ctx ends.
func (o *outbox) run(ctx context.Context) error {
	t := notifier{
		Wake:       o.wake,
		Send:       func(ctx context.Context) bool { return o.deliver(ctx, time.Now()) },
		RetryDelay: notifyRetryDelay,
		Expire:     o.expire,
	}
	return t.Run(ctx)
}

func (o *outbox) expire() {
	o.node.quarantine.expire(time.Now())
	o.node.departures.forgetGone()
}

// delivery lists the messages that a leader received; none if it did not answer.
type delivery struct {
	leader   string // leaderKey
	messages []*message
}

// deliver sends each leader the messages that it has not received, and publishes quarantines that are due. It reports
// whether nothing is left to do: all messages are delivered or expired, and no quarantine is waiting.
func (o *outbox) deliver(ctx context.Context, now time.Time) bool {
	all, leaders := o.pending(), o.leaders()
	o.liftBegun(all, now)
	idle := o.node.quarantine.publishDue(now)
	deliveries := make(chan delivery, len(leaders))
	calls := 0
	for _, m := range leaders {
		undelivered := slices.DeleteFunc(slices.Clone(all), func(n *message) bool { return !n.isFor(m) })
		if len(undelivered) == 0 {
			continue
		}
		calls++
		undelivered = forOneRequest(undelivered)
		go func() { deliveries <- o.deliverTo(ctx, m, undelivered) }()
	}
	for range calls {
		d := <-deliveries
		for _, n := range d.messages {
			n.delivered[d.leader] = true
		}
	}
	return o.removeDone(leaders, now) && idle
}

// liftBegun lifts the quarantines that this box disputes. It does so once more with each attempt to deliver a message, since
// another leader may have published them again.
func (o *outbox) liftBegun(messages []*message, now time.Time) {
	for _, n := range messages {
		for _, c := range n.begun {
			o.node.quarantine.lift(c, now)
		}
	}
}

// forOneRequest returns the first messages, with no more ends of endpoints than a leader applies of one request.
func forOneRequest(list []*message) []*message {
	ends := 0
	for i, n := range list {
		if ends += len(n.ends); ends > maxPendingMessages {
			return list[:i]
		}
	}
	return list
}

// pending returns the messages that some leaders have not received.
func (o *outbox) pending() []*message {
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

// deliverTo sends messages to one leader.
func (o *outbox) deliverTo(ctx context.Context, m member.Member, undelivered []*message) delivery {
	call, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	r := &wire.EndedRequest{Box: o.node.peers.box}
	for _, n := range undelivered {
		r.Ends = append(r.Ends, n.ends...)
		if n.leaving != "" {
			r.Leaving = append(r.Leaving, n.leaving)
		}
		r.Begun = append(r.Begun, quarantine.Encode(n.begun)...)
	}
	_, err := wire.NewPeerClient(o.node.peers.dialer.Conn(m.Address())).Ended(call, r)
	if status.Code(err) == codes.Unimplemented {
		return delivery{leader: leaderKey(m), messages: undelivered} // an older version without this method: it can't be notified
	}
	if err != nil {
		o.node.Log.Info("Failed to notify leader of endpoints that ended or are draining", "leader", m.Name(), "err", err.Error())
		return delivery{}
	}
	return delivery{leader: leaderKey(m), messages: undelivered}
}

// removeDone removes messages that every leader has received and those that have expired. It reports whether none is
// left. A message to one leader may be newer than the list of leaders: it was queued while older ones were being sent.
func (o *outbox) removeDone(leaders []member.Member, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.messages = slices.DeleteFunc(o.messages, func(n *message) bool {
		missing := slices.ContainsFunc(leaders, n.isFor) || (n.to != "" && !n.delivered[n.to])
		return !now.Before(n.expires) || !missing
	})
	return len(o.messages) == 0
}
