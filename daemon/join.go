// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"strings"
	"time"
)

const (
	// maxJoinHeartbeats limits the wait for a stable view of the members, in heartbeat
	// intervals: constant changes must not keep a daemon from serving.
	maxJoinHeartbeats = 4
	// stableMarginDivisor sets the margin of the stable period: the view must not change for
	// one heartbeat interval and this fraction of another, so that it includes what the last
	// heartbeat brought.
	stableMarginDivisor = 4
)

// join waits for a configuration, the one in force at a peer or else the platform's, and
// for a stable view of the members. It then marks the node as ready.
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

// awaitStableView waits until the view of the members has not changed for a heartbeat
// interval, so that this daemon does not act on an incomplete view of its data centre. It
// gives up after maxJoinHeartbeats.
func (n *Node) awaitStableView(ctx context.Context) {
	interval := n.values.Duration(Heartbeat)
	timeout := time.After(maxJoinHeartbeats * interval)
	for {
		changed := n.Table.Changed()
		stable := time.After(interval + interval/stableMarginDivisor)
		if len(n.Table.Members()) == 1 {
			stable = nil // no peer has answered yet
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

// fetchFromPeers asks the known daemons of all data centres for the configuration in force
// until one of them supplies it.
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
			n.Log.V(1).Info("Failed to fetch configuration from peer", "address", a, "err", err.Error())
		}
	}
}

// readBoxList reads the list of boxes, so that the first heartbeat has seeds. It waits for
// the platform no longer than initialReadTimeout.
func (n *Node) readBoxList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	defer cancel()
	if !n.BoxList.Refresh(ctx) {
		n.Log.Info("Failed to read list of boxes from platform at start-up")
	}
}

// seeds returns the addresses of the other daemons of the own data centre and of the peers in
// the settings.
func (n *Node) seeds() []string {
	var list []string
	for _, b := range n.BoxList.List() {
		if b.DataCentre == n.dataCentre && b.Name != n.Name() {
			list = append(list, b.Address)
		}
	}
	return append(list, n.configuredPeers()...)
}

// remotes returns the addresses of the daemons of other data centres.
func (n *Node) remotes() []string {
	var list []string
	for _, b := range n.BoxList.List() {
		if b.DataCentre != n.dataCentre {
			list = append(list, b.Address)
		}
	}
	return list
}

// configuredPeers returns the addresses of the peers in the settings.
func (n *Node) configuredPeers() []string {
	var list []string
	for _, a := range strings.Split(n.values.Text(Peers), ",") {
		if a = strings.TrimSpace(a); a != "" && a != n.advertisedAddress() {
			list = append(list, a)
		}
	}
	return list
}
