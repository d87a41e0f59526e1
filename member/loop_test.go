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

// wires connects loops in memory by address.
type memoryNetwork map[string]*HeartbeatLoop

type emptyPayload struct{}

func (emptyPayload) Attach(*wire.Heartbeat)          {}
func (emptyPayload) Receive(*wire.Heartbeat, string) {}

// memoryPeer is the loop at an address.
type memoryPeer struct {
	network memoryNetwork
	address string
}

// Exchange implements Peer.
func (p memoryPeer) Exchange(_ context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	l := p.network[p.address]
	if l == nil {
		return nil, errors.New("nobody there")
	}
	return l.HandleHeartbeat(h), nil
}

// join adds a daemon that knows the seeds.
func (w memoryNetwork) join(name string, seeds ...string) *HeartbeatLoop {
	l := &HeartbeatLoop{
		Table:          NewTable(box(name, 1), limits),
		Dial:           func(address string) Peer { return memoryPeer{network: w, address: address} },
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
	w[name+":1"] = l
	return l
}

// beats lets every daemon beat so many times.
func (w memoryNetwork) runRounds(n int) {
	for range n {
		for _, l := range w {
			l.runRound(context.Background())
		}
	}
}

func (w memoryNetwork) allSeeServing(count int) bool {
	for _, l := range w {
		if len(l.Table.Serving(Scheduler)) != count {
			return false
		}
	}
	return true
}

func TestSimultaneouslyStartedDaemonsDiscoverEachOther(t *testing.T) {
	c := quicktest.New(t)
	w := make(memoryNetwork)
	for i := range 16 {
		w.join(fmt.Sprintf("box%02d", i), "box00:1")
	}
	w.runRounds(8)
	c.Assert(w.allSeeServing(16), quicktest.IsTrue)
}

func TestSeparateGroupsMerge(t *testing.T) {
	c := quicktest.New(t)
	w := make(memoryNetwork)
	for i := range 4 {
		w.join(fmt.Sprintf("left%d", i), "left0:1", "right0:1")
		w.join(fmt.Sprintf("right%d", i), "left0:1", "right0:1")
	}
	for n, l := range w { // each knows its own group alone, as after a long cut
		for o, m := range w {
			if n != o && n[0] == o[0] {
				l.Table.Merge([]Member{m.Table.Self()}, start)
			}
		}
	}
	w.runRounds(8)
	c.Assert(w.allSeeServing(8), quicktest.IsTrue)
}

// One daemon believed another dead. Those who saw that one themselves passed the gossip
// over, so it never heard of its death and never refuted it.
func TestMemberReceivesClaimOfItsDeathFromMembersThatRejectIt(t *testing.T) {
	c := quicktest.New(t)
	w := make(memoryNetwork)
	for i := range 6 {
		w.join(fmt.Sprintf("box%d", i), "box0:1")
	}
	w.runRounds(8)
	c.Assert(w.allSeeServing(6), quicktest.IsTrue)
	w["box0:1"].Table.RecordRefusal("box3", time.Now())
	w.runRounds(6)
	c.Assert(w.allSeeServing(6), quicktest.IsTrue)
}

func TestHeartbeatContainsCompleteSender(t *testing.T) {
	c := quicktest.New(t)
	w := make(memoryNetwork)
	a := w.join("a", "b:1")
	w.join("b", "a:1")
	w.runRounds(4) // until the views agree
	c.Assert(FromWire(a.NewHeartbeat(false).GetFrom()).Address(), quicktest.Equals, "a:1")
}
