// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"cairnwick.example/decision"
	"cairnwick.example/keeper"
	"cairnwick.example/kvstore"
	"cairnwick.example/logging"
	"cairnwick.example/member"
	"cairnwick.example/settings"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var errNotHeld = status.Error(codes.NotFound, "daemon: no such document here")

// Node is one daemon: a member of its data centre that keeps the configuration
// and answers operators. New makes it; the role adds its own services and tasks
// before Run.
type Node struct {
	Role      string
	Log       logr.Logger
	Keeper    *keeper.Keeper
	Table     *member.Table
	Dialer    *Dialer
	Record    *decision.Record
	Boxes     *Boxes
	Server    *grpc.Server // for the peers' port; register before Run
	Endpoints func() []*wire.EndpointStatus
	OnPause   func(gap time.Duration)

	// Leave begins the role's orderly end; Idle tells whether nothing is held
	// any more. Both are called at a planned stop.
	Leave func()
	Idle  func() bool

	values  settings.Values
	box     string
	centre  string
	loop    *member.Loop
	relay   *keeper.Relay
	traffic *Traffic
	tasks   []Task
	ready   atomic.Bool
	leaving atomic.Bool
}

// Task is something that runs until its context ends.
type Task func(context.Context) error

// New makes the node that the settings describe. It returns an error when the
// identity's files do not hold.
func New(role string, v settings.Values) (*Node, error) {
	identity := &Identity{Certificate: v.Text(TLSCert), Key: v.Text(TLSKey), Authority: v.Text(TLSRoot)}
	creds, err := identity.Credentials()
	if err != nil {
		return nil, err
	}
	n := &Node{Role: role, values: v, box: v.Text(Box), centre: v.Text(DataCentre)}
	n.Log = logging.New(os.Stdout, n.box, n.centre, role, v.Switch(Debug))
	n.Record = decision.NewRecord(v.Count(Decisions))
	n.traffic = &Traffic{}
	n.Dialer = &Dialer{Credentials: creds, Dial: counted(&n.traffic.Peers, dialTimeout, v.Text(Source))}
	client := &kvstore.Client{
		Address: v.Text(Platform),
		Timeout: 2 * time.Second,
		HTTP: &http.Client{Transport: &http.Transport{
			DialContext:         counted(&n.traffic.Platform, dialTimeout, v.Text(Source)),
			MaxIdleConnsPerHost: 2,
		}},
	}
	n.Boxes = &Boxes{Client: client, Life: n.boxesLife}
	self := member.New(n.Name(), n.advertised(), role, n.centre, uint64(time.Now().UnixMicro()))
	n.Table = member.NewTable(self, member.Limits{
		SuspectFor: v.Duration(SuspectFor),
		ForgetDead: forgetDead,
		Fresh:      v.Duration(FreshFor),
	})
	n.Keeper = keeper.New(v.Duration(Settle), n.Log)
	n.relay = n.newRelay(client)
	n.loop = n.newLoop()
	n.Server = NewServer(creds)
	wire.RegisterPeerServer(n.Server, peerServer{node: n})
	wire.RegisterOperatorServer(n.Server, operatorServer{node: n})
	return n, nil
}

// advertised returns the address that the other daemons reach this one by.
func (n *Node) advertised() string {
	if a := n.values.Text(Advertise); a != "" {
		return a
	}
	return n.values.Text(PeersListen)
}

const (
	forgetDead = 10 * time.Minute
	joinBeats  = 4                // heartbeats that a daemon waits at most for a view that is still
	listLife   = 5 * time.Minute  // of the list of boxes
	watchLife  = 30 * time.Second // of it, at the few that watch the platform
	watchWait  = 30 * time.Second
	watchPause = time.Second
)

// Name returns the node's name as a member.
func (n *Node) Name() string { return n.box + "/" + n.Role }

// Centre returns the node's data centre.
func (n *Node) Centre() string { return n.centre }

// Box returns the node's box.
func (n *Node) Box() string { return n.box }

// Ready tells whether the node has joined its data centre and has a
// configuration.
func (n *Node) Ready() bool { return n.ready.Load() }

// Probe asks a member for a heartbeat now.
func (n *Node) Probe(name string) { n.loop.Probe(name) }

// Add makes Run run the task.
func (n *Node) Add(t Task) { n.tasks = append(n.tasks, t) }

func (n *Node) newRelay(client *kvstore.Client) *keeper.Relay {
	r := &keeper.Relay{
		Keeper:   n.Keeper,
		Platform: client,
		Peers:    n.Dialer.Source,
		Nudge:    func() { n.loop.Nudge() },
		Watches:  n.watches,
		Log:      n.Log,
		Wait:     watchWait,
		Pause:    watchPause,
	}
	r.Init()
	return r
}

// watches tells whether this daemon is one of the few of its data centre that
// read the platform regularly.
func (n *Node) watches() bool { return n.Table.Rank() < n.values.Count(Watchers) }

// boxesLife keeps the reads of the list few: only the watchers read it often.
func (n *Node) boxesLife() time.Duration {
	if n.watches() {
		return watchLife
	}
	return listLife
}

func (n *Node) newLoop() *member.Loop {
	v := n.values
	return &member.Loop{
		Table:      n.Table,
		Dial:       n.Dialer.Peer,
		Seeds:      n.seeds,
		Remote:     n.remotes,
		Bridges:    func() bool { return !n.ready.Load() || n.watches() },
		Extras:     n.relay,
		Log:        n.Log,
		Interval:   v.Duration(Heartbeat),
		Timeout:    v.Duration(Timeout),
		PauseLimit: v.Duration(PauseLimit),
		Neighbours: v.Count(Neighbours),
		OnPause: func(gap time.Duration) {
			if n.OnPause != nil {
				n.OnPause(gap)
			}
		},
	}
}

