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
type PayloadHandler interface {
	// Fill adds to a heartbeat that is about to be sent.
	Attach(h *wire.Heartbeat)
	// Heard takes what a heartbeat from the peer at address carried.
	Receive(h *wire.Heartbeat, address string)
}

const (
	maxUpdates   = 8 // members in one heartbeat that is not full
	remoteRounds = 2 // beats of a watcher between two to other data centres

	// The first beats come faster: daemons that start together find each other by them,
	// and until they have nobody knows who does what.
	fastRounds      = 10
	fastRoundFactor = 3 // times as fast

	// spreadPause is the least time between two tellings of changes to a random member: where
	// dozens come or go together, what comes within it is told at once.
	minGossipInterval = 50 * time.Millisecond
)

// Loop beats to the ring neighbours of Table. Set every field before Run.
type HeartbeatLoop struct {
	Table          *Table
	Dial           func(address string) Peer
	Seeds          func() []string // addresses of daemons of the data centre, from the platform's list
	IsBridge       func() bool     // whether it also exchanges with seeds that it does not know, and with Remote
	RemotePeers    func() []string // addresses of daemons of other data centres
	Payload        PayloadHandler
	Log            logr.Logger
	Interval       time.Duration // between beats; positive
	Timeout        time.Duration // of one exchange
	PauseLimit     time.Duration // a longer gap between beats is a pause of the process
	NeighbourCount int           // watched at a time
	OnPause        func(gap time.Duration)

	viewMismatches viewMismatches

	probes        chan string // names to probe at once
	notifications chan struct{}
	rounds        int // beats so far
	once          sync.Once
}

func (l *HeartbeatLoop) init() {
	l.once.Do(func() {
		l.probes = make(chan string, 16)
		l.notifications = make(chan struct{}, 1)
	})
}

// Probe asks for an exchange with a member now, because something else could
// not reach it.
func (l *HeartbeatLoop) Probe(name string) {
	l.init()
	select {
	case l.probes <- name:
	default: // enough probes are waiting
	}
}

// Nudge tells the neighbours now what the extras add to heartbeats.
func (l *HeartbeatLoop) NotifyNeighbours() {
	l.init()
	select {
	case l.notifications <- struct{}{}:
	default: // one is waiting
	}
}

// Run beats until ctx ends. When it ends the table has told its news, a leave
// too, to the neighbours.
func (l *HeartbeatLoop) Run(ctx context.Context) error {
	l.init()
	tick := time.NewTicker(l.Interval / fastRoundFactor)
	defer tick.Stop()
	last := clock.Now()
	quick := fastRounds
	l.runRound(ctx)
	spreadVersion := l.Table.Version() // of the view whose changes were spread
	var paused <-chan time.Time        // until then no change is spread; nil: one may be
	for ctx.Err() == nil {
		changed := l.Table.Changed()
		if v := l.Table.Version(); paused == nil && v != spreadVersion { // also what a beat brought
			spreadVersion = v
			l.gossip(ctx)
			paused = time.After(minGossipInterval)
			continue
		}
		if paused != nil {
			changed = nil
		}
		select {
		case <-ctx.Done():
		case name := <-l.probes:
			l.probe(ctx, name)
		case <-l.notifications:
			l.exchangeAll(ctx, l.Table.Neighbours(l.NeighbourCount))
			l.gossip(ctx)
		case <-changed:
		case <-paused:
			paused = nil
		case <-tick.C:
			if quick--; quick == 0 {
				tick.Reset(l.Interval)
			}
			l.checkPause(clock.Since(last))
			last = clock.Now()
			l.Table.Tick(last)
			l.runRound(ctx)
		}
	}
	return nil
}

// watchPause distrusts the view when this process did not run for a while.
func (l *HeartbeatLoop) checkPause(gap time.Duration) {
	if gap < l.PauseLimit {
		return
	}
	l.Log.Info("Process was paused; what it knew is distrusted", "gap", gap.String())
	l.Table.RecordPause(clock.Now())
	if l.OnPause != nil {
		l.OnPause(gap)
	}
}

// beat exchanges with every neighbour, and with a seed that is not known: groups
// that do not know each other would else stay apart, after a start together or
// after a long cut.
func (l *HeartbeatLoop) runRound(ctx context.Context) {
	l.exchangeAll(ctx, l.Table.Neighbours(l.NeighbourCount))
	if !l.IsBridge() {
		return
	}
	l.exchangeWithSeed(ctx)
	if l.rounds++; l.rounds%remoteRounds == 0 {
		l.exchangeWithRemote(ctx)
	}
}

