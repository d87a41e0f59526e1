// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// maxRepeatedBytes limits a response that is sent again.
const maxRepeatedBytes = 1 << 20

// Repeater has a server send some of its responses once more, late: in the place of the next response on the connection. A
// connection that the server closes after a response sends it once, and test controls are left alone.
type Repeater struct {
	mu    sync.Mutex
	share float64
	lost  float64 // share of the responses that are not sent, with their connection closed
	count int     // responses sent again
}

// SetShare sets the share of the responses that are sent again, from 0 to 1.
func (r *Repeater) SetShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = share
}

// Count returns how many responses were sent again.
func (r *Repeater) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Wrap returns a listener with the connections of l.
func (r *Repeater) Wrap(l net.Listener) net.Listener {
	return &repeatListener{Listener: l, repeater: r}
}

// isDue decides whether a response is sent again.
func (r *Repeater) isDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.Float64() < r.share
}

// recordSent counts a response that was sent again.
func (r *Repeater) recordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
}

// isLost decides whether a response is lost.
func (r *Repeater) isLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.Float64() < r.lost
}

// setLost handles POST /control/lose, which sets the share of the responses that are lost: the call is carried out, and its
// connection closed.
func (r *Repeater) setLost(w http.ResponseWriter, q *http.Request) {
	share, err := strconv.ParseFloat(q.FormValue("share"), 64)
	if err != nil || share < 0 || share > 1 {
		http.Error(w, "share: must be a number from 0 to 1", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = share
}

// setShare handles POST /control/repeat, which sets the share of the responses that are sent again.
func (r *Repeater) setShare(w http.ResponseWriter, q *http.Request) {
	share, err := strconv.ParseFloat(q.FormValue("share"), 64)
	if err != nil || share < 0 || share > 1 {
		http.Error(w, "share: must be a number from 0 to 1", http.StatusBadRequest)
		return
	}
	r.SetShare(share)
}

// showCount handles GET /control/repeat.
func (r *Repeater) showCount(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintf(w, "{\"repeated\":%d}\n", r.Count())
}

type repeatListener struct {
	net.Listener

	repeater *Repeater
}

// Accept implements net.Listener.
func (l *repeatListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatConn{Conn: c, repeater: l.repeater}, nil
}

// repeatConn repeats responses of a server that reads each request after its response to the one before.
type repeatConn struct {
	net.Conn

	repeater *Repeater

	mu      sync.Mutex
	request []byte // start of the last request
	sent    []byte // the response to it; longer than maxRepeatedBytes: not all of it
	copy    []byte // to be sent before the next response
}

// requestStart is how many bytes of a request are kept: they hold its method and the start of its path.
const requestStart = 64

// isControlLocked reports whether the last request is a test control.
func (c *repeatConn) isControlLocked() bool { return bytes.Contains(c.request, []byte(" /control/")) }

// Read implements net.Conn.
func (c *repeatConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && len(c.sent) > 0 {
		if len(c.sent) <= maxRepeatedBytes && !c.isControlLocked() && c.repeater.isDue() {
			c.copy = c.sent
		}
		c.request, c.sent = nil, nil
	}
	if more := min(n, requestStart-len(c.request)); more > 0 {
		c.request = append(c.request, b[:more]...)
	}
	return n, err
}

// Write implements net.Conn.
func (c *repeatConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sent) == 0 && !c.isControlLocked() && c.repeater.isLost() {
		_ = c.Conn.Close() // the write below fails
	}
	if len(c.copy) > 0 && !c.isControlLocked() {
		late := c.copy
		c.copy = nil
		if _, err := c.Conn.Write(late); err != nil {
			return 0, err
		}
		c.repeater.recordSent()
	}
	n, err := c.Conn.Write(b)
	if len(c.sent) <= maxRepeatedBytes {
		c.sent = append(c.sent, b[:n]...)
	}
	return n, err
}
