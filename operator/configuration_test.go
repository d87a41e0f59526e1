// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/daemon"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// headServer is a daemon that returns a head a number of times and then reports that the deadline of the call has
// passed.
type headServer struct {
	wire.UnimplementedPeerServer
	head    catalog.Head
	answers int64
	calls   atomic.Int64
}

// FetchHead implements the Peer service.
func (s *headServer) FetchHead(context.Context, *wire.FetchHeadRequest) (*wire.Document, error) {
	if s.calls.Add(1) > s.answers {
		return nil, status.Error(codes.DeadlineExceeded, "deadline exceeded")
	}
	return &wire.Document{Body: s.head.Raw()}, nil
}

func startHeadServer(c *quicktest.C, s *headServer) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := grpc.NewServer()
	wire.RegisterPeerServer(server, s)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	c.Cleanup(func() {
		server.Stop()
		c.Check(<-done, quicktest.IsNil)
	})
	return l.Addr().String()
}

func newHead(c *quicktest.C, text string) catalog.Head {
	h, err := catalog.NewHead(catalog.Head{}, map[string][]byte{"shard": []byte(text)})
	c.Assert(err, quicktest.IsNil)
	return h
}

// Guards against a lost result: a daemon had another head in every complete round, then its call failed at the time
// limit before ctx had ended in this process, and WaitForHead reported the daemon as unreachable instead of behind.
func TestWaitForHeadKeepsTheLastCompleteRound(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	client, err := New(&daemon.Identity{})
	c.Assert(err, quicktest.IsNil)
	defer client.Close()
	s := &headServer{head: newHead(c, "other"), answers: 2}
	address := startHeadServer(c, s)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	behind, unreachable := client.WaitForHead(ctx, []string{address}, newHead(c, "wanted"))
	c.Check(s.calls.Load() > s.answers, quicktest.IsTrue)
	c.Check(unreachable, quicktest.HasLen, 0)
	c.Assert(behind, quicktest.HasLen, 1)
	c.Check(behind[address].Digest(), quicktest.Equals, s.head.Digest())
}

// A daemon that stops answering long before the time limit of ctx is unreachable, whatever it reported before.
func TestWaitForHeadReportsADaemonThatStopsAnswering(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	client, err := New(&daemon.Identity{})
	c.Assert(err, quicktest.IsNil)
	defer client.Close()
	address := startHeadServer(c, &headServer{head: newHead(c, "other"), answers: 1})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	behind, unreachable := client.WaitForHead(ctx, []string{address}, newHead(c, "wanted"))
	c.Check(behind, quicktest.HasLen, 0)
	c.Assert(unreachable, quicktest.HasLen, 1)
	c.Check(status.Code(unreachable[0].Cause), quicktest.Equals, codes.DeadlineExceeded)
}
