// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/forward"
	"cairnwick.example/logging"
	"cairnwick.example/member"
	"cairnwick.example/placement"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
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

	current atomic.Pointer[Settings] // in force; replaced by Reload
	view    *topology.View
	items   *share.Table
	state   *state
	peers   *peers
	shared  *share.Server
	gateway *forward.Gateway
	loader  *placement.Loader
	usage   *usage
	levels  levels
	leaving atomic.Bool
	fresh   freshness
	listed  atomic.Uint64 // the source's revision when this box listed the endpoints last
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
	n.items.IsOver = n.isOver
	n.peers = n.buildPeers()
	n.shared = &share.Server{Table: n.items, DataCentre: s.DataCentre, Reading: n.readAgo}
	n.usage = newUsage(n)
	n.loader = &placement.Loader{
		Box:     s.Box,
		View:    n.view,
		Control: n.Control,
		Limits:  func() placement.RateLimits { return n.current.Load().Rate },
		Log:     n.Log,
		Fences:  fences,
		Lease:   func() time.Duration { return n.current.Load().Bounds.Lease },
		Leaders: func() int { return len(n.peers.clusterView().centres) },
		Owns:    n.owns,
		Before:  n.peers.takeOver,
		Reads:   func(tokens int) time.Duration { return n.gateway.Reads(tokens) },
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
		Boxes:      func() int { return n.peers.budgetBoxes(time.Now()) },
		Level:      func(centre string) (time.Duration, bool) { return n.levels.of(centre, time.Now()) },
		Cut:        func(centre string) bool { return n.peers.clusterView().silent[centre] },
		Budget:     func() forward.BudgetLimits { return n.current.Load().Budget },
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
		box:          s.Box,
		centre:       s.DataCentre,
		dialer:       &daemon.Dialer{Credentials: insecure.NewCredentials(), Dial: d.DialContext, SilentFor: silentFor},
		items:        n.items,
		log:          n.Log,
		started:      time.Now(),
		reads:        n.reads,
		seeds:        func() []string { return otherSeeds(n.current.Load().Seeds, s.Peers) },
		behind:       n.behind,
		removalsAsOf: n.fresh.removalsAsOf,
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

// owns tells whether this box gives orders to an endpoint.
func (n *Node) owns(e *topology.Endpoint, now time.Time) (bool, time.Time) {
	return n.peers.leads(e.DataCentre(), n.current.Load().Bounds.Lease, now)
}

// behind returns how far this box may be behind the source.
func (n *Node) behind() time.Duration { return n.current.Load().Bounds.Behind() }

// reads tells whether this box hears the source by itself.
func (n *Node) reads() bool {
	ago, ok := n.fresh.ago(time.Now())
	return ok && ago < wordTime(n.behind())
}

// noteListed notes the revision of a list of the source.
func (n *Node) noteListed(c Collection, revision uint64) {
	if c == Endpoints {
		n.listed.Store(revision)
	}
}

// isOver tells of an endpoint that is not in the table whether it had left when this box
// listed the source: its last change is not after the list, which did not have it.
func (n *Node) isOver(i *wire.Item) bool {
	return n.Decoder.Kind(i.GetKey()) == KindEndpoint && !i.GetRemoved() && i.GetVersion() <= n.listed.Load()
}

// readAgo tells how long ago this box, or one that it follows, heard the source.
func (n *Node) readAgo() (time.Duration, bool) {
	now := time.Now()
	own, reads := n.fresh.ago(now)
	told, informed := n.peers.heardAgo(now)
	switch {
	case reads && informed:
		return min(own, told), true
	case reads:
		return own, true
	}
	return told, informed
}

// mustRead tells whether this box reads the source: it leads its data centre, or
// its leader does not tell it what it reads.
func (n *Node) mustRead() bool { return !n.peers.informed(time.Now()) }

// sourceAges tells how long ago the source was heard: by this box, and by its leader as
// the box that it follows tells; a box that was not heard of is missing.
func (n *Node) sourceAges() map[string]int64 {
	now := time.Now()
	ages := make(map[string]int64)
	if ago, ok := n.fresh.ago(now); ok {
		ages["own_ms"] = ago.Milliseconds()
	}
	if ago, ok := n.peers.toldAgo(now); ok {
		ages["told_ms"] = ago.Milliseconds()
	}
	return ages
}

// placer asks the leader of the endpoint's data centre.
type placer struct{ node *Node }

// Want implements forward.Placer.
func (p placer) Want(ctx context.Context, w forward.Wanted) (forward.Placed, error) {
	m, ok := p.node.peers.clusterView().leader(w.Endpoint.DataCentre())
	if !ok || m.Name() == p.node.peers.box || p.node.loader.Keeps(w.Endpoint.ID()) {
		return p.node.loader.Want(ctx, w)
	}
	return p.node.peers.ask(ctx, m, w)
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
	n.Log.Info("Box starts", "callers", n.Settings.Callers, "peers", n.Settings.Peers)
	inner, end := context.WithCancel(context.Background())
	defer end()
	server := daemon.NewServer(insecure.NewCredentials())
	wire.RegisterPeerServer(server, peerServer{node: n})
	wire.RegisterShareServer(server, shareServer{node: n})
	held := n.Settings.Bounds.Grace - noticeFor - endMargin // what is held when the end begins has so long
	tasks := []task{
		n.peers.loop.Run, n.peers.followAll, n.usage.run, n.loader.Run, n.watchLead, n.gateway.Run,
		n.reader(Settled).run, n.reader(Endpoints).run,
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

// httpTask serves one handler; it closes connections that rest where more than so many are open.
func httpTask(h http.Handler, l net.Listener, most time.Duration, open int) task {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, ConnState: newConnections(open).changed}
	return func(ctx context.Context) error { return serveHTTP(ctx, s, l, most) }
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
		collection: c,
		source:     n.Source,
		decoder:    n.Decoder,
		table:      n.items,
		wanted:     n.mustRead,
		leads:      func() bool { return n.peers.clusterView().steps == 0 && time.Since(n.peers.started) > settleFor },
		log:        n.Log,
		ages:       n.sourceAges,
		watchTime:  func() time.Duration { return watchTime(n.behind()) },
		lapse:      func() time.Duration { return n.current.Load().Bounds.Lapse },
		heard:      func(w readOutcome) { n.fresh.note(c, w) },
		listed:     func(revision uint64) { n.noteListed(c, revision) },
	}
}

// listeners are the sockets of a box.
type listeners struct{ callers, ready, peers, metrics net.Listener }

func (n *Node) listen() (listeners, error) {
	var l listeners
	for _, p := range []struct {
		name, address string
		into          *net.Listener
	}{
		{"callers", n.Settings.Callers, &l.callers},
		{"readiness", n.Settings.Ready, &l.ready},
		{"peers", n.Settings.Peers, &l.peers},
		{"metrics", n.Settings.Metrics, &l.metrics},
	} {
		opened, err := net.Listen("tcp", p.address)
		if err != nil {
			return l, errors.Wrapf(err, "edge: address for %s", p.name)
		}
		*p.into = opened
	}
	return l, nil
}
