// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// writtenConn records what is written to a connection, write by write.
type writtenConn struct {
	net.Conn

	mu     sync.Mutex
	writes [][]byte
}

// Write implements net.Conn.
func (c *writtenConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writes = append(c.writes, bytes.Clone(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Guards against requests whose head and body are written apart, and against chunks in the place of an empty body.
func TestRequestIsWrittenAtOnceAndWithItsLength(t *testing.T) {
	for _, k := range []struct{ method, body, length string }{
		{http.MethodPost, "the body", "Content-Length: 8\r\n"},
		{http.MethodPost, "", "Content-Length: 0\r\n"},
		{http.MethodGet, "", ""},
	} {
		s := newSite(t, onceRoute(time.Second))
		s.endpoint(t, answerOK)
		var conn *writtenConn
		s.gateway.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			conn = &writtenConn{Conn: c}
			return conn, err
		}
		r, err := http.NewRequest(k.method, s.server.URL+"/", strings.NewReader(k.body))
		s.c.Assert(err, quicktest.IsNil)
		r.Host = "site.example"
		r.Header.Set("Id", "call-1")
		resp, err := http.DefaultClient.Do(r)
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.Body.Close(), quicktest.IsNil)
		s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
		conn.mu.Lock()
		s.c.Assert(conn.writes, quicktest.HasLen, 1, quicktest.Commentf("%s %q", k.method, k.body))
		written := string(conn.writes[0])
		conn.mu.Unlock()
		s.c.Check(written, quicktest.Contains, k.length)
		s.c.Check(written, quicktest.Not(quicktest.Contains), "Transfer-Encoding")
		s.c.Check(strings.HasSuffix(written, "\r\n\r\n"+k.body), quicktest.IsTrue)
	}
}
