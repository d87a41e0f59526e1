// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"cairnwick.example/clock"
	"github.com/pkg/errors"
)

// ErrExpired says that a grant was not used in time; nothing was sent.
var ErrExpired = errors.New("engine: grant expired before the write")

// guardedConn refuses the first write of a request that comes too late, and
// remembers whether any byte of it was handed to the system.
type guardedConn struct {
	net.Conn

	mu         sync.Mutex
	sendBy     time.Time // of the request under way; zero: none
	writeBegun bool      // a write of it was begun
}

func (c *guardedConn) startRequest(sendBy time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBy = sendBy
	c.writeBegun = false
}

func (c *guardedConn) requestSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeBegun
}

// Write checks the time just before the system call.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	late := !c.writeBegun && !c.sendBy.IsZero() && clock.Now().After(c.sendBy)
	if !late {
		c.writeBegun = true
	}
	c.mu.Unlock()
	if late {
		return 0, ErrExpired
	}
	return c.Conn.Write(b)
}

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns the connections to endpoints: opened by dial, kept open,
// without compression, each write guarded.
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
	}
}

// Send gives one request to an endpoint, by sendBy or not at all, and never a
// second time: net/http is kept from sending it again by itself. Without an
// answer it returns a *LostError, which says whether a byte may have left. An
// answer of any status is returned as it is; the caller closes its body.
func Send(client *http.Client, req *http.Request, sendBy time.Time) (*http.Response, error) {
	req.GetBody = nil // without it net/http cannot send again
	var mu sync.Mutex
	var conn *guardedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		guarded, ok := info.Conn.(*guardedConn)
		if !ok {
			return
		}
		guarded.startRequest(sendBy)
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
