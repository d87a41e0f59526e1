// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"cairnwick.example/clock"
	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
)

// AcceptGate closes new connections before anything is read from them while this daemon has more work than it can do:
// their callers can send the request through another daemon at once, which they can't once it has been read. Connections
// that were accepted before are served on, but are closed after their next response, and a few new ones are accepted at any
// time. What was accepted goes before what was not, so heartbeats and updates wait little behind callers. Set the exported
// fields before Listen and Run.
type AcceptGate struct {
	// Full reports whether the daemon can take no further request; nil: never.
	Full func() bool
	// Alone reports whether no other daemon could serve a caller whose connection is closed; nil: never. Only a daemon that is full
	// closes connections then.
	Alone func() bool
	Log   logr.Logger

	late   atomic.Int64 // mean delay of timers, in nanoseconds
	closed atomic.Int64
	last   atomic.Pointer[overload] // nil: the processor was never found overloaded
	probe  processorProbe           // only the accept loop uses it

	acceptAt time.Time // when the next connection is accepted, though the daemon is overloaded; only the accept loop uses it
}

// overload is a sign that there is more work than the processor can do.
type overload struct {
	at     time.Time
	waited time.Duration // for the processor, until then
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
	// maxProcessorWait is how long work may wait for the processor until no further connection is accepted. A request waits
	// for it several times, and callers of short ones expect their responses within a tenth of a second.
	maxProcessorWait = 30 * time.Millisecond
	// maxBacklogTime is how long connections may have waited without a break until all that wait are closed, within the tenth
	// of a second in which callers of short requests expect their responses.
	maxBacklogTime = 60 * time.Millisecond
	// overloadMemory is how long the processor counts as overloaded after it was found so, or twice the wait that was found if
	// that is longer: the next measurement takes as long.
	overloadMemory = 100 * time.Millisecond
)

// Listen wraps a listener.
func (g *AcceptGate) Listen(l net.Listener) net.Listener { return &gatedListener{Listener: l, gate: g} }

// Handler wraps the handler of a listener's server. While the daemon is overloaded its responses close their connections, so
// that the callers' next requests can go to other daemons.
func (g *AcceptGate) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.IsOverloaded() && !g.isAlone() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

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

// IsOverloaded reports whether this daemon has had more work than its processor can do lately.
func (g *AcceptGate) IsOverloaded() bool {
	last := g.last.Load()
	return g.isLate() || (last != nil && time.Since(last.at) < max(overloadMemory, 2*last.waited))
}

// processorIsBusy reports whether work has to wait too long for the processor. It lets work that was accepted go before further
// connections, which may thus have to wait themselves.
func (g *AcceptGate) processorIsBusy(standingBacklog bool) bool {
	waited, ended := g.probe.wait(maxProcessorWait)
	if ended && !standingBacklog {
		return false
	}
	g.last.Store(&overload{at: time.Now(), waited: waited})
	return true
}

// processorProbe measures how long work waits for the processor: it yields, and is run again after all that can run has been.
// It must not be used concurrently.
type processorProbe struct {
	begun time.Time
	ended chan struct{} // nil: none is under way
}

// wait measures for at most a given time. It returns how long the probe has taken, and whether it has ended. One that has not is
// still under way in the next call.
func (p *processorProbe) wait(most time.Duration) (time.Duration, bool) {
	if p.ended == nil {
		ended := make(chan struct{}, 1)
		p.begun, p.ended = time.Now(), ended
		go func() {
			runtime.Gosched()
			ended <- struct{}{}
		}()
	}
	left := most - time.Since(p.begun)
	if left <= 0 {
		select {
		case <-p.ended:
			p.ended = nil
		default:
		}
		return time.Since(p.begun), false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-p.ended:
		p.ended = nil
		return time.Since(p.begun), true
	case <-timer.C:
		return time.Since(p.begun), false
	}
}

// accepts reports whether a new connection is accepted. It must not be called concurrently.
func (g *AcceptGate) accepts(now time.Time, standingBacklog bool) bool {
	busy := g.processorIsBusy(standingBacklog) || g.isLate()
	overloaded := g.isFull() || (busy && !g.isAlone())
	if overloaded && now.Before(g.acceptAt) {
		return false
	}
	g.acceptAt = now.Add(maxClosedTime)
	return true
}

func (g *AcceptGate) isFull() bool { return g.Full != nil && g.Full() }

func (g *AcceptGate) isAlone() bool { return g.Alone != nil && g.Alone() }

func (g *AcceptGate) isLate() bool { return g.MeanDelay() >= maxMeanDelay }

// gatedListener closes the connections that its gate does not let in. Accept must not be called concurrently.
type gatedListener struct {
	net.Listener

	gate    *AcceptGate
	backlog backlog
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		waiting := hasPending(l.Listener)
		c, err := l.Listener.Accept()
		if err != nil || l.gate.accepts(clock.Now(), l.backlog.isStanding(waiting, time.Now())) {
			return c, err
		}
		l.gate.closed.Add(1)
		_ = c.Close() // nothing was read
	}
}

// hasPending reports whether a connection waits to be accepted; false if that is not known.
func hasPending(l net.Listener) bool {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return err == nil && pending
}

// backlog measures for how long connections have waited to be accepted without a break.
type backlog struct {
	emptyAt time.Time // when none waited; zero: not known yet
}

// isStanding records whether a connection was there before it was accepted, and reports whether connections have waited all
// the time for maxBacklogTime.
func (b *backlog) isStanding(waiting bool, now time.Time) bool {
	if !waiting || b.emptyAt.IsZero() {
		b.emptyAt = now
	}
	return now.Sub(b.emptyAt) >= maxBacklogTime
}
