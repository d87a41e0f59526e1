// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"cairnwick.example/forward"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// serveHTTP serves until ctx ends, then closes connections as they rest, at most
// for so long. Requests that are held even then end with forward.ErrEnding just before.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener, most time.Duration) error {
	base, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	s.BaseContext = func(net.Listener) context.Context { return base }
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "edge: serve")
	case <-ctx.Done():
	}
	end, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	told := time.AfterFunc(most-finalAnswerTime, func() { endRequests(forward.ErrEnding) })
	defer told.Stop()
	err := s.Shutdown(end)
	<-served
	if err != nil {
		return errors.Wrap(s.Close(), "edge: close")
	}
	return nil
}

// servePeers serves other boxes until ctx ends.
func servePeers(ctx context.Context, s *grpc.Server, l net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "edge: serve peers")
	case <-ctx.Done():
		s.Stop()
		return errors.Wrap(<-served, "edge: serve peers")
	}
}

// listeners are the sockets of a box.
type listeners struct{ callers, ready, peers, metrics net.Listener }

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
			return l, errors.Wrapf(err, "edge: address for %s", p.name)
		}
		*p.into = opened
	}
	return l, nil
}

// httpTask serves one handler; it closes connections that rest where more than so many are open.
func httpTask(h http.Handler, l net.Listener, most time.Duration, open int) task {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ConnState: newConnections(open).changed}
	return func(ctx context.Context) error { return serveHTTP(ctx, s, l, most) }
}
