// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

const (
	parallelSenders  = 64
	parallelRequests = 12000 // some seconds with the race detector
	parallelMaxBody  = 14 << 10
)

// faultServer records which requests arrive, even in part, and does to their connections what endpoints and networks do.
type faultServer struct {
	*quicktest.C

	open    sync.WaitGroup // connections
	arrived [1 << 20]atomic.Int32
	foreign atomic.Int64 // requests with bytes that are not theirs
}

func (s *faultServer) listen() string {
	l := newListener(s.C)
	go func() {
		for seed := uint64(0); ; seed++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go s.serve(conn, rand.New(rand.NewPCG(1, seed)))
		}
	}()
	return l.Addr().String()
}

func (s *faultServer) serve(conn net.Conn, r *rand.Rand) {
	defer s.open.Done()
	defer conn.Close()
	in := bufio.NewReader(conn)
	for s.serveRequest(conn, in, r.IntN(100), r.IntN(1500)) {
	}
}

// serveRequest serves one request, and reports whether another may follow.
func (s *faultServer) serveRequest(conn net.Conn, in *bufio.Reader, fault, micros int) bool {
	id, length, ok := s.readHead(in)
	if !ok {
		return false
	}
	respond := func(n int) {
		_, _ = io.WriteString(conn, emptyResponse[:n]) // the client has left if it fails
	}
	readBody := func() bool { return s.readBody(in, id, length) }
	switch {
	case fault < 3: // ends without a response, perhaps by a reset since the body was not read
		return false
	case fault < 5: // ends after the request was read
		_ = readBody()
		return false
	case fault < 7: // ends during the response
		_ = readBody()
		respond(20)
		return false
	case fault < 10: // ends after the response
		_ = readBody()
		respond(len(emptyResponse))
		return false
	case fault < 13: // responds before the body has come
		respond(len(emptyResponse))
		return readBody()
	case fault < 16: // half-closed: it may read further requests and never responds to them
		if readBody() {
			respond(len(emptyResponse))
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		return true
	case fault < 18: // silent until the client leaves
		return readBody()
	case fault < 20: // reset
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case fault < 45: // responds near the deadline
		if !readBody() {
			return false
		}
		time.Sleep(time.Duration(micros) * time.Microsecond)
	default:
		if !readBody() {
			return false
		}
	}
	respond(len(emptyResponse))
	return true
}

// readHead reads the head of a request and records its arrival.
func (s *faultServer) readHead(in *bufio.Reader) (id, length int, ok bool) {
	line, err := in.ReadString('\n')
	if line == "" || line == "GET /last HTTP/1.1\r\n" { // of drain
		return 0, 0, false
	}
	words := strings.Split(line, " ")
	if len(words) > 1 {
		id, _ = strconv.Atoi(strings.TrimPrefix(words[1], "/"))
	}
	if id == 0 {
		s.foreign.Add(1)
		return 0, 0, false
	}
	s.arrived[id].Add(1)
	for err == nil && line != "\r\n" {
		if value, found := strings.CutPrefix(line, "Content-Length: "); found {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
		line, err = in.ReadString('\n')
	}
	return id, length, err == nil
}

// readBody reads the body of a request, whose bytes are all the same.
func (s *faultServer) readBody(in *bufio.Reader, id, length int) bool {
	body := make([]byte, length)
	n, err := io.ReadFull(in, body)
	if strings.Trim(string(body[:n]), string(bodyByte(id))) != "" {
		s.foreign.Add(1)
	}
	return err == nil
}

func bodyByte(id int) rune { return rune('a' + id%26) }

// dialFromManyAddresses returns a dialler with a source address of its own for each connection, in turn: closed connections keep
// their ports for a minute, and no test must run out of them.
func dialFromManyAddresses() DialFunc {
	var dials atomic.Uint32
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n := dials.Add(1)
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 1, byte(n>>8), byte(n))}}
		return d.DialContext(ctx, network, address)
	}
}

// sendParallel sends requests from many goroutines, with deadlines of up to some ms. It returns the IDs of those that count as not
// sent.
func sendParallel(client *http.Client, address string, requests int) (unsent []int) {
	var mu sync.Mutex
	var next atomic.Int64
	var senders sync.WaitGroup
	for n := range parallelSenders {
		senders.Go(func() {
			r := rand.New(rand.NewPCG(2, uint64(n)))
			for {
				id := int(next.Add(1))
				if id > requests {
					return
				}
				err := sendOne(client, address, id, r)
				var lost *NoResponseError
				if errors.As(err, &lost) && !lost.Sent {
					mu.Lock()
					unsent = append(unsent, id)
					mu.Unlock()
				}
			}
		})
	}
	senders.Wait()
	return unsent
}

func sendOne(client *http.Client, address string, id int, r *rand.Rand) error {
	deadline := time.Duration(r.IntN([]int{3000, 30000}[r.IntN(2)])) * time.Microsecond // the longer ones for slow machines
	pause := time.Duration(r.IntN(300)) * time.Microsecond
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	// A response takes this long from the moment at which its connection is idle, so that the deadline often passes between them.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) { time.Sleep(pause) }})
	method, body := http.MethodPost, []byte(nil)
	switch r.IntN(4) {
	case 0:
		method = []string{http.MethodGet, http.MethodDelete, http.MethodOptions, http.MethodPost}[r.IntN(4)]
	default:
		body = bytes.Repeat([]byte(string(bodyByte(id))), r.IntN(parallelMaxBody))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+strconv.Itoa(id), bytes.NewReader(body))
	if err != nil {
		return err
	}
	if r.IntN(2) == 0 {
		req.Header.Set("Idempotency-Key", "k") // allows net/http to send it again
	}
	sendBy := time.Time{}
	if r.IntN(4) == 0 {
		sendBy = time.Now().Add(time.Duration(r.IntN(500)) * time.Microsecond)
	}
	return sendRequest(client, req, sendBy)
}

// Guards against requests that count as not sent though the server received them, that arrive twice, and that have bytes of others,
// when connections are shared by many.
func TestUnsentRequestsDidNotArrive(t *testing.T) {
	c := quicktest.New(t)
	s := &faultServer{C: c}
	address := s.listen()
	requests := parallelRequests
	if text := os.Getenv("CAIRN_PARALLEL_REQUESTS"); text != "" {
		n, err := strconv.Atoi(text)
		c.Assert(err, quicktest.IsNil)
		requests = min(n, len(s.arrived)-1)
	}
	client := &http.Client{Transport: NewTransport(dialFromManyAddresses(), parallelSenders/2)}
	unsent := sendParallel(client, address, requests)
	client.CloseIdleConnections()
	drain(c, address, &s.open)

	arrived, twice, received := 0, 0, 0
	for id := range s.arrived {
		n := s.arrived[id].Load()
		if n > 0 {
			arrived++
		}
		if n > 1 {
			twice++
		}
	}
	for _, id := range unsent {
		if s.arrived[id].Load() > 0 {
			received++
		}
	}
	c.Logf("%d requests, %d arrived, %d counted as not sent", requests, arrived, len(unsent))
	c.Check(received, quicktest.Equals, 0, quicktest.Commentf("requests that counted as not sent and arrived"))
	c.Check(twice, quicktest.Equals, 0, quicktest.Commentf("requests that arrived twice"))
	c.Check(s.foreign.Load(), quicktest.Equals, int64(0), quicktest.Commentf("requests with bytes of others"))
}
