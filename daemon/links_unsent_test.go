// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/engine"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// cuttingConn has its box cut off at the first write, before or after the bytes are passed on.
type cuttingConn struct {
	net.Conn

	cut    func()
	before bool
}

// Write implements net.Conn.
func (c cuttingConn) Write(b []byte) (int, error) {
	if c.before {
		c.cut()
		return c.Conn.Write(b)
	}
	defer c.cut()
	return c.Conn.Write(b)
}

// Guards against a request that counts as unsent, or goes through another box, though its box was cut off only when bytes of it had
// been written.
func TestRequestOfABoxThatIsCutOffDuringItsWriteMayHaveBeenSent(t *testing.T) {
	for name, before := range map[string]bool{"before the write": true, "after the write": false} {
		for _, mayAbandon := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				c := quicktest.New(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, quicktest.IsNil)
				defer listener.Close()
				go func() { // ends when the listener is closed
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						_, _ = io.ReadAtLeast(conn, make([]byte, 4<<10), 1)
						time.Sleep(50 * time.Millisecond) // an abandoned request ends sooner
						_ = conn.Close()
					}
				}()
				l := newTestLinks()
				var relayed atomic.Int64
				l.relayed = engine.NewTransport(func(context.Context, string, string) (net.Conn, error) {
					relayed.Add(1)
					return nil, errors.New("no other box")
				}, 0)
				direct := engine.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
					return cuttingConn{Conn: conn, cut: func() { l.setCutOff(true) }, before: before}, err
				}, 0)
				ctx := t.Context()
				if mayAbandon {
					ctx = engine.WithAbandon(ctx)
				}
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/", strings.NewReader("the body"))
				c.Assert(err, quicktest.IsNil)
				_, err = engine.Send(&http.Client{Transport: &linkTransport{links: l, direct: direct}}, r, time.Time{}, engine.ResponseID{})
				var lost *engine.NoResponseError
				c.Assert(errors.As(err, &lost), quicktest.IsTrue, quicktest.Commentf("%v", err))
				c.Check(lost.Sent, quicktest.IsTrue, quicktest.Commentf("%v", err))
				c.Check(relayed.Load(), quicktest.Equals, int64(0))
			})
		}
	}
}
