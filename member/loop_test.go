// SPDX-License-Identifier: Apache-2.0

package member

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// memoryNetwork connects heartbeat loops in memory, by address.
type memoryNetwork map[string]*HeartbeatLoop

type emptyPayload struct{}

func (emptyPayload) Attach(*wire.Heartbeat)          {}
func (emptyPayload) Receive(*wire.Heartbeat, string) {}

// memoryPeer is the daemon at an address.
type memoryPeer struct {
	network memoryNetwork
	address string
}

// Exchange implements Peer.
func (p memoryPeer) Exchange(_ context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	l := p.network[p.address]
	if l == nil {
		return nil, errors.New("no daemon at the address")
	}
	return l.HandleHeartbeat(h), nil
}

// join adds a daemon with the seeds.
func (net memoryNetwork) join(name string, seeds ...string) *HeartbeatLoop {
	l := &HeartbeatLoop{
		Table:          NewTable(box(name, 1), testOptions),
		Dial:           func(address string) Peer { return memoryPeer{network: net, address: address} },
		Seeds:          func() []string { return seeds },
		IsBridge:       func() bool { return true },
		RemotePeers:    func() []string { return nil },
		Payload:        emptyPayload{},
		Log:            logr.Discard(),
		Interval:       time.Second,
		Timeout:        time.Second,
		NeighbourCount: 2,
	}
	l.init()
	net[name+":1"] = l
	return l
}

// runRounds runs n rounds of every daemon.
func (net memoryNetwork) runRounds(n int) {
	for range n {
		for _, l := range net {
			l.runRound(context.Background())
		}
	}
}

func (net memoryNetwork) allSeeServing(count int) bool {
	for _, l := range net {
		if len(l.Table.Serving(Scheduler)) != count {
			return false
		}
	}
	return true
}

func TestSimultaneouslyStartedDaemonsDiscoverEachOther(t *testing.T) {
	c := quicktest.New(t)
	net := make(memoryNetwork)
	for i := range 16 {
		net.join(fmt.Sprintf("box%02d", i), "box00:1")
	}
	net.runRounds(8)
	c.Assert(net.allSeeServing(16), quicktest.IsTrue)
}

func TestSeparateGroupsMerge(t *testing.T) {
	c := quicktest.New(t)
	net := make(memoryNetwork)
	for i := range 4 {
		net.join(fmt.Sprintf("left%d", i), "left0:1", "right0:1")
		net.join(fmt.Sprintf("right%d", i), "left0:1", "right0:1")
	}
	for n, l := range net { // each knows only its own group, as after a long partition
		for o, m := range net {
			if n != o && n[0] == o[0] {
				l.Table.Merge([]Member{m.Table.Self()}, start)
			}
		}
	}
	net.runRounds(8)
	c.Assert(net.allSeeServing(8), quicktest.IsTrue)
}

// A daemon declared another dead. Members with direct contact to that one discarded the gossip
// without passing it on, so that it never received the claim and never refuted it.
func TestMemberReceivesClaimOfItsDeathFromMembersThatRejectIt(t *testing.T) {
	c := quicktest.New(t)
	net := make(memoryNetwork)
	for i := range 6 {
		net.join(fmt.Sprintf("box%d", i), "box0:1")
	}
	net.runRounds(8)
	c.Assert(net.allSeeServing(6), quicktest.IsTrue)
	net["box0:1"].Table.RecordRefusal("box3", time.Now())
	net.runRounds(6)
	c.Assert(net.allSeeServing(6), quicktest.IsTrue)
}

func TestHeartbeatContainsCompleteSender(t *testing.T) {
	c := quicktest.New(t)
	net := make(memoryNetwork)
	a := net.join("a", "b:1")
	net.join("b", "a:1")
	net.runRounds(4) // until the views agree
	c.Assert(FromWire(a.NewHeartbeat(false).GetFrom()).Address(), quicktest.Equals, "a:1")
}

// Guards against a daemon that starts and knows of no other for some rounds, since the seed that it tries first is down.
func TestStartingDaemonContactsSeveralSeeds(t *testing.T) {
	c := quicktest.New(t)
	net := make(memoryNetwork)
	net.join("a")
	l := net.join("b", "down-1:1", "a:1", "down-2:1")
	l.Interval = time.Hour // no further round
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	for range 1000 {
		if _, ok := l.Table.Find("a"); ok {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, known := l.Table.Find("a")
	c.Check(known, quicktest.IsTrue)
	cancel()
	c.Assert(<-done, quicktest.IsNil)
}
