// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/member"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// tunnelPair starts two boxes and an endpoint that handles each connection with serve. stop stops the helping box.
func tunnelPair(c *quicktest.C, serve func(net.Conn)) (asking, helping *Node, e *topology.Endpoint, stop func() error) {
	nodes, stop := tunnelNodes(c, serve, 2, nil)
	return nodes[0], nodes[1], nodes[1].view.Endpoint("e/1"), stop
}

// Guards against a refusal by the endpoint itself that is lost among boxes that help.
func TestRefusalByTheEndpointIsReturned(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	nodes, _ := tunnelNodes(c, func(conn net.Conn) { _ = conn.Close() }, 4, func(n *Node) {
		n.Dial = func(_ context.Context, network, _ string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
	})
	_, err := nodes[0].relay.Dial(context.Background(), nodes[0].view.Endpoint("e/1"))
	c.Check(errors.Is(err, syscall.ECONNREFUSED), quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// tunnelNodes starts boxes and an endpoint that handles each connection with serve. stop stops the last box.
func tunnelNodes(c *quicktest.C, serve func(net.Conn), boxes int, configure func(*Node)) (nodes []*Node, stop func() error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() { // ends when the listener is closed
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	var seeds []string
	for i := range boxes {
		n := newNode(c, fmt.Sprintf("box-%d", i+1), seeds...)
		seeds = []string{n.Settings.Peers}
		if i > 0 {
			n.Settings.Bounds.Grace = 20 * time.Second
		}
		n.Source, n.Decoder = modelSource{}, addressedDecoder{address: l.Addr().String()}
		if configure != nil {
			configure(n)
		}
		nodes = append(nodes, n)
		stop = sync.OnceValue(start(n))
		c.Cleanup(func(stop func() error) func() { return func() { c.Check(stop(), quicktest.IsNil) } }(stop))
	}
	for _, n := range nodes {
		for string(variablesOf(c, n)["edge_members"]) != fmt.Sprintf(`{"alive":%d}`, boxes) || n.view.Endpoint("e/1") == nil {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nodes, stop
}

// Guards against a helping box that has just been cut off itself, and whose refused connection counts as the endpoint's
// refusal.
func TestRefusedConnectionOfOneHelperIsNotTheEndpointsRefusal(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	links := make(map[string]*testLink)
	nodes, _ := tunnelNodes(c, func(conn net.Conn) { _ = conn.Close() }, 3, func(n *Node) {
		l := newTestLink()
		links[n.Settings.Box], n.Dial = l, l.dial
	})
	asking, e := nodes[0], nodes[0].view.Endpoint("e/1")
	links[asking.relay.candidates(clock.Now())[0].Name()].set(refuse)
	conn, err := asking.relay.Dial(context.Background(), e)
	c.Assert(err, quicktest.IsNil)
	c.Check(conn.Close(), quicktest.IsNil)
}

func TestTunnelCarriesDataUnchangedInBothDirections(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	asking, helping, e, _ := tunnelPair(c, func(conn net.Conn) {
		defer conn.Close()
		_, _ = io.CopyN(conn, conn, 3<<20)
	})
	conn, err := asking.relay.Dial(context.Background(), e)
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	sent := bytes.Repeat([]byte("0123456789abcdef"), 3<<16)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(sent)
		written <- err
	}()
	received, err := io.ReadAll(conn) // until the endpoint closes the connection
	c.Assert(err, quicktest.IsNil)
	c.Check(<-written, quicktest.IsNil)
	c.Check(bytes.Equal(received, sent), quicktest.IsTrue)
	for helping.tunnels.open.Load() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
}

// A response without a length ends with its connection: one that is reset must not look complete.
func TestReadFromResetTunnelFails(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	asking, _, e, _ := tunnelPair(c, func(conn net.Conn) {
		_, _ = conn.Write([]byte("part"))
		_, _ = conn.Read(make([]byte, 1)) // until the test has read the part
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	conn, err := asking.relay.Dial(context.Background(), e)
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	b := make([]byte, 4)
	_, err = io.ReadFull(conn, b)
	c.Assert(err, quicktest.IsNil)
	_, err = conn.Write([]byte("x"))
	c.Assert(err, quicktest.IsNil)
	_, err = conn.Read(b)
	c.Assert(err, quicktest.IsNotNil)
	c.Check(errors.Is(err, io.EOF), quicktest.IsFalse)
}

func TestClosedTunnelClosesTheConnectionToTheEndpoint(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	closed := make(chan string, 1000) // what was read from a connection until it was closed; probes send nothing
	asking, _, e, _ := tunnelPair(c, func(conn net.Conn) {
		read, _ := io.ReadAll(conn)
		closed <- string(read)
	})
	conn, err := asking.relay.Dial(context.Background(), e)
	c.Assert(err, quicktest.IsNil)
	_, err = conn.Write([]byte("request"))
	c.Assert(err, quicktest.IsNil)
	time.Sleep(50 * time.Millisecond) // closing it cancels what has not been sent
	c.Assert(conn.Close(), quicktest.IsNil)
	for read := range closed {
		if read == "request" {
			break
		}
	}
}

func TestTunnelWorksWhileItsBoxShutsDown(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	asking, helping, e, _ := tunnelPair(c, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	conn, err := asking.relay.Dial(context.Background(), e)
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	helping.peers.table.Leave()
	helping.peers.loop.NotifyNeighbours()
	for m, _ := asking.peers.table.Find("box-2"); m.State() != member.Leaving; m, _ = asking.peers.table.Find("box-2") {
		time.Sleep(20 * time.Millisecond)
	}
	_, err = conn.Write([]byte("echo"))
	c.Assert(err, quicktest.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 4))
	c.Check(err, quicktest.IsNil)
	_, err = asking.relay.Dial(context.Background(), e) // new ones go elsewhere
	c.Check(errors.Is(err, forward.ErrNoRelay), quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// A box that shuts down carries the requests of others until they have ended.
func TestTunnelOutlivesTheCallersOfItsBox(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	asking, helping, e, stop := tunnelPair(c, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	conn, err := asking.relay.Dial(context.Background(), e)
	c.Assert(err, quicktest.IsNil)
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	for { // until the box accepts no callers
		probe, err := net.Dial("tcp", helping.Settings.Callers)
		if err != nil {
			break
		}
		c.Assert(probe.Close(), quicktest.IsNil)
		time.Sleep(20 * time.Millisecond)
	}
	_, err = conn.Write([]byte("echo"))
	c.Assert(err, quicktest.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 4))
	c.Check(err, quicktest.IsNil)
	c.Assert(conn.Close(), quicktest.IsNil)
	c.Check(<-stopped, quicktest.IsNil)
}

// A box without room for more connections of others, or without the endpoint in its view, declines, so that another is asked.
func TestBoxDeclinesTunnels(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	asking, helping, e, _ := tunnelPair(c, func(conn net.Conn) { _ = conn.Close() })
	unknown := topology.NewEndpoint(topology.EndpointSpec{ID: "e/9", Service: "llm", Address: e.Address(), DataCentre: "dc"})
	_, err := asking.relay.Dial(context.Background(), unknown)
	c.Check(errors.Is(err, forward.ErrNoRelay), quicktest.IsTrue, quicktest.Commentf("%v", err))
	time.Sleep(declinedTime)
	helping.tunnels.open.Add(helping.tunnels.most)
	_, err = asking.relay.Dial(context.Background(), e)
	c.Check(errors.Is(err, forward.ErrNoRelay), quicktest.IsTrue, quicktest.Commentf("%v", err))
	helping.tunnels.open.Add(-helping.tunnels.most)
}
