// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cairnwick.example/clock"
	"github.com/go-logr/logr"
)

// AcceptGate closes new connections before anything is read from them while this daemon has more work than it can do:
// their callers can send the request through another daemon at once, which they can't once it has been read. Connections
// that were accepted before are served on, and a few new ones are accepted at any time. Set the exported fields before
// Listen and Run.
type AcceptGate struct {
	// Full reports whether the daemon can take no further request; nil: never.
	Full func() bool
	Log  logr.Logger

	late   atomic.Int64 // mean delay of timers, in nanoseconds
	closed atomic.Int64

	mu       sync.Mutex
	acceptAt time.Time // when the next connection is accepted, though the daemon is overloaded
}

const (
	delayInterval = 100 * time.Millisecond // between two measurements of how late timers are
	// maxDelaySample limits the effect of one measurement: a suspension of the machine is not a lack of processor time.
	maxDelaySample = 400 * time.Millisecond
	// maxMeanDelay is the mean delay from which the daemon counts as overloaded. All that it does takes longer by some
	// multiple of it, and callers wait for about a second until a request is read.
	maxMeanDelay   = 100 * time.Millisecond
	delaySmoothing = 5 // measurements in the mean
	// maxClosedTime is the time after which an overloaded daemon accepts a connection all the same. One that accepts none
	// for seconds is taken for dead.
	maxClosedTime   = 500 * time.Millisecond
	gateLogInterval = time.Second
)

// Listen wraps a listener.
func (g *AcceptGate) Listen(l net.Listener) net.Listener { return gatedListener{Listener: l, gate: g} }

// Closed returns the number of connections that were closed unread.
func (g *AcceptGate) Closed() int64 { return g.closed.Load() }

// Run measures the delay of timers until ctx ends.
func (g *AcceptGate) Run(ctx context.Context) error {
	t := time.NewTimer(delayInterval)
	defer t.Stop()
	logged, loggedAt := int64(0), clock.Now()
	for {
		due := clock.Now().Add(delayInterval)
		t.Reset(delayInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := clock.Now()
		g.recordDelay(now.Sub(due))
		if n := g.Closed(); n > logged && now.Sub(loggedAt) >= gateLogInterval {
			g.Log.Info("New connections are closed unread, since the box is overloaded", "connections", n-logged, "timer_delay_ms", g.MeanDelay().Milliseconds())
			logged, loggedAt = n, now
		}
	}
}

// recordDelay adds a measurement to the mean.
func (g *AcceptGate) recordDelay(late time.Duration) {
	sample := int64(min(max(late, 0), maxDelaySample))
	mean := g.late.Load()
	g.late.Store(mean + (sample-mean)/delaySmoothing)
}

// MeanDelay returns how late timers of this daemon are in the mean.
func (g *AcceptGate) MeanDelay() time.Duration { return time.Duration(g.late.Load()) }

// accepts reports whether a new connection is accepted.
func (g *AcceptGate) accepts(now time.Time) bool {
	overloaded := g.isOverloaded()
	g.mu.Lock()
	defer g.mu.Unlock()
	if overloaded && now.Before(g.acceptAt) {
		return false
	}
	g.acceptAt = now.Add(maxClosedTime)
	return true
}

func (g *AcceptGate) isOverloaded() bool {
	return g.MeanDelay() >= maxMeanDelay || (g.Full != nil && g.Full())
}

// gatedListener closes the connections that its gate does not let in.
type gatedListener struct {
	net.Listener

	gate *AcceptGate
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.gate.accepts(clock.Now()) {
			return c, err
		}
		l.gate.closed.Add(1)
		_ = c.Close() // nothing was read
	}
}
