// SPDX-License-Identifier: Apache-2.0

// Package daemon is what the gateway and the scheduler have in common: the command
// line, settings, membership, distribution of the configuration, the operators' port
// and graceful shutdown.
//
// Main reads the command line and the settings. New creates a Node from the settings,
// and the role adds its own services to it. Node.Run joins the data centre, serves, and
// leaves the data centre. Peers, which are other daemons, are called through a Dialer
// and call the Node's gRPC server.
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
	"cairnwick.example/transfer"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
)

// Node is one daemon: a member of its data centre that holds the configuration and
// serves operators. New creates it, and the role adds its own services and tasks before
// Run.
type Node struct {
	Role             string
	Log              logr.Logger
	Keeper           *keeper.Keeper
	Table            *member.Table
	Dialer           *Dialer
	Record           *decision.History
	BoxList          *BoxList
	Server           *grpc.Server // for the peers' port; register services before Run
	Endpoints        func() []*wire.EndpointStatus
	OnPause          func(gap time.Duration)
	OnEndpointsEnded func(q *wire.EndedRequest) // called with the requests under which endpoints ended; may be nil

	// Drain starts the role's graceful shutdown, and Drained reports whether no requests
	// are in flight any more. Both are called at a planned stop.
	Drain   func()
	Drained func() bool

	values     settings.Values
	box        string
	dataCentre string
	loop       *member.HeartbeatLoop
	syncer     *keeper.Syncer
	traffic    *Traffic
	links      *links
	tasks      []Task
	ready      atomic.Bool
	leaving    atomic.Bool
}

// New creates the node that the settings describe. It returns an error if the files
// with the certificates are invalid.
func New(role string, v settings.Values) (*Node, error) {
	identity := &Identity{Certificate: v.Text(TLSCertificate), Key: v.Text(TLSKey), Authority: v.Text(TLSAuthority)}
	creds, err := identity.Credentials()
	if err != nil {
		return nil, err
	}
	n := &Node{Role: role, values: v, box: v.Text(Box), dataCentre: v.Text(DataCentre)}
	n.Log = logging.New(os.Stdout, n.box, n.dataCentre, role, v.Bool(Debug))
	n.Record = decision.NewHistory(v.Count(Decisions))
	n.traffic = &Traffic{}
	n.Dialer = &Dialer{Credentials: creds, Dial: countingDialer(&n.traffic.Peers, dialTimeout, v.Text(Source))}
	n.links = newLinks(n, &Dialer{Credentials: creds, Dial: countingDialer(&n.traffic.Peers, dialTimeout, v.Text(Source)), StreamWindow: linkTunnelWindow})
	n.Add(n.links.run)
	client := &kvstore.Client{
		Address: v.Text(Platform),
		Timeout: platformTimeout,
		HTTP: &http.Client{Transport: &http.Transport{
			DialContext:         countingDialer(&n.traffic.Platform, dialTimeout, v.Text(Source)),
			MaxIdleConnsPerHost: platformIdleConns,

			MaxResponseHeaderBytes: transfer.MaxHeadBytes,
		}},
	}
	n.BoxList = &BoxList{Client: client, RefreshInterval: n.boxListInterval, Log: n.Log}
	self := member.New(n.Name(), n.advertisedAddress(), role, n.dataCentre, uint64(time.Now().UnixMicro()))
	n.Table = member.NewTable(self, member.TableOptions{
		SuspectTimeout: v.Duration(SuspectFor),
		DeadRetention:  deadRetention,
		FreshFor:       v.Duration(FreshFor),
	})
	n.Keeper = keeper.New(v.Duration(Settle), n.Log)
	n.syncer = n.newSyncer(client)
	n.loop = n.newLoop()
	n.Server = NewServer(creds, nil)
	wire.RegisterPeerServer(n.Server, peerServer{node: n})
	wire.RegisterOperatorServer(n.Server, operatorServer{node: n})
	return n, nil
}

// advertisedAddress returns the address at which other daemons reach this one.
func (n *Node) advertisedAddress() string {
	if a := n.values.Text(Advertise); a != "" {
		return a
	}
	return n.values.Text(PeersListen)
}

const (
	deadRetention         = 10 * time.Minute // until then, delayed news cannot bring a dead member back
	boxListRefresh        = 5 * time.Minute  // of the list of boxes by a daemon that is not a watcher
	watcherBoxListRefresh = 30 * time.Second // of the list of boxes by a watcher
	headWatchTimeout      = 30 * time.Second // longest blocking query for a new head
	headRetryInterval     = time.Second      // after a failed read of the head
	platformTimeout       = 2 * time.Second  // of a read without waiting for a change
	platformIdleConns     = 2                // one for the watch of the head and one for reads
)

// Name returns the node's member name, "BOX/ROLE".
func (n *Node) Name() string { return n.box + "/" + n.Role }

// DataCentre returns the node's data centre.
func (n *Node) DataCentre() string { return n.dataCentre }

// Box returns the node's box.
func (n *Node) Box() string { return n.box }

// Ready reports whether the node has joined its data centre and has a configuration.
func (n *Node) Ready() bool { return n.ready.Load() }

// Probe sends a heartbeat to a member at once.
func (n *Node) Probe(name string) { n.loop.Probe(name) }

// Add adds a task for Run.
func (n *Node) Add(t Task) { n.tasks = append(n.tasks, t) }

func (n *Node) newSyncer(client *kvstore.Client) *keeper.Syncer {
	r := &keeper.Syncer{
		Keeper:           n.Keeper,
		Platform:         client,
		Peers:            n.Dialer.Source,
		TriggerHeartbeat: func() { n.loop.NotifyNeighbours() },
		IsWatcher:        n.isWatcher,
		Log:              n.Log,
		WatchTimeout:     headWatchTimeout,
		RetryInterval:    headRetryInterval,
	}
	r.Init()
	return r
}

// isWatcher reports whether this daemon is one of the few in its data centre that watch
// the platform.
func (n *Node) isWatcher() bool { return n.Table.Rank() < n.values.Count(Watchers) }

// boxListInterval returns the time between reads of the list of boxes. To limit the load
// on the platform, only the watchers read it often.
func (n *Node) boxListInterval() time.Duration {
	if n.isWatcher() {
		return watcherBoxListRefresh
	}
	return boxListRefresh
}

func (n *Node) newLoop() *member.HeartbeatLoop {
	v := n.values
	return &member.HeartbeatLoop{
		Table:          n.Table,
		Dial:           n.Dialer.Peer,
		Seeds:          n.seeds,
		RemotePeers:    n.remotes,
		IsBridge:       func() bool { return !n.ready.Load() || n.isWatcher() },
		Payload:        n.syncer,
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