// beatRemote exchanges with a random daemon of another data centre: a
// configuration passes that way when the own platform can't be reached.
func (l *HeartbeatLoop) exchangeWithRemote(ctx context.Context) {
	if list := l.RemotePeers(); len(list) > 0 {
		l.exchangeWithAddress(ctx, list[rand.IntN(len(list))])
	}
}

// spread tells changes to one random member: from there they go on, and so round the ring in few
// steps. The others hear of them with the next beats.
func (l *HeartbeatLoop) gossip(ctx context.Context) {
	others := l.Table.Neighbours(math.MaxInt)
	if len(others) > 0 {
		l.exchange(ctx, others[rand.IntN(len(others))])
	}
}

func (l *HeartbeatLoop) exchangeAll(ctx context.Context, list []Member) {
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
func (l *HeartbeatLoop) exchangeWithSeed(ctx context.Context) {
	seeds := slices.DeleteFunc(l.Seeds(), l.Table.isLiveAddress)
	if len(seeds) == 0 {
		return
	}
	l.exchangeWithAddress(ctx, seeds[rand.IntN(len(seeds))])
}

func (l *HeartbeatLoop) exchangeWithAddress(ctx context.Context, address string) {
	answer, err := l.call(ctx, address)
	if err != nil {
		l.Log.V(1).Info("Daemon does not answer", "address", address, "err", err.Error())
		return
	}
	l.receive(answer, address)
}

func (l *HeartbeatLoop) probe(ctx context.Context, name string) {
	m, ok := l.Table.Find(name)
	if ok && m.State() != Dead {
		l.exchange(ctx, m)
	}
}

func (l *HeartbeatLoop) exchange(ctx context.Context, m Member) {
	answer, err := l.call(ctx, m.Address())
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		l.Table.RecordExchange(m.Name(), clock.Now())
		l.receive(answer, m.Address())
		return
	}
	if connectionRefused(err) {
		l.Table.RecordRefusal(m.Name(), clock.Now())
		l.Log.Info("Member is gone", "member", m.Name(), "err", err.Error())
		return
	}
	l.Table.RecordTimeout(m.Name(), clock.Now())
	l.Log.Info("Member does not answer", "member", m.Name(), "err", err.Error())
}

func (l *HeartbeatLoop) call(ctx context.Context, address string) (*wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	return l.Dial(address).Exchange(ctx, l.withClaims(l.NewHeartbeat(false), address))
}

// refused tells whether no process listens at the address. gRPC keeps of a
// refused connection only the system's text, inside the status message.
func connectionRefused(err error) bool {
	s, ok := status.FromError(err)
	return ok && s.Code() == codes.Unavailable && strings.Contains(s.Message(), syscall.ECONNREFUSED.Error())
}

// Heartbeat returns what this daemon tells; full tells its whole view. It names
// this daemon whole, since the peer may not know it yet.
func (l *HeartbeatLoop) NewHeartbeat(full bool) *wire.Heartbeat {
	view := l.Table.viewSummary()
	h := &wire.Heartbeat{From: l.Table.Self().Wire(), View: view.digest, Members: uint32(view.liveCount), Full: full}
	list := l.Table.NextUpdates(maxUpdates)
	if full {
		list = l.Table.Members()
	}
	for _, m := range list {
		h.News = append(h.News, m.Wire())
	}
	l.Payload.Attach(h)
	return h
}

// Answer takes a heartbeat in and returns this daemon's own, whole where the peer needs that.
func (l *HeartbeatLoop) HandleHeartbeat(h *wire.Heartbeat) *wire.Heartbeat {
	from := FromWire(h.GetFrom())
	before, _ := l.Table.Find(from.name)
	l.receive(h, from.address)
	l.Table.RecordExchange(from.name, clock.Now())
	_, known := l.Table.Find(from.name)
	theirs := viewSummary{digest: h.GetView(), liveCount: int(h.GetMembers())}
	whole := l.viewMismatches.record(before, from, theirs, l.Table.viewSummary())
	return l.withClaims(l.NewHeartbeat(known && whole), from.address)
}

// withClaims adds to a heartbeat what the daemon at the address must hear of itself.
func (l *HeartbeatLoop) withClaims(h *wire.Heartbeat, address string) *wire.Heartbeat {
	for _, m := range l.Table.ClaimsAbout(address) {
		h.News = append(h.News, m.Wire())
	}
	return h
}

func (l *HeartbeatLoop) receive(h *wire.Heartbeat, address string) {
	told := []Member{FromWire(h.GetFrom())}
	for _, m := range h.GetNews() {
		told = append(told, FromWire(m))
	}
	l.Table.Merge(told, clock.Now())
	l.Payload.Receive(h, address)
}
