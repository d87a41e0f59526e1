// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// errBodyRefused means that the rest of a request body does not fit into the box's memory for callers.
var errBodyRefused = errors.New("the box's memory for callers is full")

// firstBodyBuffer is the size of the first buffer of a request body, in bytes: callers that announce a large body
// and send none of it use no more.
const firstBodyBuffer = 4 << 10

// bufferBody reads a request body of at most limit bytes, as far as it fits into the box's memory for callers.
func (g *Gateway) bufferBody(q *request, body io.Reader, limit int64) ([]byte, error) {
	length := q.inbound.ContentLength // negative: unknown
	if g.MaxHeldBytes == 0 {
		var buffer bytes.Buffer
		if length > 0 && length <= limit {
			buffer.Grow(int(length))
		}
		_, err := buffer.ReadFrom(body)
		return buffer.Bytes(), err
	}
	if length > limit { // reading fails at the limit: nothing needs to be held
		_, err := io.Copy(io.Discard, body)
		return nil, err
	}
	held, err := g.readHeldBody(q, body, length)
	if err == errBodyRefused {
		g.heldBytes().countRefused()
	}
	return held, err
}

// readHeldBody reads a body and counts the buffer before it grows. A body whose length is known is refused
// before it is read if it does not fit now.
func (g *Gateway) readHeldBody(q *request, body io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 && !g.heldBytes().fitsBody(length) {
		return nil, errBodyRefused
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			larger, err := g.growBody(q, buffer, length)
			if err != nil {
				return nil, err
			}
			buffer = larger
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
		if length >= 0 && int64(len(buffer)) == length {
			return buffer, nil
		}
	}
}

// growBody returns a copy of the buffer of twice the size, but no larger than the body.
func (g *Gateway) growBody(q *request, buffer []byte, length int64) ([]byte, error) {
	size := max(2*int64(cap(buffer)), firstBodyBuffer)
	if length >= 0 {
		size = min(size, length)
	}
	if !g.heldBytes().addBody(size) { // the old buffer counts until the copy is made
		return nil, errBodyRefused
	}
	larger := append(make([]byte, 0, size), buffer...)
	g.heldBytes().removeBody(int64(cap(buffer)))
	q.heldBody = size
	return larger, nil
}

// releaseBody no longer counts the body of a request that has ended.
func (g *Gateway) releaseBody(q *request) {
	if q.heldBody > 0 {
		g.heldBytes().removeBody(q.heldBody)
		q.heldBody = 0
	}
}
