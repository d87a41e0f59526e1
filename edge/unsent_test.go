// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/forward"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against bytes of a request that reach an endpoint although no other box has opened a connection for it, and against a reason
// of the other boxes that is not returned.
func TestRequestIsUnsentIfOtherBoxesOpenNoConnection(t *testing.T) {
	errTimeout := &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("timeout")}
	for _, x := range []struct {
		name    string
		dialErr error // of the box that is asked
		full    bool  // that box has no room
		is      error // the cause
	}{
		{name: "refused", dialErr: &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}, is: syscall.ECONNREFUSED},
		{name: "no answer", dialErr: errTimeout},
		{name: "no room", full: true, is: forward.ErrNoRelay},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			var mu sync.Mutex
			var received strings.Builder
			nodes, _ := tunnelNodes(c, func(conn net.Conn) {
				defer conn.Close()
				text, _ := io.ReadAll(conn)
				mu.Lock()
				defer mu.Unlock()
				received.Write(text)
			}, 2, func(n *Node) {
				n.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					if x.dialErr != nil {
						return nil, x.dialErr
					}
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
			})
			asking, helping := nodes[0], nodes[1]
			if x.full {
				helping.tunnels.open.Add(helping.tunnels.most)
				defer helping.tunnels.open.Add(-helping.tunnels.most)
			}
			e := asking.view.Endpoint("e/1")
			dial := func(ctx context.Context, _, _ string) (net.Conn, error) { return asking.relay.Dial(ctx, e) }
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address()+"/", strings.NewReader("the body"))
			c.Assert(err, quicktest.IsNil)
			_, err = engine.Send(&http.Client{Transport: engine.NewTransport(dial, 0)}, r, time.Time{}, engine.ResponseID{})
			var lost *engine.NoResponseError
			c.Assert(errors.As(err, &lost), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(lost.Sent, quicktest.IsFalse)
			if x.is != nil {
				c.Check(errors.Is(err, x.is), quicktest.IsTrue, quicktest.Commentf("%v", err))
			}
			var opErr *net.OpError
			c.Check(errors.As(err, &opErr), quicktest.Equals, x.dialErr != nil, quicktest.Commentf("%v", err)) // the endpoint is unreachable
			mu.Lock()
			defer mu.Unlock()
			c.Check(received.String(), quicktest.Equals, "")
		})
	}
}
