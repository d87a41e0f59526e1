// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// wrappedConn is a connection of which only NetConn shows the socket.
type wrappedConn struct{ net.Conn }

// NetConn returns the connection.
func (c wrappedConn) NetConn() net.Conn { return c.Conn }

// opaqueConn is a connection whose socket cannot be reached.
type opaqueConn struct{ net.Conn }

// Guards against a reset that looks like an orderly close, since a write got the error and reads return a plain end; and against the
// opposite, since a peer that closed in order resets a connection on which more is written.
func TestResetDiffersFromAnOrderlyClose(t *testing.T) {
	const part = "the last bytes"
	send := func(c *net.TCPConn) { _, _ = io.WriteString(c, part) } // a failure shows in the reads
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	for name, k := range map[string]struct {
		peer    func(c *net.TCPConn)
		isReset bool
	}{
		"reset":                          {func(c *net.TCPConn) { readRequest(c); send(c); reset(c) }, true},
		"reset without data":             {func(c *net.TCPConn) { readRequest(c); reset(c) }, true},
		"closed with unread data":        {func(c *net.TCPConn) { time.Sleep(50 * time.Millisecond); send(c); _ = c.Close() }, true},
		"closed":                         {func(c *net.TCPConn) { readRequest(c); send(c); _ = c.Close() }, false},
		"closed without data":            {func(c *net.TCPConn) { readRequest(c); _ = c.Close() }, false},
		"half closed, and not reset yet": {func(c *net.TCPConn) { send(c); _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, false},
		"half closed, then reset": {func(c *net.TCPConn) {
			readRequest(c)
			send(c)
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}, false},
	} {
		for wrapping, wrap := range map[string]func(net.Conn) net.Conn{
			"socket":  func(c net.Conn) net.Conn { return c },
			"wrapped": func(c net.Conn) net.Conn { return wrappedConn{wrappedConn{c}} },
			"opaque":  func(c net.Conn) net.Conn { return opaqueConn{c} },
		} {
			for _, writes := range []int{0, 1, 3} {
				t.Run(name+", "+wrapping, func(t *testing.T) {
					t.Parallel()
					c := quicktest.New(t)
					ended := make(chan bool)
					address := acceptConns(c, func(conn net.Conn) {
						defer close(ended)
						k.peer(conn.(*net.TCPConn))
					})
					raw, err := net.Dial("tcp", address)
					c.Assert(err, quicktest.IsNil)
					conn := DetectResets(wrap(raw))
					defer conn.Close()
					_, err = conn.Write([]byte("request"))
					c.Assert(err, quicktest.IsNil)
					select {
					case <-ended:
					case <-time.After(200 * time.Millisecond): // it waits for the end of this side
					}
					time.Sleep(20 * time.Millisecond) // the peer's last packet arrives
					for range writes {
						_, _ = conn.Write([]byte("more")) // fails after a reset
						time.Sleep(10 * time.Millisecond)
					}
					_, err = io.ReadAll(conn)
					c.Check(err != nil, quicktest.Equals, k.isReset, quicktest.Commentf("%d writes: %v", writes, err))
				})
			}
		}
	}
}

// readRequest reads the request of the test above, so that the end of the connection is no reset.
func readRequest(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, len("request"))) }
