// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"math"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/daemon"
	"cairnwick.example/engine"
	"cairnwick.example/forward"
	"cairnwick.example/logging"
	"cairnwick.example/member"
	"cairnwick.example/placement"
	"cairnwick.example/quarantine"
	"cairnwick.example/ratelimit"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"google.golang.org/grpc/credentials/insecure"
)

// Node is the gateway process of one box. Set the exported fields before Run.
type Node struct {
	Settings Settings
	Source   Source
	Decoder  Decoder
	Protocol forward.Protocol
	Control  placement.Control
	Log      logr.Logger
	Lines    *logging.BoundedWriter // the output of Log
	Dial     engine.DialFunc        // opens connections to endpoints; nil: the default dialer
	Profile  bool                   // whether the metrics address also serves pprof profiles

	current    atomic.Pointer[Settings] // replaced by Reload
	view       *topology.View
	items      *share.Table
	state      *state
	fences     *placement.Fences
	peers      *peers
	shared     *share.Server
	messages   *daemon.MessageCounter
	gateway    *forward.Gateway
	loader     *placement.Loader
	usage      *usage
	loadCosts  loadCosts
	spending   *spending
	outbox     *outbox
	quarantine requestQuarantine
	limits     *limits
	origins    *origins

	departures departures
	relay      *relay
	tunnels    tunnels
	gate       *daemon.AcceptGate

	configFreshness   configFreshness
	leaving           atomic.Bool
	fresh             freshness
	covered           coverage
	pauses            pauses
	sourceCalls       sourceCalls
	ignored           ignored
	checkpoints       checkpoints
	sourceUnavailable atomic.Bool
	listedRevision    atomic.Uint64 // the Revision of the last list of endpoints
}

const (
	memoryLimitFraction = 0.7 // fraction of the box's memory that is the garbage collector's soft limit
	// heldMemoryDivisor is the divisor that gives the share of the box's memory that request bodies and responses may
	// use. The collector lets the heap double between two runs, so a quarter of live data takes up to half of the
	// memory; the rest is left to connections, facts and metrics.
	heldMemoryDivisor     = 4
	descriptorsPerRequest = 4 // file descriptors per request in flight: the caller's, the endpoint's, and spare ones
)

