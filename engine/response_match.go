// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxSurplusResponses is how many responses to other requests are discarded while one response is awaited.
	maxSurplusResponses = 4
	// maxSurplusBytes limits the body of each of them.
	maxSurplusBytes = 1 << 20
)

// ErrForeignResponse means that the response on a connection has the ID of another request. The request may have been executed.
var ErrForeignResponse = errors.New("engine: the response is for another request")

// errSurplusTooLong means that a response to another request is too long to be discarded.
var errSurplusTooLong = errors.Errorf("engine: a response to another request is longer than %d bytes", maxSurplusBytes)

var surplusResponses atomic.Int64

// SurplusResponses returns how many responses to other requests came in the place of a response, at all endpoints.
func SurplusResponses() int64 { return surplusResponses.Load() }

// ResponseID is the ID of a request, and the header in which the endpoint returns it. The zero value matches every response.
type ResponseID struct {
	Header    string
	Value     string
	OnSurplus func() // called for each response to another request that was discarded; may be nil
}

// matches reports whether a response with these headers may be for the request: it has its ID, and no other, or none.
func (id ResponseID) matches(h http.Header) bool {
	values := h.Values(id.Header)
	return len(values) == 0 || (len(values) == 1 && (values[0] == "" || values[0] == id.Value))
}

// awaited is the response that a connection awaits.
type awaited struct {
	id       ResponseID
	sentHead bool // a HEAD request was sent: the length of responses is not known
}

// awaitedResponse returns what is awaited; false: no response to a request with an ID is.
func (c *guardedConn) awaitedResponse() (awaited, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaits, c.awaits.id.Header != ""
}

// responseFound stops the comparison of IDs until the next request.
func (c *guardedConn) responseFound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaits.id = ResponseID{}
}

// failedStatusLine is what net/http gets before the error of a response that is not believed. If the error came first, net/http
// would send a GET request again by itself.
const failedStatusLine = "HTTP/1.1 502 Bad Gateway\r\n"

// Read implements net.Conn. It discards responses with the ID of another request that come before the awaited one.
func (c *guardedConn) Read(b []byte) (int, error) {
	if len(c.received) == 0 {
		if c.failed != nil {
			return 0, c.failed
		}
		n, err := c.Conn.Read(b)
		a, ok := c.awaitedResponse()
		if n == 0 || !ok {
			return n, err
		}
		c.received = append(c.received, b[:n]...)
		if c.failed = c.findResponse(a); c.failed != nil {
			c.received = []byte(failedStatusLine)
		}
		c.responseFound()
	}
	n := copy(b, c.received)
	if c.received = c.received[n:]; len(c.received) == 0 {
		c.received = nil
	}
	return n, nil
}

// findResponse receives until the head of a response that is not discarded is at the start of c.received.
func (c *guardedConn) findResponse(a awaited) error {
	for surplus := 0; ; surplus++ {
		r, err := c.receiveHead(a)
		if err != nil {
			return err
		}
		value := r.head.id()
		if value != "" && value == a.id.Value {
			return nil
		}
		if value == "" || a.sentHead || surplus == maxSurplusResponses {
			c.endAfterResponse(r.end)
			return nil
		}
		discarded, err := c.discardResponse(r.start)
		if err != nil || !discarded {
			return err
		}
		surplusResponses.Add(1)
		if a.id.OnSurplus != nil {
			a.id.OnSurplus()
		}
	}
}

// receiveHead receives the head of a final response. Informational ones may come before it.
func (c *guardedConn) receiveHead(a awaited) (*headReader, error) {
	r := &headReader{idHeader: a.id.Header}
	for {
		complete, err := r.read(c.received)
		if complete || err != nil {
			return r, err
		}
		if err = c.receive(); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// receive appends what the connection has to c.received. An error comes again with the next read of the connection.
func (c *guardedConn) receive() error {
	c.received = slices.Grow(c.received, 4<<10)
	n, err := c.Conn.Read(c.received[len(c.received):cap(c.received)])
	c.received = c.received[:len(c.received)+n]
	if n > 0 {
		return nil
	}
	return err
}

// discardResponse discards the response whose head begins at start. It discards nothing if only the end of the connection ends
// the response.
func (c *guardedConn) discardResponse(start int) (bool, error) {
	buffered := bytes.NewReader(c.received[start:])
	in := bufio.NewReader(io.MultiReader(buffered, c.Conn))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false, errors.Wrap(err, "engine: read a response to another request")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false, nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBytes+1))
	if err != nil {
		return false, errors.Wrap(err, "engine: discard a response to another request")
	}
	if n > maxSurplusBytes {
		return false, errSurplusTooLong
	}
	next, err := in.Peek(in.Buffered())
	if err != nil {
		return false, err // cannot happen: these bytes are buffered
	}
	unread := c.received[len(c.received)-buffered.Len():]
	c.received = slices.Concat(next, unread)
	return true, nil
}

// endAfterResponse has net/http use the connection for no further request after the response whose head ends at end. A copy of a
// response without an ID could be taken for the next one, and after a response to another request the awaited one may come.
func (c *guardedConn) endAfterResponse(end int) {
	c.received = slices.Insert(c.received, end-len("\r\n"), []byte("Connection: close\r\n")...)
}
