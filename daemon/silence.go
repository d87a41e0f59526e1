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

// silenceMonitor watches the connection to one peer, and closes it when it is silent, so that the
// next call opens another. Calls that are on it then fail at once.
type silenceMonitor struct {
	dial    engine.DialFunc
	timeout time.Duration // without a byte while calls wait; zero: for ever

	mu           sync.Mutex
	conn         *monitoredConn // the latest one; nil before the first
	waiting      int            // calls and streams that wait for something from the other side
	waitingSince time.Time      // since then nothing was read on conn, though calls wait; zero: none does, or something was
}

// monitoredConn tells when something is read.
type monitoredConn struct {
	net.Conn

	monitor *silenceMonitor
}

// Read implements net.Conn.
func (c *monitoredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.monitor.received(c)
	}
	return n, err
}

// dialContext opens a connection for gRPC.
func (s *silenceMonitor) dialContext(ctx context.Context, address string) (net.Conn, error) {
	c, err := s.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	monitored := &monitoredConn{Conn: c, monitor: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.waitingSince = monitored, time.Time{}
	return monitored, nil
}

func (s *silenceMonitor) received(c *monitoredConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == s.conn {
		s.waitingSince = time.Time{}
	}
}

// callStarted notes a call, or a stream that waits for a message, which the other side should
// answer soon.
func (s *silenceMonitor) callStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	if s.waitingSince.IsZero() {
		s.waitingSince = time.Now()
	}
}

// callEnded notes how a call or a wait callEnded. Without an answer, the connection is closed if
// nothing was read for long while calls waited: one may wait long for good reason. A call
// that its caller gave up says nothing of a connection on which no other waits; one that
// timed out does.
func (s *silenceMonitor) callEnded(c codes.Code) {
	s.mu.Lock()
	s.waiting--
	unanswered := c == codes.DeadlineExceeded || c == codes.Canceled
	silent := unanswered && s.timeout > 0 && !s.waitingSince.IsZero() && time.Since(s.waitingSince) >= s.timeout
	if silent || (s.waiting == 0 && c != codes.DeadlineExceeded) {
		s.waitingSince = time.Time{}
	}
	conn := s.conn
	s.mu.Unlock()
	if silent && conn != nil {
		_ = conn.Close() // gRPC sees it and tells those who wait
	}
}

func (s *silenceMonitor) unary(ctx context.Context, method string, request, reply any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, o ...grpc.CallOption) error {
	s.callStarted()
	err := invoke(ctx, method, request, reply, c, o...)
	s.callEnded(status.Code(err))
	return err
}

func (s *silenceMonitor) stream(ctx context.Context, d *grpc.StreamDesc, c *grpc.ClientConn, method string, open grpc.Streamer, o ...grpc.CallOption) (grpc.ClientStream, error) {
	s.callStarted()
	stream, err := open(ctx, d, c, method, o...)
	s.callEnded(status.Code(err))
	if err != nil {
		return nil, err
	}
	return &monitoredStream{ClientStream: stream, silence: s}, nil
}

// monitoredStream watches the messages of a stream.
type monitoredStream struct {
	grpc.ClientStream

	silence *silenceMonitor
}

// RecvMsg implements grpc.ClientStream. A stream whose messages come too late is cancelled
// by who reads it.
func (s *monitoredStream) RecvMsg(m any) error {
	s.silence.callStarted()
	err := s.ClientStream.RecvMsg(m)
	s.silence.callEnded(status.Code(err))
	return err
}
