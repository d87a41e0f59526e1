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

// answering answers heartbeats, and says one word on each stream.
type answering struct {
	wire.UnimplementedPeerServer
	wire.UnimplementedShareServer
}

// Exchange implements the Peer service.
func (answering) Exchange(context.Context, *wire.Heartbeat) (*wire.Heartbeat, error) {
	return &wire.Heartbeat{}, nil
}

// Follow implements the Share service.
func (answering) Follow(_ *wire.FollowRequest, s wire.Share_FollowServer) error {
	if err := s.Send(&wire.Update{}); err != nil {
		return err
	}
	<-s.Context().Done()
	return s.Context().Err()
}

// silentPeer starts a peer behind a proxy and returns a dialer to it.
func silentPeer(t *testing.T, silentFor time.Duration) (*standin.BlackholeProxy, *Dialer, string) {
	c := quicktest.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	back, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := NewServer(insecure.NewCredentials(), nil)
	wire.RegisterPeerServer(s, answering{})
	wire.RegisterShareServer(s, answering{})
	proxy := &standin.BlackholeProxy{Target: back.Addr().String()}
	ended := make(chan error, 2)
	go func() { ended <- s.Serve(back) }()
	go func() { ended <- proxy.Run(ctx, front) }()
	d := &Dialer{Credentials: insecure.NewCredentials(), Dial: new(net.Dialer).DialContext, SilentFor: silentFor}
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
	oneBeat   = 100 * time.Millisecond
	mostBeats = 50
)

func beat(d *Dialer, address string, most time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	_, err := d.Peer(address).Exchange(ctx, &wire.Heartbeat{})
	return err
}

// A connection between two boxes fell silent for good, without a reset, while new ones
// worked. Heartbeats on it timed out, the other box was believed dead, and each later one
// took the same connection.
func TestASilentConnectionToAPeerIsReplaced(t *testing.T) {
	c := quicktest.New(t)
	proxy, d, address := silentPeer(t, oneBeat+oneBeat/2)
	c.Assert(beat(d, address, time.Minute), quicktest.IsNil)
	proxy.Blackhole()
	c.Assert(status.Code(beat(d, address, oneBeat)), quicktest.Equals, codes.DeadlineExceeded)
	err := beat(d, address, oneBeat)
	for n := 0; err != nil && n < mostBeats; n++ {
		err = beat(d, address, oneBeat)
	}
	c.Assert(err, quicktest.IsNil)
	c.Assert(proxy.Accepted(), quicktest.Equals, 2)
}

// The same for a box that is only followed: its stream is cancelled by who reads it, and the
// next one took the same connection.
func TestASilentConnectionOfAStreamIsReplaced(t *testing.T) {
	c := quicktest.New(t)
	proxy, d, address := silentPeer(t, oneBeat)
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
		time.AfterFunc(oneBeat+oneBeat/2, cancel)
		proxy.Blackhole()
		_, err = s.Recv()
		return err
	}
	c.Assert(status.Code(follow()), quicktest.Equals, codes.Canceled)
	err := beat(d, address, 5*time.Second)
	if status.Code(err) == codes.Unavailable { // it began before gRPC saw that the connection was closed
		err = beat(d, address, 5*time.Second)
	}
	c.Assert(err, quicktest.IsNil)
	c.Assert(proxy.Accepted(), quicktest.Equals, 2)
}

// A call that waits long on a connection that others are answered on ends alone.
func TestAConnectionThatAnswersIsKept(t *testing.T) {
	c := quicktest.New(t)
	proxy, d, address := silentPeer(t, 2*oneBeat)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := wire.NewShareClient(d.Conn(address)).Follow(ctx, &wire.FollowRequest{})
	c.Assert(err, quicktest.IsNil)
	_, err = s.Recv()
	c.Assert(err, quicktest.IsNil)
	stop := time.AfterFunc(3*oneBeat, cancel)
	defer stop.Stop()
	for ctx.Err() == nil {
		c.Assert(beat(d, address, time.Minute), quicktest.IsNil)
	}
	_, err = s.Recv()
	c.Assert(status.Code(err), quicktest.Equals, codes.Canceled)
	c.Assert(beat(d, address, time.Minute), quicktest.IsNil)
	c.Assert(proxy.Accepted(), quicktest.Equals, 1)
}

// A stream was given up by its reader on a connection in order, and nothing came on it for a
// while; the next call that timed out closed the connection, though it had waited for less
// than makes one silent.
func TestACallThatWasGivenUpLeavesNoSuspicion(t *testing.T) {
	c := quicktest.New(t)
	proxy, d, address := silentPeer(t, oneBeat)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := wire.NewShareClient(d.Conn(address)).Follow(ctx, &wire.FollowRequest{})
	c.Assert(err, quicktest.IsNil)
	_, err = s.Recv()
	c.Assert(err, quicktest.IsNil)
	time.AfterFunc(oneBeat/4, cancel)
	_, err = s.Recv()
	c.Assert(status.Code(err), quicktest.Equals, codes.Canceled)
	time.Sleep(2 * oneBeat)
	c.Assert(beat(d, address, time.Microsecond), quicktest.IsNotNil)
	c.Assert(beat(d, address, time.Minute), quicktest.IsNil)
	c.Assert(proxy.Accepted(), quicktest.Equals, 1)
}
