// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/daemon"
	"cairnwick.example/forward"
	"cairnwick.example/logging"
	"cairnwick.example/member"
	"cairnwick.example/placement"
	"cairnwick.example/ratelimit"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"google.golang.org/grpc/credentials/insecure"
)

// Node is one box. Set the exported fields before Run.
type Node struct {
	Settings Settings
	Source   Source
	Decoder  Decoder
	Protocol forward.Protocol
	Control  placement.Control
	Log      logr.Logger
	Lines    *logging.Bounded // what Log writes to
	Profile  bool             // whether the metrics address serves profiles of the process

	current  atomic.Pointer[Settings] // in force; replaced by Reload
	view     *topology.View
	items    *share.Table
	state    *state
	peers    *peers
	shared   *share.Server
	messages *daemon.Messages
	gateway  *forward.Gateway
	loader   *placement.Loader
	usage    *usage
	levels   levels
	spending *spending
	outbox   *outbox
	kept     quarantined
	limits   *limits

	departures departures

	configFreshness configFreshness
	leaving         atomic.Bool
	fresh           freshness
	calls           calls
	ignored         ignored
	checkpoints     checkpoints
	away            atomic.Bool   // whether the source does not answer
	listed          atomic.Uint64 // the Revision of the last list of endpoints
}

const (
	memoryPart = 0.7 // of the box's memory that the garbage collector aims below
	heldPart   = 4   // descriptors for one held request: its caller's, the endpoint's, spare
)

// build makes the parts and ties them together.
func (n *Node) build() {
	s := n.Settings
	n.current.Store(&n.Settings)
	n.view = topology.NewView()
	n.items = share.NewTable()
	fences := &placement.Fences{Box: s.Number}
	n.state = &state{view: n.view, table: n.items, decoder: n.Decoder, fences: fences, log: n.Log}
	n.items.OnChange = n.state.apply
	n.items.HasEnded, n.items.IsSuperseded = n.hasEnded, n.isSuperseded
	n.items.Same, n.items.Outlives = n.isSame, n.outlives
	n.items.OnIgnored = n.noteIgnored
	n.messages = &daemon.Messages{Kind: n.messageKind, Near: func(ip string) (bool, bool) { return n.peers.near(ip) }}
	n.peers = n.buildPeers()
	n.shared = &share.Server{Table: n.items, DataCentre: s.DataCentre, Reading: n.status}
	n.usage = newUsage(n)
	n.spending = newSpending(n)
	n.outbox = newOutbox(n)
	n.kept = quarantined{node: n}
	n.departures = departures{node: n}
	n.limits = newLimits(n)
	n.state.limits = n.limits
	n.loader = &placement.Loader{
		Box:         s.Box,
		View:        n.view,
		Control:     n.Control,
		Limits:      func() placement.RateLimits { return n.current.Load().Rate },
		Log:         n.Log,
		Fences:      fences,
		Lease:       func() time.Duration { return n.current.Load().Bounds.Lease },
		Leaders:     func() int { return len(n.peers.clusterView().centres) },
		Owns:        n.owns,
		AskToResign: n.peers.requestHandover,
		Room:        n.room,
		Reads:       func(tokens int) time.Duration { return n.gateway.Reads(tokens) },
		Publish: func(endpoint string, version uint64, held map[topology.Adapter]topology.Held) {
			n.state.publish(s.DataCentre, endpoint, version, held)
		},
	}
	n.loader.Init()
	n.gateway = &forward.Gateway{
		DataCentre: s.DataCentre,
		View:       n.view,
		Protocol:   n.Protocol,
		Placer:     placer{node: n},
		Observer:   n.usage,
		Admission:  admission{node: n},
		Quarantine: n.kept,
		Limits:     n.limits,
		Boxes:      func() int { return n.peers.budgetBoxes(clock.Now()) },
		Level:      func(centre string) (time.Duration, bool) { return n.levels.of(centre, clock.Now()) },
		Cut:        func(centre string) bool { return n.peers.clusterView().silent[centre] },
		Budget:     func() forward.BudgetLimits { return n.current.Load().Budget },
		Leaving:    n.departures.observe,
		MostHeld:   max(s.Limits.Descriptors, heldPart*64) / heldPart,
		Log:        n.Log,
		Pressed:    n.Lines.Pressed,
		Stats:      forward.NewStats(),
	}
}

// Reload brings new settings into force: seeds, bounds and limits. The name and the
// addresses of a box stay those that it started with.
func (n *Node) Reload(s Settings) {
	n.current.Store(&s)
	n.Log.Info("Settings are in force", "seeds", len(s.Seeds))
}

