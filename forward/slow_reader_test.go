// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// kernelBuffer is the size of the kernel's buffers, in bytes, so that little is sent to a peer that does not read. The
// loopback interface has segments of 64 KB; with smaller buffers it sends on timers only.
const kernelBuffer = 64 << 10

// smallBuffers accepts connections with small kernel buffers.
type smallBuffers struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(kernelBuffer)
	}
	return c, err
}

func serveSmallBuffers(t *testing.T, h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	server.Listener = smallBuffers{server.Listener}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// newSlowSite is a site whose box holds at most the given number of bytes for callers.
func newSlowSite(t *testing.T, bound int64, route topology.RouteSpec) *testSite {
	s := newSite(t, route)
	s.server.Close()
	s.gateway.MaxHeldBytes = bound
	s.server = serveSmallBuffers(t, s.gateway)
	return s
}

// setTimeouts replaces the times for which a caller may take nothing; call it before the first request.
func (s *testSite) setTimeouts(stall, full time.Duration) {
	s.gateway.heldBytes().stallTimeout, s.gateway.heldBytes().fullTimeout = stall, full
}

// smallEndpoint adds an endpoint whose kernel buffers are small too.
func (s *testSite) smallEndpoint(t *testing.T, h http.HandlerFunc) {
	e := serveSmallBuffers(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		h(w, r)
	}))
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: "small", Service: "app", Address: e.Listener.Addr().String(), DataCentre: "dc", Software: "v1", Slots: 4,
	}))
}

// openCaller sends a request over a connection with a small receive buffer and reads nothing.
func (s *testSite) openCaller(t *testing.T) *net.TCPConn {
	c := s.sendRaw(t, rawRequest).(*net.TCPConn)
	s.c.Assert(c.SetReadBuffer(kernelBuffer), quicktest.IsNil)
	return c
}

// readResponse reads a response from the connection of a caller.
func readResponse(c net.Conn) (status int, body []byte, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// largeStream returns the text of a stream of at least the given size.
func largeStream(size int) string {
	var b strings.Builder
	for i := 1; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000))
	}
	return b.String()
}

// sendStream writes a whole stream.
func sendStream(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", streamType)
	_, _ = io.WriteString(w, text)
}

// Guards against an endpoint that can't send the rest of its response while the caller stands still, and so cuts it
// off. The caller gets all of it afterwards.
func TestEndpointIsReadWhileCallerStandsStill(t *testing.T) {
	for name, contentType := range map[string]string{"stream": streamType, "plain": "text/plain"} {
		t.Run(name, func(t *testing.T) {
			s := newSlowSite(t, 8<<20, onceRoute(time.Minute))
			text, sent := largeStream(900<<10), make(chan struct{}, 1)
			s.smallEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", contentType)
				_, _ = io.WriteString(w, text)
				sent <- struct{}{}
			})
			caller := s.openCaller(t)
			s.await(sent)
			s.c.Assert(s.gateway.InFlight(), quicktest.Equals, 1)
			status, body, err := readResponse(caller)
			s.c.Assert(err, quicktest.IsNil)
			s.c.Assert(status, quicktest.Equals, http.StatusOK)
			s.c.Assert(string(body) == text, quicktest.IsTrue)
			s.eventually(func() bool { return s.gateway.HeldBytes().Bytes == 0 })
			s.c.Assert(s.gateway.HeldBytes().Disconnected, quicktest.Equals, int64(0))
		})
	}
}

// Guards against a caller that stands still and keeps its request running at the endpoint until the deadline, and
// against a truncated response that looks complete.
func TestStandingCallerIsDisconnected(t *testing.T) {
	s := newSlowSite(t, 8<<20, resumableRoute(time.Minute))
	s.setTimeouts(200*time.Millisecond, 200*time.Millisecond)
	r := newEndpointRuns()
	s.smallEndpoint(t, r.handler(func(w http.ResponseWriter) {
		sendStream(w, largeStream(500<<10))
		_ = http.NewResponseController(w).Flush()
	}))
	caller := s.openCaller(t)
	s.await(r.started)
	s.await(r.cancelled)
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
	s.c.Assert(s.gateway.HeldBytes(), quicktest.Equals, HeldByteCounts{Limit: 8 << 20, Disconnected: 1})
	_, _, err := readResponse(caller)
	s.c.Assert(err, quicktest.IsNotNil)
	s.c.Assert(r.started, quicktest.HasLen, 0) // not resumed at another endpoint
}