// build creates the components and connects them.
func (n *Node) build() {
	s := n.Settings
	n.current.Store(&n.Settings)
	n.view = topology.NewView()
	n.items = share.NewTable()
	if n.fences == nil {
		n.fences = placement.NewFences()
	}
	n.state = &state{view: n.view, table: n.items, decoder: n.Decoder, fences: n.fences, log: n.Log}
	n.items.Prepare, n.items.OnChange = n.state.prepare, n.state.apply
	n.items.HasEnded, n.items.IsSuperseded = n.hasEnded, n.isSuperseded
	n.items.IsEquivalent, n.items.ResolveRollback = n.isSame, n.outlives
	n.items.OnIgnored = n.countIgnored
	n.messages = &daemon.MessageCounter{Kind: n.messageKind, Near: func(ip string) (bool, bool) { return n.peers.isNear(ip) }}
	n.peers = n.buildPeers()
	n.shared = &share.Server{Table: n.items, DataCentre: s.DataCentre, ReadStatus: n.status}
	n.usage = newUsage(n)
	n.spending = newSpending(n)
	n.outbox = newOutbox(n)
	n.quarantine = requestQuarantine{node: n}
	n.state.disputed, n.state.quarantined = n.quarantine.dispute, func(c quarantine.Fingerprint) { n.gateway.CancelQuarantined(c) }
	n.departures = departures{node: n}
	n.limits = newLimits(n)
	n.origins = newOrigins(n)
	n.relay = newRelay(n)
	n.tunnels = tunnels{node: n, most: int64(max(s.Limits.Descriptors/tunnelDescriptorsDivisor, minTunnels))}
	n.state.limits = n.limits
	n.loader = &placement.Loader{
		Box:         s.Box,
		View:        n.view,
		Control:     observedControl{Control: n.Control, failed: func(e *topology.Endpoint) { n.gateway.SuspectLinks(e) }},
		Limits:      func() placement.RateLimits { return n.current.Load().Rate },
		Log:         n.Log,
		Fences:      n.fences,
		Lease:       func() time.Duration { return n.current.Load().Bounds.Lease },
		Leaders:     func() int { return len(n.peers.clusterView().centres) },
		Owns:        n.owns,
		AskToResign: n.peers.requestHandover,
		HasContact:  n.peers.hasContact,
		Headroom:    n.room,
		PrefillTime: func(tokens int) time.Duration { return n.gateway.PromptReadTime(tokens) },
		Publish: func(endpoint string, version uint64, held map[topology.Adapter]topology.AdapterState) {
			n.state.publish(s.DataCentre, endpoint, version, held)
		},
	}
	n.loader.Init()
	n.gateway = &forward.Gateway{
		DataCentre:     s.DataCentre,
		View:           n.view,
		Protocol:       n.Protocol,
		Placer:         placer{node: n},
		Observer:       n.usage,
		Admission:      admission{node: n},
		Quarantine:     n.quarantine,
		Limits:         n.limits,
		Origins:        n.origins,
		Boxes:          func() int { return n.peers.budgetBoxes(clock.Now()) },
		LoadCost:       func(centre string) (time.Duration, bool) { return n.loadCosts.get(centre, clock.Now()) },
		Unreachable:    func(centre string) bool { return n.peers.clusterView().unreachable[centre] },
		ViewDelay:      n.behind,
		RetryLimits:    func() forward.RetryLimits { return n.current.Load().Budget },
		ReadDelay:      func() time.Duration { return n.gate.MeanDelay() },
		OnDraining:     n.departures.observe,
		Dial:           n.Dial,
		Relay:          n.relay,
		OnLinksChanged: n.reportLinks,
		MaxInFlight:    max(s.Limits.Descriptors, descriptorsPerRequest*64) / descriptorsPerRequest,
		MaxHeldBytes:   int64(s.Limits.MemoryMB) << 20 / heldMemoryDivisor,
		Log:            n.Log,
		LogBacklogged:  n.Lines.Backlogged,
		Stats:          forward.NewStats(),
	}
	n.gate = &daemon.AcceptGate{Full: n.gateway.IsFull, Alone: n.peers.isAlone, Log: n.Log}
}

// Reload applies new settings: seeds, bounds and limits. The box keeps the name and the addresses that it started
// with.
func (n *Node) Reload(s Settings) {
	n.current.Store(&s)
	n.Log.Info("Settings reloaded", "seeds", len(s.Seeds))
}

func (n *Node) buildPeers() *peers {
	s := n.Settings
	d := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}
	p := &peers{
		box:          s.Box,
		centre:       s.DataCentre,
		dialer:       &daemon.Dialer{Credentials: insecure.NewCredentials(), Dial: d.DialContext, SilenceTimeout: connSilenceLimit, Messages: n.messages},
		items:        n.items,
		log:          n.Log,
		started:      clock.Now(),
		readsSource:  n.readsSource,
		seeds:        func() []string { return otherSeeds(n.current.Load().Seeds, s.Peers) },
		maxStaleness: n.behind,
		checkpoints:  &n.checkpoints,
		onStatus:     n.extendCoverage,
		sentBy:       n.pauses.sentBy,
	}
	p.lastData = func(address string) time.Time { return p.dialer.LastReceived(address) }
	self := member.New(s.Box, s.Peers, roleBox, s.DataCentre, uint64(time.Now().UnixMicro())).
		WithCapacity(int(s.Limits.Cores * 1000))
	p.table = member.NewTable(self, member.TableOptions{SuspectTimeout: suspectTimeout, DeadRetention: deadRetention, FreshFor: exchangeFreshness, AllDataCentres: true})
	p.loop = &member.HeartbeatLoop{
		Table:          p.table,
		Dial:           p.dialer.Peer,
		Seeds:          p.seeds,
		IsBridge:       func() bool { return true },
		RemotePeers:    p.deadAddresses,
		Payload:        noPayload{},
		Log:            n.Log,
		Interval:       heartbeatInterval,
		Timeout:        heartbeatInterval,
		PauseLimit:     maxHeartbeatGap,
		NeighbourCount: heartbeatNeighbours,
	}
	return p
}

// noPayload adds nothing to heartbeats: facts are sent over streams.
type noPayload struct{}