func (n *Node) buildPeers() *peers {
	s := n.Settings
	d := &net.Dialer{Timeout: peerDial, KeepAlive: -1}
	p := &peers{
		box:     s.Box,
		centre:  s.DataCentre,
		dialer:  &daemon.Dialer{Credentials: insecure.NewCredentials(), Dial: d.DialContext, SilentFor: silentFor, Messages: n.messages},
		items:   n.items,
		log:     n.Log,
		started: clock.Now(),
		reads:   n.readsSource,
		seeds:   func() []string { return otherSeeds(n.current.Load().Seeds, s.Peers) },
		behind:  n.behind,
		known:   &n.checkpoints,
	}
	self := member.New(s.Box, s.Peers, roleBox, s.DataCentre, uint64(time.Now().UnixMicro())).
		WithCapacity(int(s.Limits.Cores * 1000))
	p.table = member.NewTable(self, member.Limits{SuspectFor: suspectFor, ForgetDead: forgetDead, Fresh: freshFor, Wide: true})
	p.loop = &member.Loop{
		Table:      p.table,
		Dial:       p.dialer.Peer,
		Seeds:      p.seeds,
		Bridges:    func() bool { return true },
		Remote:     p.lost,
		Extras:     noExtras{},
		Log:        n.Log,
		Interval:   heartbeat,
		Timeout:    heartbeat,
		PauseLimit: pauseLimit,
		Neighbours: neighbours,
	}
	return p
}

// noExtras adds nothing to heartbeats: facts travel by streams.
type noExtras struct{}

// Fill implements member.Extras.
func (noExtras) Fill(*wire.Heartbeat) {}

// Heard implements member.Extras.
func (noExtras) Heard(*wire.Heartbeat, string) {}

// owns reports whether this box gives orders to an endpoint.
func (n *Node) owns(e *topology.Endpoint, now time.Time) (bool, time.Time) {
	return n.peers.leads(e.DataCentre(), n.current.Load().Bounds.Lease, now)
}

// HearNotice takes in what an endpoint says of itself in an answer to an order or a report. Call it only
// while Run serves.
func (n *Node) HearNotice(endpoint string, said forward.Notice) { n.gateway.HearNotice(endpoint, said) }

// room returns what an endpoint takes, for the one that decides where adapters are loaded. One that asked this
// box for a back-off is as good as one that gets all that it takes: what it asks of one box it likely asks of
// others, and a request that needs an adapter there would be turned away.
func (n *Node) room(endpoint string, now time.Time) ratelimit.Room {
	r := n.limits.room(endpoint, now)
	if !r.Limited && n.gateway.BackoffLeft(endpoint, now) > 0 {
		return ratelimit.Room{Limited: true}
	}
	return r
}

// task is something that runs until its context ends.
type task func(context.Context) error

// Run serves until ctx ends, then leaves in order.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(float64(n.Settings.Limits.MemoryMB) * memoryPart * (1 << 20)))
	n.build()
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	if err := clock.Check(); err != nil {
		n.Log.Info("Suspensions of the machine are not counted", "err", err.Error())
	}
	n.Log.Info("Box starts", "callers", n.Settings.Callers, "peers", n.Settings.Peers)
	inner, end := context.WithCancel(context.Background())
	defer end()
	server := daemon.NewServer(insecure.NewCredentials(), n.messages)
	wire.RegisterPeerServer(server, peerServer{node: n})
	wire.RegisterShareServer(server, shareServer{node: n})
	held := n.Settings.Bounds.Grace - noticeFor - endMargin // what is held when the end begins has so long
	tasks := []task{
		n.peers.loop.Run, n.peers.followAll, n.usage.run, n.loader.Run, n.watchLeadership, n.gateway.Run, n.logTraffic,
		n.spending.run, n.spending.borrow, n.outbox.run, n.limits.run,
		n.reader(Configuration).run, n.reader(Endpoints).run,
		func(ctx context.Context) error { return servePeers(ctx, server, listeners.peers) },
		httpTask(n.gateway, listeners.callers, held, max(n.Settings.Limits.Descriptors/callerPart, mostAsking)),
		httpTask(n.readiness(), listeners.ready, held, mostAsking),
		httpTask(n.metrics(), listeners.metrics, held, mostAsking),
	}
	err = n.runAll(ctx, inner, end, tasks)
	n.peers.dialer.Close()
	n.Log.Info("Box ends")
	return err
}

// runAll runs the tasks until ctx ends or one of them fails.
func (n *Node) runAll(ctx, inner context.Context, end context.CancelFunc, tasks []task) error {
	ended := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() { ended <- t(inner) }()
	}
	running := len(tasks)
	var err error
	select {
	case <-ctx.Done():
		n.leave()
	case err = <-ended:
		running--
	}
	end()
	for range running {
		if e := <-ended; e != nil && err == nil {
			err = e
		}
	}
	return err
}

func (n *Node) reader(c Collection) *reader {
	return &reader{
		collection:   c,
		source:       n.Source,
		decoder:      n.Decoder,
		table:        n.items,
		mustRead:     func() bool { return n.mustRead(c) },
		checkpoint:   func() checkpoint { return n.checkpoints.of(c) },
		leads:        func() bool { return n.peers.clusterView().steps == 0 && clock.Since(n.peers.started) > settleFor },
		log:          n.Log,
		sourceAges:   n.sourceAges,
		maxStaleness: n.behind,
		unreachable:  &n.away,
		entryLapse:   func() time.Duration { return n.current.Load().Bounds.Lapse },
		onRead:       func(w readResult) { n.recordRead(c, w) },
		onList:       func(revision Revision) { n.recordList(c, revision) },
		onCall:       n.calls.count,
		onRestore:    func() { n.ignored.restores.Add(1) },
	}
}
