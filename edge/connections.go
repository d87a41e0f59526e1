// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConnDivisor is the divisor that gives the share of the box's file descriptors that callers' connections may
// use before the longest idle ones are closed. Callers keep idle connections for up to 90 s, and a box that has run
// out of descriptors accepts no connection, though it reports that it is ready. The other half is for endpoints: a
// quarter for the connections of requests in flight, and a quarter for idle ones.
const callerConnDivisor = 2

// maxAuxiliaryConns is the connection limit of the readiness server and of the metrics server. A client that opens a
// new connection for each request stays within it, since the oldest idle ones are closed.
const maxAuxiliaryConns = 64

// idleCloser closes idle connections of one server while too many are open. It never rejects a new connection and
// never closes an active one.
type idleCloser struct {
	maxOpen int // open connections above which idle ones are closed

	mu       sync.Mutex
	open     int
	idle     *list.List                 // of net.Conn; the longest idle first
	elements map[net.Conn]*list.Element // elements of idle; active connections have none
}

func newIdleCloser(maxOpen int) *idleCloser {
	return &idleCloser{maxOpen: maxOpen, idle: list.New(), elements: make(map[net.Conn]*list.Element)}
}

// connStateChanged is the ConnState hook of an http.Server.
func (c *idleCloser) connStateChanged(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.elements[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.elements, conn)
	}
	switch s {
	case http.StateNew:
		c.open++
		c.closeLongestIdleLocked()
	case http.StateIdle:
		c.elements[conn] = c.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// closeLongestIdleLocked closes the longest idle connection if too many are open. It does so by a read deadline in the
// past, which ends the server's pending read. If a request has just arrived, the server sets a new read deadline and
// answers it.
func (c *idleCloser) closeLongestIdleLocked() {
	e := c.idle.Front()
	if c.open <= c.maxOpen || e == nil {
		return
	}
	conn := c.idle.Remove(e).(net.Conn)
	delete(c.elements, conn)
	_ = conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is already closed
}