// Guards against memory that grows with the number of callers that do not read, and against responses that are left
// unread then.
func TestSlowCallersStayWithinBound(t *testing.T) {
	const callers, bound = 20, 2 << 20
	s := newSlowSite(t, bound, onceRoute(time.Minute))
	text := largeStream(600 << 10)
	var ended sync.WaitGroup
	ended.Add(callers)
	s.smallEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		defer ended.Done()
		sendStream(w, text)
	})
	for range callers {
		s.openCaller(t)
	}
	done := make(chan struct{})
	go func() { ended.Wait(); close(done) }()
	late := time.After(testTimeout)
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-late:
			s.c.Fatal("the endpoint's responses are not read to their ends")
		case <-time.After(time.Millisecond):
		}
		s.c.Assert(s.gateway.HeldBytes().Bytes <= bound, quicktest.IsTrue)
	}
	s.eventually(func() bool { return s.gateway.InFlight() <= bound/(400<<10) }) // those that fit
	s.c.Assert(s.gateway.HeldBytes().Disconnected >= callers-bound/(400<<10), quicktest.IsTrue)
}

// Guards against a caller that stands still and delays others, for whom the endpoint has no slot until it has sent
// the first response.
func TestSlowCallerDoesNotDelayOthers(t *testing.T) {
	s := newSlowSite(t, 8<<20, onceRoute(time.Minute))
	text, slot, sent := largeStream(900<<10), make(chan struct{}, 1), make(chan struct{}, 8)
	s.smallEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		slot <- struct{}{}
		defer func() { <-slot }()
		sent <- struct{}{}
		sendStream(w, text)
	})
	s.openCaller(t)
	s.await(sent)
	caller := s.sendRaw(t, rawRequest)
	status, body, err := readResponse(caller)
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(status, quicktest.Equals, http.StatusOK)
	s.c.Assert(string(body) == text, quicktest.IsTrue)
}

// Guards against a time limit for a whole response, and against a full buffer that disconnects a caller which is
// only slower than the endpoint.
func TestSteadySlowCallerGetsWholeResponse(t *testing.T) {
	for name, contentType := range map[string]string{"stream": streamType, "plain": "text/plain"} {
		t.Run(name, func(t *testing.T) {
			s := newSlowSite(t, 8<<20, onceRoute(time.Minute))
			s.setTimeouts(500*time.Millisecond, 500*time.Millisecond)
			text := largeStream(4 << 20)
			s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", contentType)
				_, _ = io.WriteString(w, text)
			})
			resp, err := http.ReadResponse(bufio.NewReader(s.openCaller(t)), nil)
			s.c.Assert(err, quicktest.IsNil)
			defer resp.Body.Close()
			var got bytes.Buffer
			for err == nil {
				_, err = io.CopyN(&got, resp.Body, 16<<10)
				time.Sleep(5 * time.Millisecond)
			}
			s.c.Assert(err, quicktest.Equals, io.EOF)
			s.c.Assert(got.String() == text, quicktest.IsTrue)
			s.c.Assert(s.gateway.HeldBytes().Disconnected, quicktest.Equals, int64(0))
		})
	}
}

// Guards against the deadline of the last block that stays in force: the end of a stream after a pause, and the next
// response on the connection, would be lost.
func TestConnectionIsReusedAfterBufferedResponse(t *testing.T) {
	s := newSlowSite(t, 8<<20, onceRoute(time.Minute))
	s.setTimeouts(50*time.Millisecond, 50*time.Millisecond)
	s.smallEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		sendEvents(w, 1, 2, false)
		time.Sleep(150 * time.Millisecond)
	})
	caller := s.sendRaw(t, rawRequest+rawRequest)
	in := bufio.NewReader(caller)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		s.c.Assert(err, quicktest.IsNil)
		body, err := io.ReadAll(resp.Body)
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(string(body), quicktest.Equals, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
	}
}
