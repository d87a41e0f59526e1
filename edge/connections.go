// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerPart is the divisor that gives the share of the box's file descriptors that callers' connections may use before
// the longest idle ones are closed. Callers keep idle connections for up to 90 s, and a box that has run out of
// descriptors accepts no connection, though it reports that it is ready. The other half is for endpoints: a quarter for
// the connections of requests in flight, and a quarter for idle ones.
const callerPart = 2

// mostAsking is the connection limit of the readiness server and of the metrics server. A client that opens a new
// connection for each request stays within it, since the oldest idle ones are closed.
const mostAsking = 64

// connections closes idle connections of one server while too many are open. It never rejects a new connection and
// never closes an active one.
type connections struct {
	most int // open connections above which idle ones are closed

	mu   sync.Mutex
	open int
	rest *list.List                 // of net.Conn; the longest idle first
	at   map[net.Conn]*list.Element // elements of rest; active connections have none
}

func newConnections(most int) *connections {
	return &connections{most: most, rest: list.New(), at: make(map[net.Conn]*list.Element)}
}

// changed is the ConnState hook of an http.Server.
func (c *connections) changed(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.at[conn]; e != nil {
		c.rest.Remove(e)
		delete(c.at, conn)
	}
	switch s {
	case http.StateNew:
		c.open++
		c.closeLongestLocked()
	case http.StateIdle:
		c.at[conn] = c.rest.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// closeLongestLocked closes the longest idle connection if too many are open. It does so by a read deadline in the
// past, which ends the server's pending read. If a request has just arrived, the server sets a new read deadline and
// answers it.
func (c *connections) closeLongestLocked() {
	e := c.rest.Front()
	if c.open <= c.most || e == nil {
		return
	}
	conn := c.rest.Remove(e).(net.Conn)
	delete(c.at, conn)
	_ = conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is already closed
}
