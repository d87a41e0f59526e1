// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bytes"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"cairnwick.example/transfer"
	"github.com/pkg/errors"
)

// ErrAmbiguousResponse means that a response is malformed, or that readers of HTTP differ in what it says. net/http is more
// lenient, so a response that it accepts may not be for the request. The request may have been executed.
var ErrAmbiguousResponse = errors.New("engine: ambiguous or malformed HTTP response")

func ambiguous(format string, args ...any) error {
	return errors.Wrapf(ErrAmbiguousResponse, format, args...)
}

// responseHead is what the head of a response says.
type responseHead struct {
	status  int // zero: no status line yet
	http10  bool
	ids     []string // values of the header with the ID
	lengths []string // values of Content-Length
	codings []string // values of Transfer-Encoding
}

// headReader reads the head of a final response, and the informational ones before it, as their bytes arrive. It accepts only
// what RFC 9112 allows a sender.
type headReader struct {
	idHeader string
	head     responseHead
	start    int // where the final head begins
	end      int // where the next line begins, or the head ends
}

// read continues with the bytes received so far. It reports whether the final head is complete.
func (r *headReader) read(received []byte) (bool, error) {
	for {
		length := bytes.IndexByte(received[r.end:], '\n') + 1
		if length == 0 && len(received) > transfer.MaxHeadBytes {
			return false, ambiguous("a head is longer than %d bytes", transfer.MaxHeadBytes)
		}
		if length == 0 {
			return false, nil
		}
		line := received[r.end : r.end+length]
		r.end += length
		if complete, err := r.readLine(line); complete || err != nil {
			return complete, err
		}
	}
}

// readLine reads the next line. It reports whether it ends the final head.
func (r *headReader) readLine(line []byte) (bool, error) {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		return false, ambiguous("line %q ends without CR", line)
	case r.head.status == 0:
		return false, r.head.readStatusLine(text)
	case len(text) > 0:
		return false, r.head.readField(text, r.idHeader)
	}
	if err := r.head.check(); err != nil {
		return false, err
	}
	if r.head.status >= http.StatusOK {
		return true, nil
	}
	r.head = responseHead{}
	r.start = r.end
	return false, nil
}

// statusLine is how a status line begins.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// isWholeText reports whether b is valid in a line, and no response begins in it. One that begins there follows a response that broke
// off in its head, so that the head of both would be taken for one: the status of the first, and the ID of the second.
func isWholeText(b []byte) bool { return isText(b) && !statusLine.Match(b) }

// readStatusLine reads a line like "HTTP/1.1 200 OK".
func (h *responseHead) readStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) < len("1 200") || (rest[0] != '0' && rest[0] != '1') || rest[1] != ' ' {
		return ambiguous("status line %q", line)
	}
	status, reason := rest[2:5], rest[5:]
	if !isNumber(string(status)) || status[0] < '1' || status[0] > '5' {
		return ambiguous("status line %q", line)
	}
	if (len(reason) > 0 && reason[0] != ' ') || !isWholeText(reason) {
		return ambiguous("status line %q", line)
	}
	n, err := strconv.Atoi(string(status))
	h.status, h.http10 = n, rest[0] == '0'
	return err
}

// readField reads a line of a header. A folded line is none.
func (h *responseHead) readField(line []byte, idHeader string) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || !isWholeText(value) {
		return ambiguous("header line %q", line)
	}
	text := string(bytes.Trim(value, " \t"))
	switch {
	case strings.EqualFold(string(name), idHeader):
		h.ids = append(h.ids, text)
	case strings.EqualFold(string(name), "Content-Length"):
		h.lengths = append(h.lengths, text)
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		h.codings = append(h.codings, text)
	}
	return nil
}

// check checks that the head states at most one ID, and where its response ends in one way.
func (h *responseHead) check() error {
	isBodyless := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case h.status == http.StatusSwitchingProtocols:
		return ambiguous("status 101 without a request for it")
	case len(h.ids) > 1:
		return ambiguous("the IDs %q", h.ids)
	case len(h.lengths)+len(h.codings) > 1:
		return ambiguous("Content-Length %q and Transfer-Encoding %q", h.lengths, h.codings)
	case len(h.lengths) == 1 && !isNumber(h.lengths[0]):
		return ambiguous("Content-Length %q", h.lengths)
	case len(h.codings) == 1 && (h.http10 || !strings.EqualFold(h.codings[0], "chunked")):
		return ambiguous("Transfer-Encoding %q", h.codings)
	case isBodyless && (len(h.codings) == 1 || (len(h.lengths) == 1 && strings.Trim(h.lengths[0], "0") != "")):
		return ambiguous("status %d with a body", h.status)
	}
	return nil
}

// endsWithConnection reports whether the end of the connection ends the body.
func (h *responseHead) endsWithConnection() bool {
	return len(h.lengths)+len(h.codings) == 0 && h.status != http.StatusNoContent && h.status != http.StatusNotModified
}

// id returns the ID; empty if there is none.
func (h *responseHead) id() string {
	if len(h.ids) == 0 {
		return ""
	}
	return h.ids[0]
}

// isNumber reports whether s consists of digits.
func isNumber(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }

// isToken reports whether b is a valid name of a header.
func isToken(b []byte) bool {
	const special = "!#$%&'*+-.^_`|~"
	for _, c := range b {
		letter := ('a' <= c && c <= 'z') || ('A' <= c && c <= 'Z')
		if !letter && (c < '0' || c > '9') && strings.IndexByte(special, c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b has no control characters but tabs.
func isText(b []byte) bool {
	return !bytes.ContainsFunc(b, func(c rune) bool { return (c < ' ' && c != '\t') || c == 0x7f })
}
