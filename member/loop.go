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

// Peer exchanges heartbeats with one other daemon.
type Peer interface {
	// Exchange sends a heartbeat and returns the peer's.
	Exchange(ctx context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error)
}

// PayloadHandler adds data other than members to heartbeats, such as heads of configuration.
type PayloadHandler interface {
	// Attach adds data to a heartbeat that is about to be sent.
	Attach(h *wire.Heartbeat)
	// Receive processes the data in a heartbeat from the peer at address.
	Receive(h *wire.Heartbeat, address string)
}

const (
	maxUpdates   = 8 // members in a heartbeat without the full view
	remoteRounds = 2 // rounds of a bridge per exchange with another data centre

	// The first rounds are faster, so that daemons that start together discover each other quickly;
	// until then they disagree on which daemon is responsible for what.
	fastRounds = 10
	// initialSeeds is how many seeds a daemon contacts at once when it starts: with one at a time, it may take some
	// rounds to find one that is up, and until then it knows nothing that only other daemons know.
	initialSeeds    = 3
	fastRoundFactor = 3

	// minGossipInterval is the minimum time between two exchanges with a random member that spread changes.
	// It batches the changes when dozens of members join or leave together.
	minGossipInterval = 50 * time.Millisecond
)

// HeartbeatLoop exchanges heartbeats with the ring neighbours of Table. Set every field before Run.
type HeartbeatLoop struct {
	Table          *Table
	Dial           func(address string) Peer
	Seeds          func() []string // addresses of daemons of the data centre, from the platform's list
	IsBridge       func() bool     // whether to contact unknown seeds and RemotePeers too
	RemotePeers    func() []string // addresses of daemons of other data centres
	Payload        PayloadHandler
	Log            logr.Logger
	Interval       time.Duration // between rounds; positive
	Timeout        time.Duration // of one exchange
	PauseLimit     time.Duration // a gap between rounds of at least this length is a pause of the process
	NeighbourCount int           // ring neighbours to exchange with in each round
	OnPause        func(gap time.Duration)

	viewMismatches viewMismatches

	probes        chan string // names of members to probe
	notifications chan struct{}
	rounds        int // as a bridge
	once          sync.Once
}

func (l *HeartbeatLoop) init() {
	l.once.Do(func() {
		l.probes = make(chan string, 16)
		l.notifications = make(chan struct{}, 1)
	})
}

// Probe requests an immediate exchange with a member that another component could not reach.
func (l *HeartbeatLoop) Probe(name string) {
	l.init()
	select {
	case l.probes <- name:
	default: // the queue is full
	}
}

// NotifyNeighbours requests an immediate exchange with the neighbours, because Payload has new data.
func (l *HeartbeatLoop) NotifyNeighbours() {
	l.init()
	select {
	case l.notifications <- struct{}{}:
	default: // a request is pending
	}
}

