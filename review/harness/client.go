// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// client is a stand-in for a client of one route. It keeps its connections and does not retry.
type client struct {
	Host     string
	Path     string
	Method   string
	Body     int // length in bytes
	Deadline time.Duration
	Headers  map[string]string
	Record   *record

	http http.Client
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends one request to a box and records the answer. It returns the status; 0 if there was no complete answer.
func (c *client) do(b *box) int {
	id := newID()
	r, err := http.NewRequest(c.Method, "http://"+b.callers+c.Path, bytes.NewReader(make([]byte, c.Body)))
	if err != nil {
		panic(err) // a request of this program
	}
	r.GetBody = nil
	r.Host = c.Host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	for n, v := range c.Headers {
		r.Header.Set(n, v)
	}
	c.http.Timeout = c.Deadline + time.Second
	c.Record.send(id, c.Method+" "+c.Path, b.name)
	resp, err := c.http.Do(r)
	if err != nil {
		c.Record.answered(id, 0, err.Error())
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Record.answered(id, 0, "an answer that breaks off: "+err.Error())
		return 0
	}
	c.Record.answered(id, resp.StatusCode, strconv.Quote(string(body)))
	return resp.StatusCode
}