// Attach implements member.PayloadHandler.
func (noPayload) Attach(*wire.Heartbeat) {}

// Receive implements member.PayloadHandler.
func (noPayload) Receive(*wire.Heartbeat, string) {}

// owns reports whether this box is the one that issues commands to an endpoint, and from when on.
func (n *Node) owns(e *topology.Endpoint, now time.Time) (bool, time.Time) {
	return n.peers.leads(e.DataCentre(), n.current.Load().Bounds.Lease, now)
}

// HandleNotice processes what an endpoint announces about itself, draining or a back-off, in the response to a command
// or a status query. Call it only while Run serves.
func (n *Node) HandleNotice(endpoint string, said forward.Notice) {
	n.gateway.ObserveNotice(endpoint, said)
}

// room returns an endpoint's remaining rate limit, which the loader uses to decide where to load adapters. An endpoint
// that asked this box for a back-off counts as saturated: it likely asks other boxes for one too, and would reject
// requests for the adapter.
func (n *Node) room(endpoint string, now time.Time) ratelimit.Headroom {
	r := n.limits.room(endpoint, now)
	if !r.Limited && n.gateway.BackoffRemaining(endpoint, now) > 0 {
		return ratelimit.Headroom{Limited: true}
	}
	return r
}

// heapLimit returns the garbage collector's soft limit in bytes. A limit of zero would have it run all the time.
func (l Limits) heapLimit() int64 {
	if l.MemoryMB <= 0 {
		return math.MaxInt64 // no limit
	}
	return int64(float64(l.MemoryMB) * memoryLimitFraction * (1 << 20))
}

// task runs until its context ends.
type task func(context.Context) error

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(n.Settings.Limits.heapLimit())
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
	drained, endDrain := context.WithCancel(context.Background()) // ends once the requests of callers have
	defer endDrain()
	server := daemon.NewServer(insecure.NewCredentials(), n.messages, endCallsWith(inner)...)
	wire.RegisterPeerServer(server, peerServer{node: n})
	wire.RegisterShareServer(server, shareServer{node: n})
	drainTime := n.Settings.Bounds.Grace - leaveNoticeTime - shutdownMargin // how long requests in flight have to finish during shutdown
	tasks := []task{
		n.peers.loop.Run, n.peers.followAll, n.usage.run, n.loader.Run, n.watchLeadership, n.gateway.Run, n.logTraffic,
		n.pauses.run, n.spending.run, n.spending.requestLoans, n.outbox.run, n.limits.run, n.gate.Run,
		n.reader(Configuration).run, n.reader(Endpoints).run,
		func(ctx context.Context) error {
			return servePeers(ctx, server, listeners.peers, func() {
				n.tunnels.awaitEnd(drainTime)
				<-drained.Done()
			})
		},
		func(context.Context) error { return n.origins.sender.run(drained) },
		func(ctx context.Context) error {
			defer endDrain()
			return httpTask(n.gate.Handler(n.gateway), n.limitSendBuffers(n.gate.Listen(listeners.callers)), drainTime, max(n.Settings.Limits.Descriptors/callerConnDivisor, maxAuxiliaryConns))(ctx)
		},
		httpTask(n.readinessHandler(), listeners.ready, drainTime, maxAuxiliaryConns),
		httpTask(n.metrics(), listeners.metrics, drainTime, maxAuxiliaryConns),
	}
	err = n.runAll(ctx, inner, end, tasks)
	n.peers.dialer.Close()
	n.relay.dialer.Close()
	n.Log.Info("Box stopped")
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
		leads:        func() bool { return n.peers.clusterView().hops == 0 && clock.Since(n.peers.started) > initialViewDelay },
		log:          n.Log,
		sourceAges:   n.sourceAges,
		maxStaleness: n.behind,
		unreachable:  &n.sourceUnavailable,
		entryLapse:   func() time.Duration { return n.current.Load().Bounds.RegistrationTTL },
		onRead:       func(w readResult) { n.recordRead(c, w) },
		onList:       func(revision Revision) { n.recordList(c, revision) },
		onCall:       n.sourceCalls.count,
		onRestore:    func() { n.ignored.restores.Add(1) },
		sentBy:       n.pauses.sentBy,
	}
}
