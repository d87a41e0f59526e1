// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/transfer"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// serveHTTP serves until ctx ends, then shuts down gracefully: connections are closed once they are idle, the others
// after the given time. Requests still in flight are cancelled with forward.ErrShutdown shortly before that.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener, timeout time.Duration) error {
	base, cancelRequests := context.WithCancelCause(context.Background())
	defer cancelRequests(nil)
	s.BaseContext = func(net.Listener) context.Context { return base }
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "edge: serve HTTP")
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	cancelTimer := time.AfterFunc(timeout-finalAnswerTime, func() { cancelRequests(forward.ErrShutdown) })
	defer cancelTimer.Stop()
	err := s.Shutdown(shutdown)
	<-served
	if err != nil {
		return errors.Wrap(s.Close(), "edge: close HTTP server")
	}
	return nil
}

// servePeers serves the gRPC calls of other boxes until ctx ends and awaitCalls has returned.
func servePeers(ctx context.Context, s *grpc.Server, l net.Listener, awaitCalls func()) error {
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "edge: serve peers")
	case <-ctx.Done():
		awaitCalls()
		s.Stop()
		return errors.Wrap(<-served, "edge: serve peers")
	}
}

// listeners are the listening sockets of a box.
type listeners struct{ callers, ready, peers, metrics net.Listener }

// callerSendBuffer is the size of the kernel's buffer for what is sent to a caller, in bytes. The kernel grows the buffer to
// megabytes by itself, for each caller that does not read; and a writer can go on only when a third of the buffer is
// free, so that a slow caller with a large one seems to take nothing for many seconds. 128 KB allows 2.5 MB/s over a
// round trip of 50 ms.
const callerSendBuffer = 128 << 10

// limitSendBuffers limits the send buffers of callers' connections if the box has a memory limit.
func (n *Node) limitSendBuffers(l net.Listener) net.Listener {
	if n.Settings.Limits.MemoryMB == 0 {
		return l
	}
	return sendBufferListener{l}
}

// sendBufferListener limits the send buffers of the connections that it accepts.
type sendBufferListener struct{ net.Listener }

// Accept implements net.Listener.
func (l sendBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(callerSendBuffer) // fails only if the connection is already closed
	}
	return c, err
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	for _, p := range []struct {
		name, address string
		into          *net.Listener
	}{
		{"callers", n.Settings.Callers, &l.callers},
		{"readiness", n.Settings.Ready, &l.ready},
		{"peers", n.Settings.Peers, &l.peers},
		{"metrics", n.Settings.Metrics, &l.metrics},
	} {
		opened, err := net.Listen("tcp", p.address)
		if err != nil {
			return l, errors.Wrapf(err, "edge: listen on the address for %s", p.name)
		}
		*p.into = opened
	}
	return l, nil
}

// httpTask returns a task that serves a handler. Idle connections are closed while more than open are open; most bounds
// the shutdown.
func httpTask(h http.Handler, l net.Listener, shutdownTimeout time.Duration, maxOpen int) task {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    transfer.MaxHeadBytes,
		IdleTimeout:       idleTimeout,
		ConnState:         newIdleCloser(maxOpen).connStateChanged,
	}
	return func(ctx context.Context) error { return serveHTTP(ctx, s, l, shutdownTimeout) }
}