// Run exchanges heartbeats until ctx ends. A call of Table.Leave beforehand announces the departure.
func (l *HeartbeatLoop) Run(ctx context.Context) error {
	l.init()
	tick := time.NewTicker(l.Interval / fastRoundFactor)
	defer tick.Stop()
	last := clock.Now()
	fastRoundsLeft := fastRounds
	l.contactSeeds(ctx)
	l.runRound(ctx)
	gossipedVersion := l.Table.Version()
	var gossipDelay <-chan time.Time // nil if gossip is allowed now
	for ctx.Err() == nil {
		changed := l.Table.Changed()
		if v := l.Table.Version(); gossipDelay == nil && v != gossipedVersion { // includes changes from heartbeats
			gossipedVersion = v
			l.gossip(ctx)
			gossipDelay = time.After(minGossipInterval)
			continue
		}
		if gossipDelay != nil {
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
		case <-gossipDelay:
			gossipDelay = nil
		case <-tick.C:
			if fastRoundsLeft--; fastRoundsLeft == 0 {
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

// checkPause invalidates the view if this process was paused.
func (l *HeartbeatLoop) checkPause(gap time.Duration) {
	if gap < l.PauseLimit {
		return
	}
	l.Log.Info("Process was paused; membership view is stale until the next exchange", "gap", gap.String())
	l.Table.RecordPause(clock.Now())
	if l.OnPause != nil {
		l.OnPause(gap)
	}
}

// runRound exchanges heartbeats with every neighbour and, on a bridge, with an unknown seed. Otherwise groups
// that do not know each other, after a simultaneous start or a long partition, would never merge.
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

// exchangeWithRemote exchanges heartbeats with a random daemon of another data centre, so that
// configuration arrives even if the platform of this data centre is unreachable.
func (l *HeartbeatLoop) exchangeWithRemote(ctx context.Context) {
	if list := l.RemotePeers(); len(list) > 0 {
		l.exchangeWithAddress(ctx, list[rand.IntN(len(list))])
	}
}

// gossip sends changes to one random member, which passes them on, so that they cross the ring in
// few steps. The other members receive them in the next rounds.
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

// contactSeeds exchanges heartbeats with some random seeds at once, and returns after the first answer or when all have
// failed.
func (l *HeartbeatLoop) contactSeeds(ctx context.Context) {
	seeds := slices.DeleteFunc(l.Seeds(), l.Table.isLiveAddress)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	seeds = seeds[:min(len(seeds), initialSeeds)]
	done := make(chan struct{}, len(seeds))
	for _, address := range seeds {
		go func() {
			l.exchangeWithAddress(ctx, address)
			done <- struct{}{}
		}()
	}
	for range seeds {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
		if len(l.Table.Members()) > 1 {
			return
		}
	}
}

// exchangeWithSeed exchanges heartbeats with a random seed that is not a live member of the table.
func (l *HeartbeatLoop) exchangeWithSeed(ctx context.Context) {
	seeds := slices.DeleteFunc(l.Seeds(), l.Table.isLiveAddress)
	if len(seeds) == 0 {
		return
	}
	l.exchangeWithAddress(ctx, seeds[rand.IntN(len(seeds))])
}

func (l *HeartbeatLoop) exchangeWithAddress(ctx context.Context, address string) {
	reply, err := l.call(ctx, address)
	if err != nil {
		l.Log.V(1).Info("Daemon does not answer", "address", address, "err", err.Error())
		return
	}
	l.receive(reply, address)
}

func (l *HeartbeatLoop) probe(ctx context.Context, name string) {
	m, ok := l.Table.Find(name)
	if ok && m.State() != Dead {
		l.exchange(ctx, m)
	}
}

func (l *HeartbeatLoop) exchange(ctx context.Context, m Member) {
	reply, err := l.call(ctx, m.Address())
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		l.Table.RecordExchange(m.Name(), clock.Now())
		l.receive(reply, m.Address())
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

// connectionRefused reports whether no process listens at the address. For a refused connection,
// gRPC retains only the system's error text, inside the status message.
func connectionRefused(err error) bool {
	s, ok := status.FromError(err)
	return ok && s.Code() == codes.Unavailable && strings.Contains(s.Message(), syscall.ECONNREFUSED.Error())
}

// NewHeartbeat returns a heartbeat with the next updates or, if full, with the complete view. It contains
// the complete own entry, since the peer may not know this daemon yet.
func (l *HeartbeatLoop) NewHeartbeat(full bool) *wire.Heartbeat {
	summary := l.Table.viewSummary()
	h := &wire.Heartbeat{From: l.Table.Self().Wire(), View: summary.digest, Members: uint32(summary.liveCount), Full: full}
	updates := l.Table.NextUpdates(maxUpdates)
	if full {
		updates = l.Table.Members()
	}
	for _, m := range updates {
		h.News = append(h.News, m.Wire())
	}
	l.Payload.Attach(h)
	return h
}

// HandleHeartbeat processes a peer's heartbeat and returns the reply, with the full view if the peer needs it.
func (l *HeartbeatLoop) HandleHeartbeat(h *wire.Heartbeat) *wire.Heartbeat {
	from := FromWire(h.GetFrom())
	before, _ := l.Table.Find(from.name)
	l.receive(h, from.address)
	l.Table.RecordExchange(from.name, clock.Now())
	_, known := l.Table.Find(from.name)
	remote := viewSummary{digest: h.GetView(), liveCount: int(h.GetMembers())}
	full := l.viewMismatches.record(before, from, remote, l.Table.viewSummary())
	return l.withClaims(l.NewHeartbeat(known && full), from.address)
}

// withClaims adds the claims about the daemon at the address to a heartbeat for it.
func (l *HeartbeatLoop) withClaims(h *wire.Heartbeat, address string) *wire.Heartbeat {
	for _, m := range l.Table.ClaimsAbout(address) {
		h.News = append(h.News, m.Wire())
	}
	return h
}

func (l *HeartbeatLoop) receive(h *wire.Heartbeat, address string) {
	received := []Member{FromWire(h.GetFrom())}
	for _, m := range h.GetNews() {
		received = append(received, FromWire(m))
	}
	l.Table.Merge(received, clock.Now())
	l.Payload.Receive(h, address)
}
