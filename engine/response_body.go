// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bytes"
	"net/http"
	"strconv"
)

// maxChunkLine limits a line with the size of a chunk, and one of a trailer, as net/http does.
const maxChunkLine = 4 << 10

// bodyScanner finds where the body of a response ends. The zero value is the end.
type bodyScanner struct {
	left      int64  // bytes until the end or the next line; negative: the body ends with the connection
	chunked   bool   // the last line is still to come
	inTrailer bool   // the last chunk has come
	line      []byte // the start of a line
}

// newBodyScanner returns the reader of the body that follows a head.
func newBodyScanner(h *responseHead, isHeadRequest bool) (bodyScanner, error) {
	switch {
	case isHeadRequest || h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		return bodyScanner{}, nil
	case len(h.codings) > 0:
		return bodyScanner{chunked: true}, nil
	case h.endsWithConnection():
		return bodyScanner{left: -1}, nil
	}
	length, err := strconv.ParseInt(h.lengths[0], 10, 64)
	if err != nil {
		return bodyScanner{}, ambiguous("Content-Length %q", h.lengths)
	}
	return bodyScanner{left: length}, nil
}

// isAtEnd reports whether the whole body was read.
func (r *bodyScanner) isAtEnd() bool { return r.left == 0 && !r.chunked }

// read returns how many of the next bytes belong to the body.
func (r *bodyScanner) read(b []byte) (int, error) {
	used := 0
	for used < len(b) && !r.isAtEnd() {
		if r.left < 0 {
			return len(b), nil
		}
		if r.left > 0 {
			n := min(r.left, int64(len(b)-used))
			r.left -= n
			used += int(n)
			continue
		}
		n, err := r.readLine(b[used:])
		used += n
		if err != nil {
			return used, err
		}
	}
	return used, nil
}

// readLine reads a line, or the start of one, and returns its length.
func (r *bodyScanner) readLine(b []byte) (int, error) {
	n := bytes.IndexByte(b, '\n') + 1
	isWhole := n > 0
	if !isWhole {
		n = len(b)
	}
	if len(r.line)+n > maxChunkLine {
		return n, ambiguous("a line between chunks is longer than %d bytes", maxChunkLine)
	}
	r.line = append(r.line, b[:n]...)
	if !isWhole {
		return n, nil
	}
	line := r.line
	r.line = nil
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		return n, ambiguous("line %q between chunks ends without CR", line)
	case r.inTrailer:
		r.chunked = len(text) > 0
		return n, nil
	}
	return n, r.readSize(text)
}

// readSize reads the size of a chunk, after which its data and a line end follow.
func (r *bodyScanner) readSize(line []byte) error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 62)
	if err != nil {
		return ambiguous("chunk size %q", line)
	}
	r.inTrailer = size == 0
	if size > 0 {
		r.left = int64(size) + int64(len("\r\n"))
	}
	return nil
}