// seeds lists daemons of the own data centre.
func (n *Node) seeds() []string {
	var list []string
	for _, b := range n.Boxes.List() {
		if b.DataCentre == n.centre && b.Name != n.Name() {
			list = append(list, b.Address)
		}
	}
	return append(list, n.peers()...)
}

// remotes lists daemons of the other data centres.
func (n *Node) remotes() []string {
	var list []string
	for _, b := range n.Boxes.List() {
		if b.DataCentre != n.centre {
			list = append(list, b.Address)
		}
	}
	return list
}

// peers lists the addresses that the settings name.
func (n *Node) peers() []string {
	var list []string
	for _, a := range strings.Split(n.values.Text(Peers), ",") {
		if a = strings.TrimSpace(a); a != "" && a != n.advertised() {
			list = append(list, a)
		}
	}
	return list
}

func (n *Node) state() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.ready.Load():
		return "ready"
	}
	return "starting"
}

// Run serves until ctx ends, then leaves in order: readiness goes false, the
// peers are told, what is held ends, and then the process.
func (n *Node) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", n.values.Text(PeersListen))
	if err != nil {
		return errors.Wrap(err, "daemon: peers' port")
	}
	operators, err := net.Listen("tcp", n.values.Text(Operators))
	if err != nil {
		return errors.Wrap(err, "daemon: operators' port")
	}
	n.Log.Info("Daemon starts", "peers", peers.Addr().String(), "operators", operators.Addr().String(), "version", Version)
	inner, end := context.WithCancel(context.Background())
	defer end()
	n.readBoxes(ctx)
	tasks := append([]Task{n.loop.Run, n.relay.Run, n.Boxes.Run, n.joinAndServe}, n.tasks...)
	tasks = append(tasks, n.operatorsTask(operators), n.peersTask(peers))
	ended := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() { ended <- t(inner) }()
	}
	running := len(tasks)
	select {
	case <-ctx.Done():
		n.leave(inner)
	case err = <-ended:
		running--
	}
	end()
	for range running {
		if e := <-ended; e != nil && err == nil {
			err = e
		}
	}
	n.Dialer.Close()
	n.Log.Info("Daemon ends")
	return err
}

// readBoxes gives the first heartbeat its seeds, when the platform answers soon.
func (n *Node) readBoxes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstRead)
	defer cancel()
	if !n.Boxes.Refresh(ctx) {
		n.Log.Info("Platform gave no list of boxes at the start")
	}
}

// leave ends the role's work in order.
func (n *Node) leave(ctx context.Context) {
	n.Log.Info("Daemon leaves")
	n.leaving.Store(true)
	n.ready.Store(false)
	n.Leave()
	n.Table.Leave() // only now: whoever hears it may rely on the role's having left
	limit := time.After(n.values.Duration(DrainLimit))
	settled := time.Now().Add(2 * n.values.Duration(Heartbeat)) // so that the peers have heard
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-limit:
			n.Log.Info("Drain limit passed with requests still held")
			return
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if now.After(settled) && n.Idle() {
				return
			}
		}
	}
}

// joinAndServe makes the node ready once it has a configuration: what peers
// have in force when any answers, else what the platform gives.
func (n *Node) joinAndServe(ctx context.Context) error {
	for ctx.Err() == nil && n.Keeper.Catalog() == nil {
		n.askPeers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-n.Keeper.Changed():
		case <-time.After(n.values.Duration(Heartbeat)):
		}
	}
	n.awaitView(ctx)
	if ctx.Err() == nil {
		n.ready.Store(true)
		n.Log.Info("Daemon is ready", "revision", n.Keeper.Catalog().Revision())
	}
	<-ctx.Done()
	return nil
}

// awaitView waits until the view of the members was still for one heartbeat, so
// that this daemon does not act on a part of its data centre; after a bounded
// time it goes on with what it has.
func (n *Node) awaitView(ctx context.Context) {
	beat := n.values.Duration(Heartbeat)
	limit := time.After(joinBeats * beat)
	for {
		changed := n.Table.Changed()
		still := time.After(beat + beat/joinBeats)
		if len(n.Table.All()) == 1 {
			still = nil // nobody answered yet
		}
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-still:
			return
		case <-changed:
		}
	}
}

// askPeers takes over what any known daemon has in force, of every data centre.
func (n *Node) askPeers(ctx context.Context) {
	list := n.peers()
	for _, b := range n.Boxes.List() {
		if b.Name != n.Name() {
			list = append(list, b.Address)
		}
	}
	for _, a := range list {
		if n.Keeper.Catalog() != nil {
			return
		}
		if err := n.relay.Ask(ctx, a); err != nil {
			n.Log.V(1).Info("Peer gave no configuration", "address", a, "err", err.Error())
		}
	}
}

// peersTask serves the peers' port.
func (n *Node) peersTask(l net.Listener) Task {
	return func(ctx context.Context) error {
		served := make(chan error, 1)
		go func() { served <- n.Server.Serve(n.traffic.Peers.Listen(l)) }()
		select {
		case err := <-served:
			return errors.Wrap(err, "daemon: serve peers")
		case <-ctx.Done():
			n.Server.Stop()
			return errors.Wrap(<-served, "daemon: serve peers")
		}
	}
}
