// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	testTimeout = 10 * time.Second // for what has to happen at some time
	openTimeout = 2 * time.Second  // of a tunnel; long, so that a busy machine does not reach it
)

// endpoint accepts connections and collects what they receive.
type endpoint struct {
	listener   net.Listener
	resetAfter string // resets connections that received this; empty: none

	mu       sync.Mutex
	received strings.Builder
	ended    chan string // what each connection received until its end
}

func newEndpoint(c *quicktest.C) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	e := &endpoint{listener: l, ended: make(chan string, 4096)}
	go func() { // ends when the listener is closed
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.receive(conn)
		}
	}()
	return e
}

// receive reads from a connection until its end.
func (e *endpoint) receive(conn net.Conn) {
	defer conn.Close()
	text, b := "", make([]byte, 4<<10)
	for {
		n, err := conn.Read(b)
		text += string(b[:n])
		e.mu.Lock()
		e.received.Write(b[:n])
		e.mu.Unlock()
		if e.resetAfter != "" && strings.HasSuffix(text, e.resetAfter) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			err = io.EOF
		}
		if err != nil {
			e.ended <- text
			return
		}
	}
}

// all returns what all connections have received.
func (e *endpoint) all() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received.String()
}

// next returns what the next connection that ends has received.
func (e *endpoint) next(c *quicktest.C) string {
	select {
	case text := <-e.ended:
		return text
	case <-time.After(testTimeout):
		c.Fatal("no connection has ended in time")
		return ""
	}
}

// box is the box that connects to an endpoint: a real gRPC server.
type box struct {
	wire.UnimplementedShareServer

	endpoint string // address
	server   *grpc.Server
	refuse   func() error                            // called before it connects to the endpoint, if set
	write    func(c net.Conn, b []byte) (int, error) // replaces writes to the endpoint, if set
	dial     engine.DialFunc                         // opens the connection to the endpoint; nil: a net.Dialer

	mu    sync.Mutex
	dials int // connections to the endpoint
}

// boxConn is a connection of a box to an endpoint.
type boxConn struct {
	net.Conn

	box *box
}

// NetConn returns the connection.
func (c boxConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c boxConn) Write(b []byte) (int, error) {
	if c.box.write == nil {
		return c.Conn.Write(b)
	}
	return c.box.write(c.Conn, b)
}

// Tunnel implements the Share service.
func (b *box) Tunnel(stream wire.Share_TunnelServer) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if b.refuse != nil {
		if err := b.refuse(); err != nil {
			return err
		}
	}
	dial := b.dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	c, err := dial(stream.Context(), "tcp", b.endpoint)
	if err != nil {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	defer c.Close()
	b.mu.Lock()
	b.dials++
	b.mu.Unlock()
	if err := stream.Send(&wire.TunnelReply{}); err != nil {
		return err
	}
	return Copy(stream, boxConn{Conn: c, box: b})
}

func (b *box) dialled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dials
}

// start serves the box's service, and returns its address.
func (b *box) start(c *quicktest.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	b.server = grpc.NewServer()
	wire.RegisterShareServer(b.server, b)
	ended := make(chan error, 1)
	go func() { ended <- b.server.Serve(l) }()
	c.Cleanup(func() {
		b.server.Stop()
		c.Check(<-ended, quicktest.IsNil)
	})
	return l.Addr().String()
}

// dialer returns a function that opens connections through the box at an address, as engine.DialFunc.
func dialer(c *quicktest.C, address string) func(ctx context.Context, _, _ string) (net.Conn, error) {
	client, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = client.Close() })
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		open := func(ctx context.Context) (Client, error) { return wire.NewShareClient(client).Tunnel(ctx) }
		stream, _, cancel, err := Open(ctx, openTimeout, open, &wire.TunnelRequest{Endpoint: "e"})
		if err != nil {
			return nil, err
		}
		return NewConn(stream, cancel, "e", func() {}), nil
	}
}

// Guards against a request that counts as unsent, since its connection was closed before the first write, and is sent all the same.
func TestNothingIsSentThroughAClosedTunnel(t *testing.T) {
	c := quicktest.New(t)
	e := newEndpoint(c)
	dial := dialer(c, (&box{endpoint: e.listener.Addr().String()}).start(c))
	const connections = 200
	accepted, sent := 0, 0
	for range connections {
		conn, err := dial(t.Context(), "", "")
		c.Assert(err, quicktest.IsNil)
		c.Assert(conn.Close(), quicktest.IsNil)
		if n, err := conn.Write([]byte("request")); n != 0 || err == nil {
			accepted++
		}
		if e.next(c) != "" {
			sent++
		}
	}
	c.Check(accepted, quicktest.Equals, 0, quicktest.Commentf("writes that succeeded, of %d", connections))
	c.Check(sent, quicktest.Equals, 0, quicktest.Commentf("endpoint got data of so many of %d connections", connections))
}
