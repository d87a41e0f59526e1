// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"cairnwick.example/transfer"
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

// matches reports whether a response with these headers may be for the request: it has its ID, or none.
func (id ResponseID) matches(h http.Header) bool {
	value := h.Get(id.Header)
	return value == "" || value == id.Value
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

// Read implements net.Conn. It discards responses with the ID of another request that come before the awaited one.
func (c *guardedConn) Read(b []byte) (int, error) {
	if len(c.received) == 0 {
		n, err := c.Conn.Read(b)
		a, ok := c.awaitedResponse()
		if n == 0 || !ok {
			return n, err
		}
		c.received = append(c.received, b[:n]...)
		if err := c.findResponse(a); err != nil {
			return 0, err
		}
		c.responseFound()
	}
	n := copy(b, c.received)
	if c.received = c.received[n:]; len(c.received) == 0 {
		c.received = nil
	}
	return n, nil
}

// findResponse receives until the head of a response that is not discarded is at the start of c.received. Whatever is no
// response is left there for net/http to reject.
func (c *guardedConn) findResponse(a awaited) error {
	for surplus := 0; ; surplus++ {
		head, end := c.receiveHead()
		if end == 0 {
			return nil
		}
		value, found := headerValue(head, a.id.Header)
		if !found {
			c.endAfterResponse(end)
		}
		if !found || value == a.id.Value || a.sentHead || surplus == maxSurplusResponses {
			return nil
		}
		discarded, err := c.discardResponse(end - len(head))
		if err != nil || !discarded {
			return err
		}
		surplusResponses.Add(1)
		if a.id.OnSurplus != nil {
			a.id.OnSurplus()
		}
	}
}

// receiveHead receives the head of a final response, and returns it and where it ends in c.received. Informational ones may
// come before it. The end is zero if there is none within transfer.MaxHeadBytes.
func (c *guardedConn) receiveHead() (head []byte, end int) {
	start := 0
	for {
		n := headLength(c.received[start:])
		switch {
		case n > 0 && isInformational(c.received[start:]):
			start += n
		case n > 0:
			return c.received[start : start+n], start + n
		case len(c.received) > transfer.MaxHeadBytes || c.receive() != nil:
			return nil, 0
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
		return false, nil // net/http reports what is wrong with it
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

// endAfterResponse has net/http use the connection for no further request. A copy of a response without an ID could be taken
// for the next one.
func (c *guardedConn) endAfterResponse(end int) {
	blank := 1
	if bytes.HasSuffix(c.received[:end], []byte("\r\n")) {
		blank = 2
	}
	c.received = slices.Insert(c.received, end-blank, []byte("Connection: close\r\n")...)
}

// headLength returns the length of the head at the start of b, with the empty line; zero if that has not come.
func headLength(b []byte) int {
	length := 0
	for line := range bytes.Lines(b) {
		length += len(line)
		if text := string(line); length > len(line) && (text == "\r\n" || text == "\n") {
			return length
		}
	}
	return 0
}

// isInformational reports whether another head follows the one at the start of b.
func isInformational(b []byte) bool {
	_, status, _ := bytes.Cut(b, []byte(" "))
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}

// headerValue returns the first value of a header; false if there is none, or it is empty.
func headerValue(head []byte, name string) (value string, found bool) {
	for line := range bytes.Lines(head) {
		key, text, ok := bytes.Cut(line, []byte(":"))
		if ok && strings.EqualFold(string(key), name) {
			text = bytes.TrimSpace(text)
			return string(text), len(text) > 0
		}
	}
	return "", false
}
