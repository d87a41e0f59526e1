// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"cairnwick.example/standin"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// echoPeer answers heartbeats, and sends one message on each stream.
type echoPeer struct {
	wire.UnimplementedPeerServer
	wire.UnimplementedShareServer
}

// Tunnel implements both services.
func (echoPeer) Tunnel(wire.Peer_TunnelServer) error {
	return status.Error(codes.Unimplemented, "no tunnels")
}

// Exchange implements the Peer service.
func (echoPeer) Exchange(context.Context, *wire.Heartbeat) (*wire.Heartbeat, error) {
	return &wire.Heartbeat{}, nil
}

// Follow implements the Share service.
func (echoPeer) Follow(_ *wire.FollowRequest, s wire.Share_FollowServer) error {
	if err := s.Send(&wire.Update{}); err != nil {
		return err
	}
	<-s.Context().Done()
	return s.Context().Err()
}

// startPeerBehindProxy starts a peer behind a proxy that can be silenced, and returns the proxy,
// a dialer and the proxy's address.
func startPeerBehindProxy(t *testing.T, silentFor time.Duration) (*standin.BlackholeProxy, *Dialer, string) {
	c := quicktest.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	back, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := NewServer(insecure.NewCredentials(), nil)
	wire.RegisterPeerServer(s, echoPeer{})
	wire.RegisterShareServer(s, echoPeer{})
	proxy := &standin.BlackholeProxy{Target: back.Addr().String()}
	ended := make(chan error, 2)
	go func() { ended <- s.Serve(back) }()
	go func() { ended <- proxy.Run(ctx, front) }()
	d := &Dialer{Credentials: insecure.NewCredentials(), Dial: new(net.Dialer).DialContext, SilenceTimeout: silentFor}
	t.Cleanup(func() {
		d.Close()
		cancel()
		s.Stop()
		c.Check(<-ended, quicktest.IsNil)
		c.Check(<-ended, quicktest.IsNil)
	})
	return proxy, d, front.Addr().String()
}

const (
	heartbeatTimeout = 100 * time.Millisecond
	maxHeartbeats    = 50
)

func sendHeartbeat(d *Dialer, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := d.Peer(address).Exchange(ctx, &wire.Heartbeat{})
	return err
}

// A connection between two boxes became silent for good, without a reset, while new connections
// worked. Heartbeats on it timed out and the peer was taken for dead, since every later heartbeat
// used the same connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := quicktest.New(t)
	proxy, d, address := startPeerBehindProxy(t, heartbeatTimeout+heartbeatTimeout/2)
	c.Assert(sendHeartbeat(d, address, time.Minute), quicktest.IsNil)
	proxy.Blackhole()
	c.Assert(status.Code(sendHeartbeat(d, address, heartbeatTimeout)), quicktest.Equals, codes.DeadlineExceeded)
	err := sendHeartbeat(d, address, heartbeatTimeout)
	for n := 0; err != nil && n < maxHeartbeats; n++ {
		err = sendHeartbeat(d, address, heartbeatTimeout)
	}
	c.Assert(err, quicktest.IsNil)
	c.Assert(proxy.Accepted(), quicktest.Equals, 2)
}

// The same failure on a stream of updates: the reader cancelled the overdue stream, and the next
// one used the same silent connection.
func TestSilentConnectionOfStreamIsReplaced(t *testing.T) {
	c := quicktest.New(t)
	proxy, d, address := startPeerBehindProxy(t, heartbeatTimeout)
	follow := func() error {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, err := wire.NewShareClient(d.Conn(address)).Follow(ctx, &wire.FollowRequest{})
		if err != nil {
			return err
		}
		if _, err = s.Recv(); err != nil {
			return err
		}
		time.AfterFunc(heartbeatTimeout+heartbeatTimeout/2, cancel)
		proxy.Blackhole()
		_, err = s.Recv()
		return err
	}
	c.Assert(status.Code(follow()), quicktest.Equals, codes.Canceled)
	err := sendHeartbeat(d, address, 5*time.Second)
	if status.Code(err) == codes.Unavailable { // the call started before gRPC noticed that the connection was closed
		err = sendHeartbeat(d, address, 5*time.Second)
	}
	c.Assert(err, quicktest.IsNil)
	c.Assert(proxy.Accepted(), quicktest.Equals, 2)
}

// A call that waits long on a connection on which others are answered does not close it.
func TestRespondingConnectionIsKept(t *testing.T) {
	c := quicktest.New(t)
	proxy, d, address := startPeerBehindProxy(t, 2*heartbeatTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := wire.NewShareClient(d.Conn(address)).Follow(ctx, &wire.FollowRequest{})
	c.Assert(err, quicktest.IsNil)
	_, err = s.Recv()
	c.Assert(err, quicktest.IsNil)
	stop := time.AfterFunc(3*heartbeatTimeout, cancel)
	defer stop.Stop()
	for ctx.Err() == nil {
		c.Assert(sendHeartbeat(d, address, time.Minute), quicktest.IsNil)
	}
	_, err = s.Recv()
	c.Assert(status.Code(err), quicktest.Equals, codes.Canceled)
	c.Assert(sendHeartbeat(d, address, time.Minute), quicktest.IsNil)
	c.Assert(proxy.Accepted(), quicktest.Equals, 1)
}

// The reader of a stream cancelled it on a working connection, on which nothing was received for a
// while after that. The next call that timed out closed the connection, although that call had
// waited for less than the silence timeout.
func TestCancelledCallDoesNotCountAsSilence(t *testing.T) {
	c := quicktest.New(t)
	proxy, d, address := startPeerBehindProxy(t, heartbeatTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := wire.NewShareClient(d.Conn(address)).Follow(ctx, &wire.FollowRequest{})
	c.Assert(err, quicktest.IsNil)
	_, err = s.Recv()
	c.Assert(err, quicktest.IsNil)
	time.AfterFunc(heartbeatTimeout/4, cancel)
	_, err = s.Recv()
	c.Assert(status.Code(err), quicktest.Equals, codes.Canceled)
	time.Sleep(2 * heartbeatTimeout)
	c.Assert(sendHeartbeat(d, address, time.Microsecond), quicktest.IsNotNil)
	c.Assert(sendHeartbeat(d, address, time.Minute), quicktest.IsNil)
	c.Assert(proxy.Accepted(), quicktest.Equals, 1)
}
