// SPDX-License-Identifier: Apache-2.0

// Package tunnel carries connections to endpoints through other boxes. A box that is cut off from an endpoint opens a stream
// to one that reaches it, which connects to the endpoint and copies bytes. Requests are decided, counted and retried
// by the box that sends them; a broken tunnel is a broken connection.
package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// chunk is the size of the messages that carry a connection's data, in bytes.
const chunk = 16 << 10

// Client is a tunnel at the box that opened it.
type Client = grpc.BidiStreamingClient[wire.TunnelRequest, wire.TunnelReply]

// Server is a tunnel at the box that connects to the endpoint.
type Server = grpc.BidiStreamingServer[wire.TunnelRequest, wire.TunnelReply]

// Open opens a tunnel, sends the first message, and waits until the other box has connected to the endpoint. The returned
// function ends the tunnel, which outlives ctx.
//
// Data must only be sent after that reply: until then gRPC may open the stream once more by itself and replay what was sent,
// and the endpoint would get it from two connections. An error therefore means that no data was sent.
func Open(ctx context.Context, timeout time.Duration, open func(context.Context) (Client, error), first *wire.TunnelRequest) (Client, context.Context, context.CancelFunc, error) {
	inner, cancel := context.WithCancel(context.Background())
	unconnected := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(timeout, cancel)
	stream, err := open(inner)
	if err == nil {
		err = stream.Send(first)
	}
	if err == nil || errors.Is(err, io.EOF) { // after EOF, Recv returns the reason
		_, err = stream.Recv()
	}
	if !timer.Stop() || !unconnected() {
		err = errors.New("tunnel: the box did not connect in time")
	}
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	return stream, inner, cancel, nil
}

// Copy copies data between a tunnel and a connection until either side closes it. It returns nil only if the endpoint closed the
// connection: a response that is broken off must not look complete.
func Copy(stream Server, c net.Conn) error {
	c = engine.DetectResets(c)
	go func() { // ends with the stream, which ends when this function returns
		defer c.Close() // ends the reads below
		hasEnded := false
		for {
			m, err := stream.Recv()
			if err != nil {
				return
			}
			if hasEnded { // a whole response may have come before; the reads below end after it
				continue
			}
			if _, err = c.Write(m.GetData()); err != nil && !engine.HasEnded(c, err) {
				return
			}
			hasEnded = err != nil
		}
	}()
	b := make([]byte, chunk)
	for {
		n, err := c.Read(b)
		if n > 0 {
			if sendErr := stream.Send(&wire.TunnelReply{Data: bytes.Clone(b[:n])}); sendErr != nil {
				return sendErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil // the stream's context ends with it, and so does the other direction
		case err != nil:
			return status.Error(codes.Aborted, err.Error())
		}
	}
}

// Conn is a connection to an endpoint through another box. It implements net.Conn.
type Conn struct {
	stream Client
	cancel context.CancelFunc
	remote string
	closed func()
	once   sync.Once

	ended  atomic.Bool // Close has been called
	unread []byte      // used by Read only

	mu       sync.Mutex
	timer    *time.Timer // of the read deadline; nil: none
	deadline time.Time   // of reads; zero: none
}

// NewConn returns the connection over a tunnel to an endpoint's address. closed is called once, by Close.
func NewConn(stream Client, cancel context.CancelFunc, remote string, closed func()) *Conn {
	return &Conn{stream: stream, cancel: cancel, remote: remote, closed: closed}
}

// Read implements net.Conn. It returns io.EOF only if the endpoint closed the connection.
func (c *Conn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		reply, err := c.stream.Recv()
		if err != nil && c.readExpired() {
			return 0, os.ErrDeadlineExceeded
		}
		if err != nil {
			return 0, err
		}
		c.unread = reply.GetData()
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn. It sends nothing once Close has been called; the stream itself would, since gRPC learns in another
// goroutine that it has been cancelled.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if c.ended.Load() {
			return written, net.ErrClosed
		}
		part := b[written:min(len(b), written+chunk)]
		if err := c.stream.Send(&wire.TunnelRequest{Data: bytes.Clone(part)}); err != nil {
			return written, errors.Wrap(err, "tunnel: write through another box")
		}
		written += len(part)
	}
	return written, nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.ended.Store(true)
		_ = c.SetReadDeadline(time.Time{}) // it returns nil
		c.cancel()
		c.closed()
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return address("tunnel") }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline implements net.Conn. It is not supported; requests end by their contexts.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn. A read that its deadline ends also ends the stream: no later one succeeds.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if c.deadline = t; !t.IsZero() {
		c.timer = time.AfterFunc(time.Until(t), c.cancel)
	}
	return nil
}

// readExpired reports whether the read deadline has passed.
func (c *Conn) readExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// SetWriteDeadline implements net.Conn. It is not supported.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// address is the address of a Conn.
type address string

// Network implements net.Addr.
func (address) Network() string { return "tunnel" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
