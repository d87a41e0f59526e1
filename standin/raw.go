// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// RawServer sends bytes of its owner's choice in the place of a response, and ends the connection as its owner chooses. Set the
// exported fields before Start.
type RawServer struct {
	// Respond returns what is sent once the head of a request has been read.
	Respond func(r *http.Request) string
	// End ends the connection; unread is the rest of the request.
	End func(c *net.TCPConn, unread io.Reader)

	listener net.Listener
	serving  sync.WaitGroup
	requests atomic.Int64
	open     atomic.Int64
}

// Start begins to serve, and returns the address.
func (s *RawServer) Start() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "standin: start raw server")
	}
	s.listener = l
	s.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed by Close
			}
			s.serving.Go(func() { s.serve(c.(*net.TCPConn)) })
		}
	})
	return l.Addr().String(), nil
}

// Close ends the server, and waits for the connections that its clients still have open.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.serving.Wait()
}

// Requests returns how many requests were read.
func (s *RawServer) Requests() int64 { return s.requests.Load() }

// Open returns how many connections are open.
func (s *RawServer) Open() int64 { return s.open.Load() }

// serve serves the only request of a connection.
func (s *RawServer) serve(c *net.TCPConn) {
	s.open.Add(1)
	defer s.open.Add(-1)
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // nothing was sent
	}
	s.requests.Add(1)
	if _, err := io.WriteString(c, s.Respond(r)); err != nil {
		return
	}
	s.End(c, r.Body)
}

// EndReset resets the connection.
func EndReset(c *net.TCPConn, _ io.Reader) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// EndUnread closes the connection, which resets it if some of the request has arrived unread.
func EndUnread(c *net.TCPConn, _ io.Reader) { _ = c.Close() }

// EndRead closes the connection once the request has been read.
func EndRead(c *net.TCPConn, unread io.Reader) {
	_, _ = io.Copy(io.Discard, unread)
	_ = c.Close()
}

// EndEarly closes the server's side of the connection, and goes on reading.
func EndEarly(c *net.TCPConn, _ io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// EndEarlyThenReset closes the server's side of the connection, and resets it while the request is still being written.
func EndEarlyThenReset(c *net.TCPConn, unread io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, unread, 64<<10)
	EndReset(c, unread)
}

// KeepOpen waits until the client closes the connection.
func KeepOpen(c *net.TCPConn, _ io.Reader) { _, _ = io.Copy(io.Discard, c) }
