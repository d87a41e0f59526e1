// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net/url"
	"sync"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/keeper"
	"cairnwick.example/member"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/encoding/gzip"
)

// Dialer keeps one gRPC connection to each daemon that is called. Set the exported fields
// before use; it is safe for concurrent use.
type Dialer struct {
	Credentials credentials.TransportCredentials
	Dial        engine.DialFunc // opens the connections
	// SilenceTimeout is how long calls may wait while nothing is received before their
	// connection is replaced; zero: no limit.
	SilenceTimeout time.Duration
	Messages       *MessageCounter // counts the messages; may be nil
	StreamWindow   int32           // bytes in flight on one stream; zero: flowControlWindow

	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn // by address
	monitors map[string]*silenceMonitor  // by address, those of conns
}

const (
	connBuffer        = 4 << 10 // bytes; the messages are small
	flowControlWindow = 1 << 20 // bytes in flight; a fixed window, since gRPC would send pings to estimate one
	initialBackoff    = 50 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	dialTimeout       = 500 * time.Millisecond // peers are some ms away, so one that takes longer is unreachable for now; gRPC retries
)

// Conn returns the connection to an address. It is opened when it is first used.
func (d *Dialer) Conn(address string) *grpc.ClientConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.conns[address]; c != nil {
		return c
	}
	monitor := &silenceMonitor{dial: d.Dial, timeout: d.SilenceTimeout}
	window := d.StreamWindow
	if window == 0 {
		window = flowControlWindow
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(d.Credentials),
		grpc.WithContextDialer(monitor.dialContext),
		grpc.WithUnaryInterceptor(monitor.unary),
		grpc.WithStreamInterceptor(monitor.stream),
		grpc.WithStaticStreamWindowSize(window),
		grpc.WithStaticConnWindowSize(flowControlWindow),
		grpc.WithReadBufferSize(connBuffer),
		grpc.WithWriteBufferSize(connBuffer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: initialBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: dialTimeout,
		}),
	}
	if d.Messages != nil {
		options = append(options, grpc.WithStatsHandler(d.Messages.newConnStats(address)))
	}
	c, err := grpc.NewClient("passthrough:///"+url.PathEscape(address), options...) // which another process may have published
	if err != nil {
		panic(errors.Wrap(err, "daemon: connection options")) // a programming error
	}
	if d.conns == nil {
		d.conns, d.monitors = make(map[string]*grpc.ClientConn), make(map[string]*silenceMonitor)
	}
	d.conns[address], d.monitors[address] = c, monitor
	return c
}

// LastReceived returns when data last came from the daemon at an address, by package clock; the zero time if none has, or if
// there is no connection.
func (d *Dialer) LastReceived(address string) time.Time {
	d.mu.Lock()
	m := d.monitors[address]
	d.mu.Unlock()
	if m == nil {
		return time.Time{}
	}
	return m.lastReceived()
}

// CloseUnused closes the connections to all addresses but those in used.
func (d *Dialer) CloseUnused(used map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, c := range d.conns {
		if !used[address] {
			_ = c.Close() // an error does not matter, since the connection is not used any more
			delete(d.conns, address)
			delete(d.monitors, address)
		}
	}
}

// Close closes every connection.
func (d *Dialer) Close() { d.CloseUnused(nil) }

// Scheduler implements gateway.SchedulerClients.
func (d *Dialer) Scheduler(address string) wire.SchedulerClient {
	return wire.NewSchedulerClient(d.Conn(address))
}

// Peer returns the client for heartbeats to the daemon at an address.
func (d *Dialer) Peer(address string) member.Peer {
	return peerClient{client: wire.NewPeerClient(d.Conn(address))}
}

// ReportEnded implements gateway.Peers.
func (d *Dialer) ReportEnded(ctx context.Context, address string, q *wire.EndedRequest) error {
	_, err := wire.NewPeerClient(d.Conn(address)).Ended(ctx, q)
	return errors.Wrap(err, "daemon: report ended endpoints")
}

// Source returns the client that fetches configuration from the daemon at an address.
func (d *Dialer) Source(address string) keeper.Source {
	return peerClient{client: wire.NewPeerClient(d.Conn(address))}
}

// peerClient calls one other daemon. It implements member.Peer and keeper.Source.
type peerClient struct{ client wire.PeerClient }

// Exchange implements member.Peer.
func (p peerClient) Exchange(ctx context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	return p.client.Exchange(ctx, h)
}

// Head implements keeper.Source.
func (p peerClient) Head(ctx context.Context, prefix []byte) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	doc, err := p.client.FetchHead(ctx, &wire.FetchHeadRequest{Head: prefix}, compressed)
	return doc.GetBody(), doc.GetInForce(), err
}

// Shard implements keeper.Source.
func (p peerClient) Shard(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	doc, err := p.client.FetchShard(ctx, &wire.FetchShardRequest{Digest: digest}, compressed)
	return doc.GetBody(), err
}

const fetchTimeout = 3 * time.Second

// compressed enables compression of documents. They are JSON, and shrink to an eighth.
var compressed = grpc.UseCompressor(gzip.Name)
