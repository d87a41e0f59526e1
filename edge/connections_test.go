// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// keepAliveConn is a caller's keep-alive connection.
type keepAliveConn struct {
	net.Conn

	in *bufio.Reader
}

func dialKeepAlive(c *quicktest.C, address string) keepAliveConn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), quicktest.IsNil)
	return keepAliveConn{Conn: conn, in: bufio.NewReader(conn)}
}

// request sends a request and reads the response.
func (k keepAliveConn) request() error {
	if _, err := io.WriteString(k, "GET / HTTP/1.1\r\nHost: site.example\r\n\r\n"); err != nil {
		return err
	}
	a, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// Guards against running out of file descriptors: callers kept so many idle connections open that the box accepted no
// new ones, though it reported that it was ready.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	const most, more = 4, 3
	c := quicktest.New(t)
	used := make(chan struct{})
	n := newIdleCloser(most)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-used
		}
	}))
	s.Config.ConnState = n.connStateChanged
	s.Start()
	defer s.Close()
	free := sync.OnceFunc(func() { close(used) })
	defer free()
	address := s.Listener.Addr().String()
	held := dialKeepAlive(c, address) // the oldest, but active
	_, err := io.WriteString(held, "GET /held HTTP/1.1\r\nHost: site.example\r\n\r\n")
	c.Assert(err, quicktest.IsNil)
	n.await(c, 1, 0)
	var kept []keepAliveConn
	for i := range most + more - 1 {
		k := dialKeepAlive(c, address)
		c.Assert(k.request(), quicktest.IsNil)
		kept = append(kept, k)
		n.await(c, min(i+2, most), min(i+1, most-1))
	}
	for i, k := range kept {
		if i < more {
			_, err := k.in.ReadByte()
			c.Check(err, quicktest.Equals, io.EOF)
			continue
		}
		c.Check(k.request(), quicktest.IsNil)
	}
	free()
	a, err := http.ReadResponse(held.in, nil)
	c.Assert(err, quicktest.IsNil)
	a.Body.Close()
}

// await waits until the given numbers of connections are open and idle: the server reports both after its response.
func (c *idleCloser) await(t *quicktest.C, open, rest int) {
	counts := func() [2]int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return [2]int{c.open, c.idle.Len()}
	}
	for until := time.Now().Add(5 * time.Second); counts() != [2]int{open, rest}; time.Sleep(time.Millisecond) {
		t.Assert(time.Now().Before(until), quicktest.IsTrue, quicktest.Commentf("%v connections are open and idle", counts()))
	}
}
