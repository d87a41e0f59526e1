// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var attemptCount atomic.Int64

func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41000000000000+attemptCount.Add(1)) }

// call is one attempt of a client.
type call struct {
	id       string
	method   string
	path     string
	adapter  string
	deadline int
	body     []byte
	header   string // more header lines

	sentAt time.Time
	took   time.Duration
	status int // zero: no response
	head   http.Header
	answer []byte
	err    error // why the response is not complete
}

// conn is a kept connection of a client.
type conn struct {
	net.Conn
	in *bufio.Reader
}

func dialBox(b *box) (*conn, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", b.ip, callerPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReader(c)}, nil
}

func (c *call) bytes() []byte {
	var w bytes.Buffer
	fmt.Fprintf(&w, "%s %s HTTP/1.1\r\nHost: case.example\r\nAttempt-Id: %s\r\n", c.method, c.path, c.id)
	if c.deadline > 0 {
		fmt.Fprintf(&w, "Deadline-Ms: %d\r\n", c.deadline)
	}
	if c.adapter != "" {
		fmt.Fprintf(&w, "Model: %s\r\nToken-Usage: 490,60\r\nPrompt-Prefix: 5c1e07a2:90,%s:400\r\n", c.adapter, c.id)
	}
	w.WriteString(c.header)
	if c.body != nil {
		fmt.Fprintf(&w, "Content-Length: %d\r\n", len(c.body))
	}
	w.WriteString("\r\n")
	w.Write(c.body)
	return w.Bytes()
}

// send sends the call on a connection and reads the response; it reports whether the connection can be used again.
func (c *call) send(k *conn) bool {
	c.sentAt = time.Now()
	defer func() { c.took = time.Since(c.sentAt) }()
	_ = k.SetDeadline(c.sentAt.Add(time.Duration(max(c.deadline, 1000))*time.Millisecond + 3*time.Second))
	if _, err := k.Write(c.bytes()); err != nil {
		c.err = err
		return false
	}
	resp, err := http.ReadResponse(k.in, &http.Request{Method: c.method})
	if err != nil {
		c.err = err
		return false
	}
	c.status, c.head = resp.StatusCode, resp.Header
	c.answer, c.err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return c.err == nil && !resp.Close
}

// check judges the response by MIXED and ORDER, and REFUSED for requests that are not idempotent.
func (g *rig) check(c *call, repeatable bool) {
	isStream := strings.HasPrefix(c.path, "/stream")
	if c.status >= 200 && c.status < 300 && c.err == nil {
		switch {
		case !strings.HasSuffix(c.head.Get("Server-Signature"), "."+c.id):
			g.broken("MIXED", fmt.Sprintf("attempt %s: success with signature %q", c.id, c.head.Get("Server-Signature")))
		case isStream:
			g.checkStream(c)
		case c.method != "HEAD" && !bytes.Equal(c.answer, responseBody(c.id)):
			g.broken("MIXED", fmt.Sprintf("attempt %s: body of %d bytes is not the server's: %.80q", c.id, len(c.answer), c.answer))
		}
	}
	runs := g.runsOf(c.id)
	if !repeatable && len(runs) > 1 {
		g.broken("TWICE", fmt.Sprintf("attempt %s ran %d times: %v", c.id, len(runs), runs))
	}
	switch c.status {
	case 408, 421, 429, 503:
		if !repeatable && len(runs) > 0 {
			g.broken("REFUSED", fmt.Sprintf("attempt %s got %d and ran at %s", c.id, c.status, runs[0].server))
		}
	}
	for _, r := range runs {
		if r.method != c.method || r.target != c.path || r.body != string(c.body) {
			g.broken("UNASKED", fmt.Sprintf("attempt %s ran as %s %s with a body of %d bytes", c.id, r.method, r.target, len(r.body)))
		}
	}
}

func (g *rig) checkStream(c *call) {
	next := 1
	if last, err := strconv.Atoi(headerLine(c.header, "Last-Event-Id")); err == nil {
		next = last + 1
	}
	for _, e := range strings.SplitAfter(string(c.answer), "\n\n") {
		if e == "" {
			continue
		}
		if !strings.HasPrefix(e, fmt.Sprintf("id: %d\n", next)) {
			g.broken("ORDER", fmt.Sprintf("attempt %s: event %d is %.60q", c.id, next, e))
			return
		}
		next++
	}
	if next != streamEvents+1 {
		g.broken("ORDER", fmt.Sprintf("attempt %s: the stream ends as complete before event %d", c.id, next))
	}
}

func headerLine(lines, name string) string {
	for _, l := range strings.Split(lines, "\r\n") {
		if v, ok := strings.CutPrefix(l, name+": "); ok {
			return v
		}
	}
	return ""
}
