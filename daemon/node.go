// SPDX-License-Identifier: Apache-2.0

// Package daemon is what the gateway and the scheduler have in common: the
// command line, settings, membership, the configuration's relay, the operators'
// port and the orderly end.
//
// Main reads the command line and the settings; New makes the Node that they
// describe, to which the role adds what it serves; Node.Run joins the data centre,
// serves and leaves it. Peers, which are other daemons, are called through a Dialer
// and answered by the Node's gRPC server.
package daemon

import (
	"net/http"
	"os"
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
	"google.golang.org/grpc"
)

// Node is one daemon: a member of its data centre that keeps the configuration
// and answers operators. New makes it; the role adds its own services and tasks
// before Run.
type Node struct {
	Role      string
	Log       logr.Logger
	Keeper    *keeper.Keeper
	Table     *member.Table
	Dialer    *Dialer
	Record    *decision.History
	Boxes     *Boxes
	Server    *grpc.Server // for the peers' port; register before Run
	Endpoints func() []*wire.EndpointStatus
	OnPause   func(gap time.Duration)
	OnEnded   func(q *wire.EndedRequest) // hears under which requests endpoints ended; nil: nobody does

	// Leave begins the role's orderly end; Idle tells whether nothing is held
	// any more. Both are called at a planned stop.
	Leave func()
	Idle  func() bool

	values  settings.Values
	box     string
	centre  string
	loop    *member.HeartbeatLoop
	relay   *keeper.Relay
	traffic *Traffic
	tasks   []Task
	ready   atomic.Bool
	leaving atomic.Bool
}

// New makes the node that the settings describe. It returns an error when the
// identity's files do not hold.
func New(role string, v settings.Values) (*Node, error) {
	identity := &Identity{Certificate: v.Text(TLSCert), Key: v.Text(TLSKey), Authority: v.Text(TLSRoot)}
	creds, err := identity.Credentials()
	if err != nil {
		return nil, err
	}
	n := &Node{Role: role, values: v, box: v.Text(Box), centre: v.Text(DataCentre)}
	n.Log = logging.New(os.Stdout, n.box, n.centre, role, v.Bool(Debug))
	n.Record = decision.NewHistory(v.Count(Decisions))
	n.traffic = &Traffic{}
	n.Dialer = &Dialer{Credentials: creds, Dial: counted(&n.traffic.Peers, dialTimeout, v.Text(Source))}
	client := &kvstore.Client{
		Address: v.Text(Platform),
		Timeout: platformTimeout,
		HTTP: &http.Client{Transport: &http.Transport{
			DialContext:         counted(&n.traffic.Platform, dialTimeout, v.Text(Source)),
			MaxIdleConnsPerHost: platformIdle,
		}},
	}
	n.Boxes = &Boxes{Client: client, Life: n.boxesLife}
	self := member.New(n.Name(), n.advertised(), role, n.centre, uint64(time.Now().UnixMicro()))
	n.Table = member.NewTable(self, member.TableOptions{
		SuspectTimeout: v.Duration(SuspectFor),
		DeadRetention:  forgetDead,
		FreshFor:       v.Duration(FreshFor),
	})
	n.Keeper = keeper.New(v.Duration(Settle), n.Log)
	n.relay = n.newRelay(client)
	n.loop = n.newLoop()
	n.Server = NewServer(creds, nil)
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
	forgetDead      = 10 * time.Minute // so long no late news can bring a dead member back
	listLife        = 5 * time.Minute  // of the list of boxes
	watchLife       = 30 * time.Second // of it, at the few that watch the platform
	watchWait       = 30 * time.Second // longest wait of the platform for a new head
	watchPause      = time.Second      // before it is asked again after it gave none
	platformTimeout = 2 * time.Second  // of a read
	platformIdle    = 2                // connections kept: for the watch of the head and for reads
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
		Nudge:    func() { n.loop.NotifyNeighbours() },
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

func (n *Node) newLoop() *member.HeartbeatLoop {
	v := n.values
	return &member.HeartbeatLoop{
		Table:          n.Table,
		Dial:           n.Dialer.Peer,
		Seeds:          n.seeds,
		RemotePeers:    n.remotes,
		IsBridge:       func() bool { return !n.ready.Load() || n.watches() },
		Payload:        n.relay,
		Log:            n.Log,
		Interval:       v.Duration(Heartbeat),
		Timeout:        v.Duration(HeartbeatTimeout),
		PauseLimit:     v.Duration(PauseLimit),
		NeighbourCount: v.Count(Neighbours),
		OnPause: func(gap time.Duration) {
			if n.OnPause != nil {
				n.OnPause(gap)
			}
		},
	}
}
