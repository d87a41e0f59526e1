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

// errUnsolicited ends a connection on which bytes came that belong to no response.
var errUnsolicited = errors.New("engine: the endpoint sent bytes without a request")

// awaited is the response that a connection awaits.
type awaited struct {
	id        ResponseID
	isPending bool // its head has not come
	isHead    bool // it is the response to a HEAD request, so no body follows its head
	sentHead  bool // a HEAD request was sent on the connection: the length of responses is not known
	isChecked bool // Send was used; otherwise net/http gets all bytes
}

// await notes the request whose response is awaited next.
func (a *awaited) await(method string, id ResponseID) {
	isHead := method == http.MethodHead
	*a = awaited{id: id, isPending: true, isHead: isHead, sentHead: a.sentHead || isHead, isChecked: true}
}

func (c *guardedConn) awaitedResponse() awaited {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaits
}

// responseFound notes that no response is awaited until the next request.
func (c *guardedConn) responseFound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaits.isPending = false
}

// failedStatusLine is what net/http gets before the error of a response that is not believed. If the error came first, net/http
// would send a GET request again by itself.
const failedStatusLine = "HTTP/1.1 502 Bad Gateway\r\n"

// Read implements net.Conn. It discards responses with the ID of another request that come before the awaited one, and returns
// that one and nothing after it, since net/http would take what is in its buffer for the response to the next request.
func (c *guardedConn) Read(b []byte) (int, error) {
	if len(c.received) == 0 {
		if c.failed != nil {
			return 0, c.failed
		}
		n, err := c.Conn.Read(b)
		if n == 0 || !c.awaitedResponse().isChecked {
			return n, err
		}
		if !c.body.isAtEnd() {
			return c.readBody(b[:n])
		}
		c.received = append(c.received, b[:n]...)
	}
	if c.headLeft == 0 && c.body.isAtEnd() {
		if err := c.startResponse(); err != nil {
			return 0, err
		}
	}
	if c.headLeft > 0 {
		n := copy(b, c.received[:c.headLeft])
		c.headLeft -= n
		c.dropReceived(n)
		return n, nil
	}
	n := copy(b, c.received)
	c.dropReceived(n)
	return c.readBody(b[:n])
}

// readBody returns how many bytes at the start of b belong to the body of the response, and leaves the others in c.received.
func (c *guardedConn) readBody(b []byte) (int, error) {
	n, err := c.body.read(b)
	if err != nil {
		c.received, c.failed = nil, err
		return n, nil
	}
	if n < len(b) {
		c.received = slices.Concat(b[n:], c.received)
	}
	return n, nil
}

func (c *guardedConn) dropReceived(n int) {
	if c.received = c.received[n:]; len(c.received) == 0 {
		c.received = nil
	}
}

// startResponse finds the awaited response. Only if none is awaited it returns an error: a response that is not believed leaves
// c.failed.
func (c *guardedConn) startResponse() error {
	a := c.awaitedResponse()
	if !a.isPending {
		c.received, c.failed = nil, errUnsolicited
		return c.failed
	}
	if c.failed = c.findResponse(a); c.failed != nil {
		c.received, c.headLeft = []byte(failedStatusLine), len(failedStatusLine)
	}
	c.responseFound()
	return nil
}

// findResponse receives until the head of a response that is not discarded is at the start of c.received, and notes where the
// response ends.
func (c *guardedConn) findResponse(a awaited) error {
	for surplus := 0; ; surplus++ {
		r, err := c.receiveHead(a)
		if err != nil {
			return err
		}
		value := r.head.id()
		isForeign := value != "" && value != a.id.Value
		if !isForeign && !c.currentAttempt().mayBeSent() {
			return errUnsolicited // it came before the request
		}
		if a.id.Header == "" || (value != "" && !isForeign) {
			return c.acceptResponse(r, a)
		}
		if value == "" || a.sentHead || surplus == maxSurplusResponses || r.head.endsWithConnection() {
			c.endAfterResponse(r)
			return c.acceptResponse(r, a)
		}
		if err := c.discardResponse(r.start); err != nil {
			return err
		}
		surplusResponses.Add(1)
		if a.id.OnSurplus != nil {
			a.id.OnSurplus()
		}
	}
}

// acceptResponse has Read return the response with the head that was read.
func (c *guardedConn) acceptResponse(r *headReader, a awaited) (err error) {
	c.headLeft = r.end
	c.body, err = newBodyScanner(&r.head, a.isHead)
	return err
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

// discardResponse discards the response whose head begins at start.
func (c *guardedConn) discardResponse(start int) error {
	buffered := bytes.NewReader(c.received[start:])
	in := bufio.NewReader(io.MultiReader(buffered, c.Conn))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return errors.Wrap(err, "engine: read a response to another request")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBytes+1))
	if err != nil {
		return errors.Wrap(err, "engine: discard a response to another request")
	}
	if n > maxSurplusBytes {
		return errSurplusTooLong
	}
	next, err := in.Peek(in.Buffered())
	if err != nil {
		return err // cannot happen: these bytes are buffered
	}
	unread := c.received[len(c.received)-buffered.Len():]
	c.received = slices.Concat(next, unread)
	return nil
}

// endAfterResponse has net/http use the connection for no further request after the response. A copy of a response without an ID
// could be taken for the next one, and after a response to another request the awaited one may come.
func (c *guardedConn) endAfterResponse(r *headReader) {
	const line = "Connection: close\r\n"
	c.received = slices.Insert(c.received, r.end-len("\r\n"), []byte(line)...)
	r.end += len(line)
}
