// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cairnwick.example/transfer"
	"github.com/pkg/errors"
)

// ErrExpired means that a grant or lease expired before the request was written;
// nothing was sent.
var ErrExpired = errors.New("engine: grant or lease expired before the request was written")

// guardedConn asks the attempt whose request it carries before each write. It discards responses to other requests.
type guardedConn struct {
	net.Conn // of DetectResets

	// Used by Read alone:
	received []byte      // received and not yet read
	headLeft int         // the start of it that belongs to the head of the current response
	body     bodyScanner // of the current response
	failed   error       // ends the connection, since a response is not believed

	mu      sync.Mutex
	attempt *attempt // of the current request; nil before the first
	awaits  awaited  // its response
}

// startRequest prepares the connection for the next request, and reports whether it is the first one. net/http does that only
// after it has written the one before in full.
func (c *guardedConn) startRequest(a *attempt) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = c.attempt == nil
	c.attempt = a
	c.awaits.await(a.method, a.id)
	return first
}

func (c *guardedConn) currentAttempt() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt
}

// Write implements net.Conn. It checks the time immediately before the system call. If the peer has ended the connection after some
// of the request was written, Write returns no error and discards the rest: the peer may have sent a whole response before, and
// net/http would close the connection before it has read that. Reads find out what there is.
func (c *guardedConn) Write(b []byte) (int, error) {
	a := c.currentAttempt()
	if a == nil { // not a request of Send
		return c.Conn.Write(b)
	}
	first, err := a.beginWrite(c)
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	switch {
	case first && n == 0 && isClosedByPeer(err):
		a.undoWrite()
	case HasEnded(c.Conn, err):
		return len(b), nil
	}
	return n, err
}

// HasEnded reports whether a write failed because the other side has ended the connection, which is proven: reads return what was
// received before, and wait for nothing more.
func HasEnded(c net.Conn, writeErr error) bool {
	if errors.Is(writeErr, io.EOF) { // of a connection through another box
		return true
	}
	if !isClosedByPeer(writeErr) {
		return false
	}
	info, err := tcpInfo(c)
	return err == nil && info.State == tcpClose
}

// isClosedByPeer reports whether a write failed because the peer had closed the connection, as one of a process that has ended.
func isClosedByPeer(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport for endpoints. It opens connections with dial, keeps
// them alive, uses no compression and supports the time limit of Send. Its Proxy prevents second tries and must not
// be replaced.
func NewTransport(dial DialFunc, idlePerHost int) *http.Transport {
	return &http.Transport{
		Proxy: refuseSecondTry,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: DetectResets(c)}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     90 * time.Second,
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,

		MaxResponseHeaderBytes: transfer.MaxHeadBytes,
	}
}

// Send sends one request to an endpoint, by sendBy or not at all, and at most once: redirects are not followed, and automatic
// retries of net/http happen only while nothing has been written. Without a response it returns a *NoResponseError, which says
// whether any byte may have been sent: no proof to the contrary means that it may. A response of any status is returned
// unchanged; the caller must close its body.
//
// What was written is known for connections of NewTransport alone. On others a request counts as sent once the transport has a
// connection for it, and sendBy is checked then.
//
// Responses with the ID of another request that come before the response are discarded, a few of them and short ones. The
// caller must compare the ID of the response, since more of them end that. After a response without an ID the connection is
// closed. A response that readers of HTTP read differently counts as none: ErrAmbiguousResponse.
func Send(client *http.Client, req *http.Request, sendBy time.Time, id ResponseID) (*http.Response, error) {
	resp, _, err := sendAttempt(client, req, sendBy, id)
	return resp, err
}

// sendAttempt sends a request as Send does, and returns what is known of its sending; nil if the request had ended before.
func sendAttempt(client *http.Client, req *http.Request, sendBy time.Time, id ResponseID) (*http.Response, *attempt, error) {
	if err := context.Cause(req.Context()); err != nil {
		if req.Body != nil {
			_ = req.Body.Close() // as net/http does; there is nothing more to do with it
		}
		return nil, nil, &NoResponseError{Cause: err}
	}
	req.GetBody = nil // net/http cannot send a body again without it
	a := &attempt{method: req.Method, sendBy: sendBy, id: id, observed: callsTraces(client.Transport)}
	once := *client
	once.CheckRedirect = returnRedirect
	resp, err := once.Do(req.WithContext(a.traced(req.Context())))
	if err != nil {
		return nil, a, a.end(err)
	}
	return resp, a, nil
}

// returnRedirect has net/http return a redirect. It would send a second request by itself, and what is known of that one, such as
// that it was not written, would be reported for the first, which may have been executed.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
