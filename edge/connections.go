// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerPart is which part of the box's descriptors connections of callers may take before
// those that rest longest are closed. Callers leave connections at rest for up to 90 s, and a
// box without descriptors takes no new one, though it says that it is ready. The other half
// has a connection to an endpoint for each of the requests that may be held, a quarter, and as
// many that rest.
const callerPart = 2

// mostAsking is the same for each of the two servers that the platform and the operators ask:
// some connections each, so that one that opens a new one for each question costs no more.
const mostAsking = 64

// connections bounds the connections at rest of one server. All of them are taken; one in
// use is never closed.
type connections struct {
	most int // that are open before some at rest are closed

	mu   sync.Mutex
	open int
	rest *list.List                 // of net.Conn, the longest at rest first
	at   map[net.Conn]*list.Element // in rest; a connection in use is missing
}

func newConnections(most int) *connections {
	return &connections{most: most, rest: list.New(), at: make(map[net.Conn]*list.Element)}
}

// changed is a http.Server's ConnState.
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

// closeLongestLocked closes the connection at rest longest where too many are open. Its
// server is told by a read that ends: where a request has just come, the request bounds its
// reads anew and is answered.
func (c *connections) closeLongestLocked() {
	e := c.rest.Front()
	if c.open <= c.most || e == nil {
		return
	}
	conn := c.rest.Remove(e).(net.Conn)
	delete(c.at, conn)
	_ = conn.SetReadDeadline(time.Unix(1, 0)) // it fails only where the connection is closed already
}
