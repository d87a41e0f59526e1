// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/daemon"
	"cairnwick.example/daemon/tunnel"
	"cairnwick.example/forward"
	"cairnwick.example/member"
	"cairnwick.example/placement"
	"cairnwick.example/policy"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	// relayBoxes is how many other boxes a box that is cut off from endpoints uses. It bounds its connections to them.
	relayBoxes = 4
	// maxRelayTries is how many boxes one connection tries. Boxes that are cut off themselves decline at once.
	maxRelayTries = 3
	// refusalsNeeded is how many boxes must have been refused by an endpoint before it counts as refusing.
	refusalsNeeded = 2
	// relayTimeout is the timeout of a connection through one box, which itself connects within 300 ms.
	relayTimeout = 500 * time.Millisecond
	// declinedTime is how long a box is not asked again after it declined or did not answer.
	declinedTime = time.Second
	// relayWindow bounds the bytes in flight of one connection, which this box holds in memory until they are read.
	relayWindow = 64 << 10
)

// relay opens connections to endpoints through other boxes. It implements forward.Relay.
type relay struct {
	node   *Node
	dialer *daemon.Dialer // apart from other calls: a connection may be silent for long while a prompt is read

	mu       sync.Mutex
	declined map[string]time.Time // until when a box is not asked
	open     map[string]int       // connections through a box
}

func newRelay(n *Node) *relay {
	d := &net.Dialer{Timeout: peerDialTimeout}
	return &relay{
		node:     n,
		dialer:   &daemon.Dialer{Credentials: insecure.NewCredentials(), Dial: d.DialContext, StreamWindow: relayWindow},
		declined: make(map[string]time.Time),
		open:     make(map[string]int),
	}
}

// Dial implements forward.Relay. An endpoint that refuses the connections of two other boxes, or does not answer one, is
// unreachable: one box alone may have been refused because it is cut off itself and does not know yet. A box that is known to be
// cut off, has no room or does not answer is replaced by the next.
func (r *relay) Dial(ctx context.Context, e *topology.Endpoint) (net.Conn, error) {
	refused := 0
	for _, m := range r.candidates(clock.Now()) {
		c, err := r.dialThrough(ctx, m, e)
		switch {
		case err == nil:
			return c, nil
		case ctx.Err() != nil:
			return nil, errors.Wrap(ctx.Err(), "edge: connect through another box")
		case status.Code(err) == codes.FailedPrecondition:
			if refused++; refused == refusalsNeeded {
				return nil, errRefused()
			}
			continue
		case status.Code(err) == codes.Aborted:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		r.decline(m.Name(), err)
	}
	if refused > 0 {
		return nil, errRefused()
	}
	return nil, forward.ErrNoRelay
}

// errRefused returns the error of a connection that the endpoint refused.
func errRefused() error { return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED} }

// candidates returns the boxes to try, the one with the fewest connections of this box first. They are a few of all boxes
// that are not known to be cut off; each box has its own order of them, so that the work of many spreads evenly.
func (r *relay) candidates(now time.Time) []member.Member {
	byName := make(map[string]member.Member)
	var names []string
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.node.peers.table.Members() {
		if m.Role() != roleBox || !m.Serving() || m.CutOff() || m.Name() == r.node.peers.box || now.Before(r.declined[m.Name()]) {
			continue
		}
		byName[m.Name()] = m
		names = append(names, m.Name())
	}
	names = policy.Rank(r.node.peers.box, names)
	names = slices.Clone(names[:min(len(names), relayBoxes)])
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(r.open[a], r.open[b]) })
	var list []member.Member
	for _, n := range names[:min(len(names), maxRelayTries)] {
		list = append(list, byName[n])
	}
	return list
}

// decline has a box not asked for declinedTime.
func (r *relay) decline(box string, err error) {
	r.node.Log.V(1).Info("Box opens no connection to an endpoint for this one", "member", box, "err", err.Error())
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declined[box] = now.Add(declinedTime)
	for b, until := range r.declined {
		if now.After(until) {
			delete(r.declined, b)
		}
	}
}

// dialThrough opens a connection through one box, which ends when that box is dead.
func (r *relay) dialThrough(ctx context.Context, m member.Member, e *topology.Endpoint) (net.Conn, error) {
	open := func(ctx context.Context) (tunnel.Client, error) {
		return wire.NewShareClient(r.dialer.Conn(m.Address())).Tunnel(ctx)
	}
	stream, streamCtx, cancel, err := tunnel.Open(ctx, relayTimeout, open, &wire.TunnelRequest{Box: r.node.peers.box, Endpoint: e.ID()})
	if err != nil {
		return nil, err
	}
	go r.cancelWhenDead(streamCtx, cancel, m.Name())
	r.count(m.Name(), 1)
	return tunnel.NewConn(stream, cancel, e.Address(), func() { r.count(m.Name(), -1) }), nil
}

// cancelWhenDead cancels a tunnel as soon as its box is considered dead. One that shuts down still carries the data of
// requests in flight.
func (r *relay) cancelWhenDead(ctx context.Context, cancel context.CancelFunc, box string) {
	table := r.node.peers.table
	for ctx.Err() == nil {
		changed := table.Changed()
		if m, known := table.Find(box); !known || m.State() == member.Dead {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// count changes the number of connections through a box.
func (r *relay) count(box string, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[box] += by; r.open[box] == 0 {
		delete(r.open, box)
	}
}

// observedControl reports the endpoints that did not respond to a call.
type observedControl struct {
	placement.Control

	failed func(e *topology.Endpoint)
}

// Report implements placement.Control.
func (o observedControl) Report(ctx context.Context, e *topology.Endpoint) (placement.Inventory, error) {
	h, err := o.Control.Report(ctx, e)
	if err != nil {
		o.failed(e)
	}
	return h, err
}

// Order implements placement.Control.
func (o observedControl) Order(ctx context.Context, e *topology.Endpoint, d placement.Order) (placement.Outcome, error) {
	out, err := o.Control.Order(ctx, e, d)
	if err != nil {
		o.failed(e)
	}
	return out, err
}

// reportLinks publishes whether this box is cut off from endpoints that other boxes reach.
func (n *Node) reportLinks(cutOff bool) {
	n.peers.table.SetCutOff(cutOff, time.Now())
	n.peers.loop.NotifyNeighbours()
	if !cutOff {
		n.relay.closeUnused()
	}
}

// closeUnused closes the connections to boxes that carry nothing.
func (r *relay) closeUnused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := make(map[string]bool)
	for box := range r.open {
		if m, known := r.node.peers.table.Find(box); known {
			used[m.Address()] = true
		}
	}
	r.dialer.CloseUnused(used)
}
