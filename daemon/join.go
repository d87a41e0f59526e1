// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"strings"
	"time"
)

const (
	// maxJoinHeartbeats bounds the wait for a view that is still, in heartbeats: a view that
	// changes all the time must not keep a daemon from serving.
	maxJoinHeartbeats = 4
	// stableMarginDivisor of a heartbeat more than one is how long a still view has no change, so
	// that the news of the last beat is in it.
	stableMarginDivisor = 4
)

// join makes the node ready once it has a configuration: what peers
// have in force when any answers, else what the platform gives.
func (n *Node) join(ctx context.Context) error {
	for ctx.Err() == nil && n.Keeper.Catalog() == nil {
		n.fetchFromPeers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-n.Keeper.Changed():
		case <-time.After(n.values.Duration(Heartbeat)):
		}
	}
	n.awaitStableView(ctx)
	if ctx.Err() == nil {
		n.ready.Store(true)
		n.Log.Info("Daemon is ready", "revision", n.Keeper.Catalog().Revision())
	}
	<-ctx.Done()
	return nil
}

// awaitStableView waits until the view of the members was still for one heartbeat, so
// that this daemon does not act on a part of its data centre; after a bounded
// time it goes on with what it has.
func (n *Node) awaitStableView(ctx context.Context) {
	interval := n.values.Duration(Heartbeat)
	timeout := time.After(maxJoinHeartbeats * interval)
	for {
		changed := n.Table.Changed()
		stable := time.After(interval + interval/stableMarginDivisor)
		if len(n.Table.All()) == 1 {
			stable = nil // nobody answered yet
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case <-stable:
			return
		case <-changed:
		}
	}
}

// fetchFromPeers takes over what any known daemon has in force, of every data centre.
func (n *Node) fetchFromPeers(ctx context.Context) {
	list := n.configuredPeers()
	for _, b := range n.BoxList.List() {
		if b.Name != n.Name() {
			list = append(list, b.Address)
		}
	}
	for _, a := range list {
		if n.Keeper.Catalog() != nil {
			return
		}
		if err := n.syncer.FetchFrom(ctx, a); err != nil {
			n.Log.V(1).Info("Peer gave no configuration", "address", a, "err", err.Error())
		}
	}
}

// readBoxList gives the first heartbeat its seeds, when the platform answers soon.
func (n *Node) readBoxList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	defer cancel()
	if !n.BoxList.Refresh(ctx) {
		n.Log.Info("Platform gave no list of boxes at the start")
	}
}

// seeds lists daemons of the own data centre.
func (n *Node) seeds() []string {
	var list []string
	for _, b := range n.BoxList.List() {
		if b.DataCentre == n.dataCentre && b.Name != n.Name() {
			list = append(list, b.Address)
		}
	}
	return append(list, n.configuredPeers()...)
}

// remotes lists daemons of the other data centres.
func (n *Node) remotes() []string {
	var list []string
	for _, b := range n.BoxList.List() {
		if b.DataCentre != n.dataCentre {
			list = append(list, b.Address)
		}
	}
	return list
}

// configuredPeers lists the addresses that the settings name.
func (n *Node) configuredPeers() []string {
	var list []string
	for _, a := range strings.Split(n.values.Text(Peers), ",") {
		if a = strings.TrimSpace(a); a != "" && a != n.advertisedAddress() {
			list = append(list, a)
		}
	}
	return list
}
