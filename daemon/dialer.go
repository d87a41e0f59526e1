// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
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

// Dialer keeps one connection to each daemon that is spoken to. It is safe for
// concurrent use.
type Dialer struct {
	Credentials credentials.TransportCredentials
	Dial        engine.DialFunc // opens the connections
	// SilentFor is how long calls may wait without a byte from the other side until their
	// connection is replaced; zero: for ever.
	SilentFor time.Duration
	Messages  *Messages // counts what passes; nil: nothing is counted

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // by address
}

const (
	connBuffer   = 4 << 10 // bytes; the messages are small
	window       = 1 << 20 // bytes in flight; fixed, so that gRPC sends no pings to estimate it
	firstBackoff = 50 * time.Millisecond
	mostBackoff  = 500 * time.Millisecond
	dialTimeout  = 500 * time.Millisecond // a peer some ms away that takes longer is dark; the next try may meet it
)

// Conn returns the connection to an address, made when it is first used.
func (d *Dialer) Conn(address string) *grpc.ClientConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.conns[address]; c != nil {
		return c
	}
	w := &silence{dial: d.Dial, most: d.SilentFor}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(d.Credentials),
		grpc.WithContextDialer(w.connect),
		grpc.WithUnaryInterceptor(w.unary),
		grpc.WithStreamInterceptor(w.stream),
		grpc.WithStaticStreamWindowSize(window),
		grpc.WithStaticConnWindowSize(window),
		grpc.WithReadBufferSize(connBuffer),
		grpc.WithWriteBufferSize(connBuffer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: mostBackoff},
			MinConnectTimeout: dialTimeout,
		}),
	}
	if d.Messages != nil {
		options = append(options, grpc.WithStatsHandler(d.Messages.forPeer(address)))
	}
	c, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		panic(errors.Wrap(err, "daemon: options of a connection")) // a fault of this program, not of the address
	}
	if d.conns == nil {
		d.conns = make(map[string]*grpc.ClientConn)
	}
	d.conns[address] = c
	return c
}

// Keep closes the connections to addresses that are not in use any more.
func (d *Dialer) Keep(used map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, c := range d.conns {
		if !used[a] {
			_ = c.Close() // nothing is lost with it
			delete(d.conns, a)
		}
	}
}

// Close closes every connection.
func (d *Dialer) Close() { d.Keep(nil) }

// Scheduler implements gateway.SchedulerClients.
func (d *Dialer) Scheduler(address string) wire.SchedulerClient {
	return wire.NewSchedulerClient(d.Conn(address))
}

// Peer returns the client for heartbeats.
func (d *Dialer) Peer(address string) member.Peer {
	return peer{client: wire.NewPeerClient(d.Conn(address))}
}

// ReportEnded implements gateway.Peers.
func (d *Dialer) ReportEnded(ctx context.Context, address string, q *wire.EndedRequest) error {
	_, err := wire.NewPeerClient(d.Conn(address)).Ended(ctx, q)
	return errors.Wrap(err, "daemon: tell of ended endpoints")
}

// Source returns the client for configuration.
func (d *Dialer) Source(address string) keeper.Source {
	return peer{client: wire.NewPeerClient(d.Conn(address))}
}

// peer is one other daemon, for heartbeats and for configuration.
type peer struct{ client wire.PeerClient }

// Exchange implements member.Peer.
func (p peer) Exchange(ctx context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	return p.client.Exchange(ctx, h)
}

// Head implements keeper.Source.
func (p peer) Head(ctx context.Context, prefix []byte) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d, err := p.client.FetchHead(ctx, &wire.FetchHeadRequest{Head: prefix}, compressed)
	return d.GetBody(), d.GetInForce(), err
}

// Shard implements keeper.Source.
func (p peer) Shard(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d, err := p.client.FetchShard(ctx, &wire.FetchShardRequest{Digest: digest}, compressed)
	return d.GetBody(), err
}

const fetchTimeout = 3 * time.Second

// compressed makes documents, which are JSON, an eighth as long on the way.
var compressed = grpc.UseCompressor(gzip.Name)
