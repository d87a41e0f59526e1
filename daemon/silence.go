// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// silenceMonitor closes the connection to a peer when nothing is received on it although
// calls are waiting. The next call opens another connection; the waiting calls fail at once.
type silenceMonitor struct {
	dial    engine.DialFunc
	timeout time.Duration // without received data while calls wait; zero: no limit

	mu           sync.Mutex
	conn         *monitoredConn // the current one; nil before the first
	waiting      int            // calls and streams that wait for the peer
	waitingSince time.Time      // when calls began to wait without anything read on conn; zero: no such wait
	receivedAt   time.Time      // when data was last read on any connection to the peer, by package clock; zero: never
}

// monitoredConn reports received data to its monitor.
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

// received records that data was read on c.
func (s *silenceMonitor) received(c *monitoredConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedAt = clock.Now()
	if c == s.conn {
		s.waitingSince = time.Time{}
	}
}

// lastReceived returns when data was last read from the peer.
func (s *silenceMonitor) lastReceived() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receivedAt
}

// callStarted records the start of a call, or of a stream's wait for a message, that the peer
// should answer soon.
func (s *silenceMonitor) callStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	if s.waitingSince.IsZero() {
		s.waitingSince = time.Now()
	}
}

// callEnded records the end of a call or wait. If it ended without an answer, and nothing was
// received for the timeout while calls were waiting, the connection is closed. One call alone may
// wait longer for good reason, as long as others are answered. A call that its caller cancelled is
// no sign of a silent connection if no other call is waiting; one that timed out is.
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
		_ = conn.Close() // gRPC notices and fails the waiting calls
	}
}

// unary is a grpc.UnaryClientInterceptor.
func (s *silenceMonitor) unary(ctx context.Context, method string, request, reply any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, o ...grpc.CallOption) error {
	s.callStarted()
	err := invoke(ctx, method, request, reply, c, o...)
	s.callEnded(status.Code(err))
	return err
}

// stream is a grpc.StreamClientInterceptor.
func (s *silenceMonitor) stream(ctx context.Context, d *grpc.StreamDesc, c *grpc.ClientConn, method string, open grpc.Streamer, o ...grpc.CallOption) (grpc.ClientStream, error) {
	s.callStarted()
	stream, err := open(ctx, d, c, method, o...)
	s.callEnded(status.Code(err))
	if err != nil {
		return nil, err
	}
	return &monitoredStream{ClientStream: stream, silence: s}, nil
}

// monitoredStream reports a stream's waits for messages to its monitor.
type monitoredStream struct {
	grpc.ClientStream

	silence *silenceMonitor
}

// RecvMsg implements grpc.ClientStream. The reader of a stream cancels it when messages are
// overdue, which counts as a call without an answer.
func (s *monitoredStream) RecvMsg(m any) error {
	s.silence.callStarted()
	err := s.ClientStream.RecvMsg(m)
	s.silence.callEnded(status.Code(err))
	return err
}
