// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// Guards against a daemon that reads requests which it then can't serve, while others could.
func TestNewConnectionsAreClosedUnreadWhileFull(t *testing.T) {
	c := quicktest.New(t)
	var full atomic.Bool
	var served atomic.Int64
	g := &AcceptGate{Full: full.Load, Log: logr.Discard()}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = io.WriteString(w, "fine")
	}))
	s.Listener = g.Listen(s.Listener)
	s.Start()
	defer s.Close()
	kept := s.Client()
	get := func(client *http.Client) error {
		a, err := client.Get(s.URL)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		return err
	}
	c.Assert(get(kept), quicktest.IsNil)
	full.Store(true)
	c.Check(get(&http.Client{Transport: &http.Transport{}}), quicktest.IsNotNil)
	c.Check(get(kept), quicktest.IsNil) // a connection that was accepted before
	c.Check(served.Load(), quicktest.Equals, int64(2))
	c.Check(g.Closed(), quicktest.Equals, int64(1))
	full.Store(false)
	c.Check(get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}), quicktest.IsNil)
}

// A suspension of the machine delays one timer, a lack of processor time all of them.
func TestOnlyRepeatedDelaysCloseConnections(t *testing.T) {
	c := quicktest.New(t)
	g := &AcceptGate{}
	g.recordDelay(time.Minute)
	c.Check(g.IsOverloaded(), quicktest.IsFalse)
	for range 20 {
		g.recordDelay(-time.Millisecond)
	}
	for range 20 {
		g.recordDelay(maxMeanDelay - time.Millisecond)
	}
	c.Check(g.IsOverloaded(), quicktest.IsFalse)
	for range 20 {
		g.recordDelay(2 * maxMeanDelay)
	}
	c.Check(g.IsOverloaded(), quicktest.IsTrue)
	for range 20 {
		g.recordDelay(0)
	}
	c.Check(g.IsOverloaded(), quicktest.IsFalse)
}

func TestAcceptGateStopsWithItsContext(t *testing.T) {
	c := quicktest.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	g := &AcceptGate{Log: logr.Discard()}
	go func() { done <- g.Run(ctx) }()
	cancel()
	c.Assert(<-done, quicktest.IsNil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Assert(g.Listen(l).Close(), quicktest.IsNil)
}

// Guards against a daemon that says that it is ready and accepts no connection for as long as it is overloaded.
func TestOverloadedDaemonAcceptsSomeConnections(t *testing.T) {
	c := quicktest.New(t)
	g := &AcceptGate{Full: func() bool { return true }}
	accepted, now := 0, time.Now()
	for range 1000 { // one connection every ten milliseconds
		if g.accepts(now, false) {
			accepted++
		}
		now = now.Add(10 * time.Millisecond)
	}
	c.Check(accepted, quicktest.Equals, 20)
}

// Connections that wait for as long as it takes to accept them are no backlog; those that wait one after the other are.
func TestBacklogIsStandingOnlyWithoutABreak(t *testing.T) {
	c := quicktest.New(t)
	start := time.Now()
	var b backlog
	c.Check(b.isStanding(true, start), quicktest.IsFalse) // how long it has waited is not known
	c.Check(b.isStanding(true, start.Add(maxBacklogTime/2)), quicktest.IsFalse)
	c.Check(b.isStanding(true, start.Add(maxBacklogTime)), quicktest.IsTrue)
	again := start.Add(2 * maxBacklogTime)
	c.Check(b.isStanding(false, again), quicktest.IsFalse)
	c.Check(b.isStanding(true, again.Add(maxBacklogTime/2)), quicktest.IsFalse)
}

func TestPendingConnectionIsSeenBeforeItIsAccepted(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	c.Check(hasPending(l), quicktest.IsFalse)
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	for !hasPending(l) {
		time.Sleep(time.Millisecond)
	}
	accepted, err := l.Accept()
	c.Assert(err, quicktest.IsNil)
	defer accepted.Close()
	c.Check(hasPending(l), quicktest.IsFalse)
}

// Guards against a box that closes connections although no other box is left to take them.
func TestDaemonThatIsAloneClosesConnectionsOnlyWhenFull(t *testing.T) {
	c := quicktest.New(t)
	full, alone := false, true
	g := &AcceptGate{Full: func() bool { return full }, Alone: func() bool { return alone }}
	now := time.Now()
	c.Check(g.accepts(now, true), quicktest.IsTrue)
	c.Check(g.accepts(now, true), quicktest.IsTrue)
	full = true
	c.Check(g.accepts(now, true), quicktest.IsFalse)
	full, alone = false, false
	c.Check(g.accepts(now, true), quicktest.IsFalse)
}
