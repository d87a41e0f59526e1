// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/transfer"
	"github.com/pkg/errors"
)

// ErrExpired means that a grant or lease expired before the request was written;
// nothing was sent.
var ErrExpired = errors.New("engine: grant or lease expired before the request was written")

// guardedConn fails the first write of a request if its time has passed, and records
// whether any byte of the request was passed to the operating system. It discards
// responses to other requests.
type guardedConn struct {
	net.Conn

	// Used by Read alone:
	received []byte     // received and not yet read
	headLeft int        // the start of it that belongs to the head of the current response
	body     bodyReader // of the current response
	failed   error      // ends the connection, since a response is not believed

	mu         sync.Mutex
	sendBy     time.Time // limit for the current request's first write; zero: none
	writeBegun bool      // some of the current request may have been sent
	awaits     awaited   // its response
}

// startRequest prepares the connection for the next request.
func (c *guardedConn) startRequest(method string, sendBy time.Time, id ResponseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBy = sendBy
	c.writeBegun = false
	c.awaits.await(method, id)
}

func (c *guardedConn) requestSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeBegun
}

// Write implements net.Conn. It checks the time immediately before the system call.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	first := !c.writeBegun
	late := first && !c.sendBy.IsZero() && clock.Now().After(c.sendBy)
	if !late {
		c.writeBegun = true
	}
	c.mu.Unlock()
	if late {
		return 0, ErrExpired
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && isClosedByPeer(err) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writeBegun = false
	}
	return n, err
}

// isClosedByPeer reports whether a write failed because the peer had closed the connection, as one of a process that has ended.
func isClosedByPeer(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport for endpoints. It opens connections with dial, keeps
// them alive, uses no compression and supports the time limit of Send.
func NewTransport(dial DialFunc, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     90 * time.Second,
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,

		MaxResponseHeaderBytes: transfer.MaxHeadBytes,
	}
}

// Send sends one request to an endpoint, by sendBy or not at all, and at most once:
// automatic retries of net/http are disabled. Without a response it returns a
// *NoResponseError, which says whether any byte may have been sent. A response of any
// status is returned unchanged; the caller must close its body.
//
// Responses with the ID of another request that come before the response are discarded, a few of them and short ones. The
// caller must compare the ID of the response, since more of them end that. After a response without an ID the connection is
// closed. A response that readers of HTTP read differently counts as none: ErrAmbiguousResponse.
func Send(client *http.Client, req *http.Request, sendBy time.Time, id ResponseID) (*http.Response, error) {
	req.GetBody = nil // net/http cannot retry without it
	var mu sync.Mutex
	var conn *guardedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		guarded, ok := info.Conn.(*guardedConn)
		if !ok {
			return
		}
		guarded.startRequest(req.Method, sendBy, id)
		mu.Lock()
		conn = guarded
		mu.Unlock()
	}}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	mu.Lock()
	defer mu.Unlock()
	return nil, &NoResponseError{Sent: conn != nil && conn.requestSent(), Cause: err}
}
