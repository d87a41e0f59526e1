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

	mu      sync.Mutex
	conn    *heardConn // the latest one; nil before the first
	waiting int        // calls and streams that wait for something from the other side
	asked   time.Time  // since then nothing was read on conn, though calls wait; zero: none does, or something was
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
	s.waiting++
	if s.asked.IsZero() {
		s.asked = time.Now()
	}
}

// ended notes how a call or a wait ended. Without an answer, the connection is closed if
// nothing was read for long while calls waited: one may wait long for good reason. A call
// that its caller gave up says nothing of a connection on which no other waits; one that
// timed out does.
func (s *silence) ended(c codes.Code) {
	s.mu.Lock()
	s.waiting--
	unanswered := c == codes.DeadlineExceeded || c == codes.Canceled
	silent := unanswered && s.most > 0 && !s.asked.IsZero() && time.Since(s.asked) >= s.most
	if silent || (s.waiting == 0 && c != codes.DeadlineExceeded) {
		s.asked = time.Time{}
	}
	conn := s.conn
	s.mu.Unlock()
	if silent && conn != nil {
		_ = conn.Close() // gRPC sees it and tells those who wait
	}
}

func (s *silence) unary(ctx context.Context, method string, question, answer any, c *grpc.ClientConn, call grpc.UnaryInvoker, o ...grpc.CallOption) error {
	s.begin()
	err := call(ctx, method, question, answer, c, o...)
	s.ended(status.Code(err))
	return err
}

func (s *silence) stream(ctx context.Context, d *grpc.StreamDesc, c *grpc.ClientConn, method string, open grpc.Streamer, o ...grpc.CallOption) (grpc.ClientStream, error) {
	s.begin()
	stream, err := open(ctx, d, c, method, o...)
	s.ended(status.Code(err))
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
	s.silence.ended(status.Code(err))
	return err
}
