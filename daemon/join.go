// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"strings"
	"time"
)

const (
	// joinBeats bounds the wait for a view that is still, in heartbeats: a view that
	// changes all the time must not keep a daemon from serving.
	joinBeats = 4
	// stillPart of a heartbeat more than one is how long a still view has no change, so
	// that the news of the last beat is in it.
	stillPart = 4
)

// join makes the node ready once it has a configuration: what peers
// have in force when any answers, else what the platform gives.
func (n *Node) join(ctx context.Context) error {
	for ctx.Err() == nil && n.Keeper.Catalog() == nil {
		n.askPeers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-n.Keeper.Changed():
		case <-time.After(n.values.Duration(Heartbeat)):
		}
	}
	n.awaitView(ctx)
	if ctx.Err() == nil {
		n.ready.Store(true)
		n.Log.Info("Daemon is ready", "revision", n.Keeper.Catalog().Revision())
	}
	<-ctx.Done()
	return nil
}

// awaitView waits until the view of the members was still for one heartbeat, so
// that this daemon does not act on a part of its data centre; after a bounded
// time it goes on with what it has.
func (n *Node) awaitView(ctx context.Context) {
	beat := n.values.Duration(Heartbeat)
	limit := time.After(joinBeats * beat)
	for {
		changed := n.Table.Changed()
		still := time.After(beat + beat/stillPart)
		if len(n.Table.Members()) == 1 {
			still = nil // nobody answered yet
		}
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-still:
			return
		case <-changed:
		}
	}
}

// askPeers takes over what any known daemon has in force, of every data centre.
func (n *Node) askPeers(ctx context.Context) {
	list := n.namedPeers()
	for _, b := range n.Boxes.List() {
		if b.Name != n.Name() {
			list = append(list, b.Address)
		}
	}
	for _, a := range list {
		if n.Keeper.Catalog() != nil {
			return
		}
		if err := n.relay.Ask(ctx, a); err != nil {
			n.Log.V(1).Info("Peer gave no configuration", "address", a, "err", err.Error())
		}
	}
}

// readBoxes gives the first heartbeat its seeds, when the platform answers soon.
func (n *Node) readBoxes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstRead)
	defer cancel()
	if !n.Boxes.Refresh(ctx) {
		n.Log.Info("Platform gave no list of boxes at the start")
	}
}

// seeds lists daemons of the own data centre.
func (n *Node) seeds() []string {
	var list []string
	for _, b := range n.Boxes.List() {
		if b.DataCentre == n.centre && b.Name != n.Name() {
			list = append(list, b.Address)
		}
	}
	return append(list, n.namedPeers()...)
}

// remotes lists daemons of the other data centres.
func (n *Node) remotes() []string {
	var list []string
	for _, b := range n.Boxes.List() {
		if b.DataCentre != n.centre {
			list = append(list, b.Address)
		}
	}
	return list
}

// namedPeers lists the addresses that the settings name.
func (n *Node) namedPeers() []string {
	var list []string
	for _, a := range strings.Split(n.values.Text(Peers), ",") {
		if a = strings.TrimSpace(a); a != "" && a != n.advertised() {
			list = append(list, a)
		}
	}
	return list
}
