// SPDX-License-Identifier: Apache-2.0

package member

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Peer is one other daemon, as far as heartbeats need it.
type Peer interface {
	// Exchange swaps heartbeats.
	Exchange(ctx context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error)
}

// Extras is what heartbeats carry besides members, such as heads of configuration.
type Extras interface {
	// Fill adds to a heartbeat that is about to be sent.
	Fill(h *wire.Heartbeat)
	// Heard takes what a heartbeat from the peer at address carried.
	Heard(h *wire.Heartbeat, address string)
}

const (
	maxNews     = 8 // members in one heartbeat that is not full
	remoteBeats = 2 // beats of a watcher between two to other data centres

	// The first beats come faster: daemons that start together find each other by them,
	// and until they have nobody knows who does what.
	quickBeats = 10
	quickPart  = 3 // times as fast

	// spreadPause is the least time between two tellings of changes to a random member: where
	// dozens come or go together, what comes within it is told at once.
	spreadPause = 50 * time.Millisecond
)

// Loop beats to the ring neighbours of Table. Set every field before Run.
type Loop struct {
	Table      *Table
	Dial       func(address string) Peer
	Seeds      func() []string // addresses of daemons of the data centre, from the platform's list
	Bridges    func() bool     // whether it also exchanges with seeds that it does not know, and with Remote
	Remote     func() []string // addresses of daemons of other data centres
	Extras     Extras
	Log        logr.Logger
	Interval   time.Duration // between beats; positive
	Timeout    time.Duration // of one exchange
	PauseLimit time.Duration // a longer gap between beats is a pause of the process
	Neighbours int           // watched at a time
	OnPause    func(gap time.Duration)

	disagreements disagreements

	probes chan string // names to probe at once
	nudges chan struct{}
	beaten int // beats so far
	once   sync.Once
}

func (l *Loop) init() {
	l.once.Do(func() {
		l.probes = make(chan string, 16)
		l.nudges = make(chan struct{}, 1)
	})
}

// Probe asks for an exchange with a member now, because something else could
// not reach it.
func (l *Loop) Probe(name string) {
	l.init()
	select {
	case l.probes <- name:
	default: // enough probes are waiting
	}
}

// Nudge tells the neighbours now what the extras add to heartbeats.
func (l *Loop) Nudge() {
	l.init()
	select {
	case l.nudges <- struct{}{}:
	default: // one is waiting
	}
}

// Run beats until ctx ends. When it ends the table has told its news, a leave
// too, to the neighbours.
func (l *Loop) Run(ctx context.Context) error {
	l.init()
	tick := time.NewTicker(l.Interval / quickPart)
	defer tick.Stop()
	last := clock.Now()
	quick := quickBeats
	l.beat(ctx)
	spreadVersion := l.Table.Version() // of the view whose changes were spread
	var paused <-chan time.Time        // until then no change is spread; nil: one may be
	for ctx.Err() == nil {
		changed := l.Table.Changed()
		if v := l.Table.Version(); paused == nil && v != spreadVersion { // also what a beat brought
			spreadVersion = v
			l.spread(ctx)
			paused = time.After(spreadPause)
			continue
		}
		if paused != nil {
			changed = nil
		}
		select {
		case <-ctx.Done():
		case name := <-l.probes:
			l.probe(ctx, name)
		case <-l.nudges:
			l.exchangeAll(ctx, l.Table.Neighbours(l.Neighbours))
			l.spread(ctx)
		case <-changed:
		case <-paused:
			paused = nil
		case <-tick.C:
			if quick--; quick == 0 {
				tick.Reset(l.Interval)
			}
			l.watchPause(clock.Since(last))
			last = clock.Now()
			l.Table.Tick(last)
			l.beat(ctx)
		}
	}
	return nil
}

// watchPause distrusts the view when this process did not run for a while.
func (l *Loop) watchPause(gap time.Duration) {
	if gap < l.PauseLimit {
		return
	}
	l.Log.Info("Process was paused; what it knew is distrusted", "gap", gap.String())
	l.Table.Paused(clock.Now())
	if l.OnPause != nil {
		l.OnPause(gap)
	}
}

// beat exchanges with every neighbour, and with a seed that is not known: groups
// that do not know each other would else stay apart, after a start together or
// after a long cut.
func (l *Loop) beat(ctx context.Context) {
	l.exchangeAll(ctx, l.Table.Neighbours(l.Neighbours))
	if !l.Bridges() {
		return
	}
	l.beatSeed(ctx)
	if l.beaten++; l.beaten%remoteBeats == 0 {
		l.beatRemote(ctx)
	}
}

