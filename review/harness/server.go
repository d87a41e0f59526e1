// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in for a server of a plain service. It works on slots requests at once, queues a few more, and rejects
// the others. Set the exported fields before run.
type server struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Queue   int
	Work    time.Duration // of one request
	Record  *record
	// Surplus reports whether an answer is sent a second time, late: where the next answer on its connection is expected.
	Surplus func(status int) bool

	listener net.Listener
	running  chan struct{} // holds one element for each request that is worked on
	mu       sync.Mutex
	admitted int // requests in slots and in the queue
	open     map[net.Conn]bool
}

// start listens, and serves until stop.
func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.running, s.open = l, make(chan struct{}, s.Slots), make(map[net.Conn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = true
			s.mu.Unlock()
			go s.serveConn(c)
		}
	}()
	return nil
}

// stop closes the listener and all connections.
func (s *server) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
}

func (s *server) key() string { return "servers/" + s.ID }

// entry returns what the server writes of itself into the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{"service": s.Service, "address": s.listener.Addr().String(), "zone": s.Zone, "version": "v1",
		"slots": s.Slots, "state": state, "cold_remaining_ms": 0, "sequence": 1}
}

// serveConn serves the requests of one connection, one at a time.
func (s *server) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var late []byte // a second copy of the answer before
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.Record.add("server %s sends its answer before a second time, late", s.ID)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		status, answer := s.answer(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if s.Surplus != nil && s.Surplus(status) {
			late = answer
		}
	}
}

// answer carries out a request and returns the status and the whole answer.
func (s *server) answer(r *http.Request, body []byte) (int, []byte) {
	id := r.Header.Get("Attempt-Id")
	head := map[string]string{}
	if id != "" {
		head["Attempt-Id"] = id
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.ID {
		head["Instance-Id"] = s.ID
		return response(http.StatusMisdirectedRequest, head, nil)
	}
	if id == "" {
		head["Not-Executed"] = "1"
		return response(http.StatusBadRequest, head, nil)
	}
	if !s.admit() {
		s.Record.rejected(id, s.ID)
		head["Not-Executed"] = "1"
		return response(http.StatusServiceUnavailable, head, nil)
	}
	s.running <- struct{}{}
	s.Record.ran(id, s.ID)
	time.Sleep(s.Work)
	<-s.running
	s.mu.Lock()
	s.admitted--
	s.mu.Unlock()
	head["Server-Signature"] = s.ID + "." + id
	return response(http.StatusOK, head, fmt.Appendf(nil, "%s did %s with %d bytes", s.ID, id, len(body)))
}

// admit reports whether there is a slot or a place in the queue.
func (s *server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admitted >= s.Slots+s.Queue {
		return false
	}
	s.admitted++
	return true
}

// response returns an answer as it is sent.
func response(status int, head map[string]string, body []byte) (int, []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for n, v := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", n, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return status, b.Bytes()
}
