// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"cairnwick.example/engine"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// silence watches the connection to one peer, and closes it when it is silent, so that the
// next call opens another. Calls that are on it then fail at once.
type silence struct {
	dial engine.DialFunc
	most time.Duration // without a byte while calls wait; zero: for ever

	mu    sync.Mutex
	conn  *heardConn // the latest one; nil before the first
	asked time.Time  // since then nothing was read on conn, though calls were begun
}

// heardConn tells when something is read.
type heardConn struct {
	net.Conn

	silence *silence
}

// Read implements net.Conn.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.silence.heard(c)
	}
	return n, err
}

// connect opens a connection for gRPC.
func (s *silence) connect(ctx context.Context, address string) (net.Conn, error) {
	c, err := s.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	h := &heardConn{Conn: c, silence: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.asked = h, time.Time{}
	return h, nil
}

func (s *silence) heard(c *heardConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == s.conn {
		s.asked = time.Time{}
	}
}

// begin notes a call, or a stream that waits for a message, which the other side should
// answer soon.
func (s *silence) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asked.IsZero() {
		s.asked = time.Now()
	}
}

// timedOut closes the connection if nothing was read for long while calls waited. It is
// asked when one of them has ended without an answer: a call may wait long for good reason.
func (s *silence) timedOut() {
	s.mu.Lock()
	c, silent := s.conn, s.most > 0 && !s.asked.IsZero() && time.Since(s.asked) >= s.most
	if silent {
		s.asked = time.Time{}
	}
	s.mu.Unlock()
	if silent && c != nil {
		_ = c.Close() // gRPC sees it and tells those who wait
	}
}

func (s *silence) unary(ctx context.Context, method string, question, answer any, c *grpc.ClientConn, call grpc.UnaryInvoker, o ...grpc.CallOption) error {
	s.begin()
	err := call(ctx, method, question, answer, c, o...)
	if status.Code(err) == codes.DeadlineExceeded {
		s.timedOut()
	}
	return err
}

func (s *silence) stream(ctx context.Context, d *grpc.StreamDesc, c *grpc.ClientConn, method string, open grpc.Streamer, o ...grpc.CallOption) (grpc.ClientStream, error) {
	s.begin()
	stream, err := open(ctx, d, c, method, o...)
	if err != nil {
		return nil, err
	}
	return &heardStream{ClientStream: stream, silence: s}, nil
}

// heardStream watches the messages of a stream.
type heardStream struct {
	grpc.ClientStream

	silence *silence
}

// RecvMsg implements grpc.ClientStream. A stream whose messages come too late is cancelled
// by who reads it.
func (s *heardStream) RecvMsg(m any) error {
	s.silence.begin()
	err := s.ClientStream.RecvMsg(m)
	if c := status.Code(err); c == codes.DeadlineExceeded || c == codes.Canceled {
		s.silence.timedOut()
	}
	return err
}