// beatRemote exchanges with a random daemon of another data centre: a
// configuration passes that way when the own platform can't be reached.
func (l *Loop) beatRemote(ctx context.Context) {
	if list := l.Remote(); len(list) > 0 {
		l.beatAddress(ctx, list[rand.IntN(len(list))])
	}
}

// spread tells changes to one random member: from there they go on, and so round the ring in few
// steps. The others hear of them with the next beats.
func (l *Loop) spread(ctx context.Context) {
	others := l.Table.Neighbours(math.MaxInt)
	if len(others) > 0 {
		l.exchange(ctx, others[rand.IntN(len(others))])
	}
}

func (l *Loop) exchangeAll(ctx context.Context, list []Member) {
	done := make(chan struct{}, len(list))
	for _, m := range list {
		go func() {
			l.exchange(ctx, m)
			done <- struct{}{}
		}()
	}
	for range list {
		<-done
	}
}

// beatSeed exchanges with a random one of the seeds that are not known to serve.
func (l *Loop) beatSeed(ctx context.Context) {
	seeds := slices.DeleteFunc(l.Seeds(), l.Table.knows)
	if len(seeds) == 0 {
		return
	}
	l.beatAddress(ctx, seeds[rand.IntN(len(seeds))])
}

func (l *Loop) beatAddress(ctx context.Context, address string) {
	answer, err := l.call(ctx, address)
	if err != nil {
		l.Log.V(1).Info("Daemon does not answer", "address", address, "err", err.Error())
		return
	}
	l.take(answer, address)
}

func (l *Loop) probe(ctx context.Context, name string) {
	m, ok := l.Table.Find(name)
	if ok && m.State() != Dead {
		l.exchange(ctx, m)
	}
}

func (l *Loop) exchange(ctx context.Context, m Member) {
	answer, err := l.call(ctx, m.Address())
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		l.Table.Exchanged(m.Name(), clock.Now())
		l.take(answer, m.Address())
		return
	}
	if refused(err) {
		l.Table.Gone(m.Name(), clock.Now())
		l.Log.Info("Member is gone", "member", m.Name(), "err", err.Error())
		return
	}
	l.Table.Missed(m.Name(), clock.Now())
	l.Log.Info("Member does not answer", "member", m.Name(), "err", err.Error())
}

func (l *Loop) call(ctx context.Context, address string) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	return l.Dial(address).Exchange(ctx, l.withClaims(l.Heartbeat(false), address))
}

// refused tells whether no process listens at the address. gRPC keeps of a
// refused connection only the system's text, inside the status message.
func refused(err error) bool {
	s, ok := status.FromError(err)
	return ok && s.Code() == codes.Unavailable && strings.Contains(s.Message(), syscall.ECONNREFUSED.Error())
}

// Heartbeat returns what this daemon tells; full tells its whole view. It names
// this daemon whole, since the peer may not know it yet.
func (l *Loop) Heartbeat(full bool) *wire.Heartbeat {
	view := l.Table.view()
	h := &wire.Heartbeat{From: l.Table.Self().Wire(), View: view.digest, Members: uint32(view.living), Full: full}
	list := l.Table.News(maxNews)
	if full {
		list = l.Table.All()
	}
	for _, m := range list {
		h.News = append(h.News, m.Wire())
	}
	l.Extras.Fill(h)
	return h
}

// Answer takes a heartbeat in and returns this daemon's own, whole where the peer needs that.
func (l *Loop) Answer(h *wire.Heartbeat) *wire.Heartbeat {
	from := FromWire(h.GetFrom())
	before, _ := l.Table.Find(from.name)
	l.take(h, from.address)
	l.Table.Exchanged(from.name, clock.Now())
	_, known := l.Table.Find(from.name)
	theirs := view{digest: h.GetView(), living: int(h.GetMembers())}
	whole := l.disagreements.note(before, from, theirs, l.Table.view())
	return l.withClaims(l.Heartbeat(known && whole), from.address)
}

// withClaims adds to a heartbeat what the daemon at the address must hear of itself.
func (l *Loop) withClaims(h *wire.Heartbeat, address string) *wire.Heartbeat {
	for _, m := range l.Table.Claims(address) {
		h.News = append(h.News, m.Wire())
	}
	return h
}

func (l *Loop) take(h *wire.Heartbeat, address string) {
	told := []Member{FromWire(h.GetFrom())}
	for _, m := range h.GetNews() {
		told = append(told, FromWire(m))
	}
	l.Table.Merge(told, clock.Now())
	l.Extras.Heard(h, address)
}
