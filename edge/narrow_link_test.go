// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"crypto/rand"
	"net"
	"testing"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/share"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// narrowConn reads at a limited rate.
type narrowConn struct {
	net.Conn

	rate int // bytes per second
}

// Read implements net.Conn.
func (c narrowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 2<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
	return n, err
}

// Guards against a box that gets the same large fact again and again, since its stream counts as broken while the fact arrives.
func TestLargeFactArrivesOverNarrowLink(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const rate, size = 64 << 10, 128 << 10 // two seconds
	large := make([]byte, size)
	_, err := rand.Read(large) // can't be compressed
	c.Assert(err, quicktest.IsNil)
	source := share.NewTable()
	source.Merge(&wire.Item{Key: "config", Version: 3, Value: large})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := grpc.NewServer()
	wire.RegisterShareServer(server, shareServer{node: &Node{shared: &share.Server{Table: source, ReadStatus: func() (share.ReadStatus, bool) { return share.ReadStatus{}, true }}}})
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	defer func() {
		server.Stop()
		c.Check(<-done, quicktest.IsNil)
	}()
	n := newNode(c, "box-2")
	ended := 0
	n.Log = funcr.New(func(_, args string) {
		ended++
		c.Log(args)
	}, funcr.Options{})
	n.build()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return narrowConn{Conn: conn, rate: rate}, err
	}
	n.peers.dialer = &daemon.Dialer{Credentials: insecure.NewCredentials(), Dial: dial, SilenceTimeout: connSilenceLimit}
	defer n.peers.dialer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		n.peers.follow(ctx, followTarget{name: "box-1", address: l.Addr().String(), everything: true})
	}()
	for n.items.Version("config") == 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(n.items.Version("config"), quicktest.Equals, uint64(3))
	cancel()
	<-followed
	c.Check(ended, quicktest.Equals, 0)
}
