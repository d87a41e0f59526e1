// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// testTimeout is how long a test waits for an event.
const testTimeout = 10 * time.Second

// sendRaw opens a connection to the site and writes text to it.
func (s *testSite) sendRaw(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	s.c.Assert(err, quicktest.IsNil)
	t.Cleanup(func() { c.Close() })
	s.c.Assert(c.SetDeadline(time.Now().Add(testTimeout)), quicktest.IsNil)
	_, err = io.WriteString(c, text)
	s.c.Assert(err, quicktest.IsNil)
	return c
}

const rawHead = "POST / HTTP/1.1\r\nHost: site.example\r\nId: call-1\r\n"

// A caller sent the headers of a request and half of its body, and then nothing.
func TestMissingBodyTimesOutAtDeadline(t *testing.T) {
	s := newSite(t, onceRoute(200*time.Millisecond))
	calls := s.endpoint(t, answerOK)
	c := s.sendRaw(t, rawHead+"Content-Length: 8\r\n\r\nhalf")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.c.Assert(err, quicktest.IsNil)
	resp.Body.Close()
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusRequestTimeout) // this status guarantees that it was not executed
	s.c.Assert(calls.Load(), quicktest.Equals, int64(0))
}

// The response to a late body was written after unadmittedTimeout, and the caller got a closed
// connection.
func TestLateBodyGetsResponse(t *testing.T) {
	t.Parallel()
	s := newSite(t, onceRoute(unadmittedTimeout+500*time.Millisecond))
	s.endpoint(t, answerOK)
	c := s.sendRaw(t, rawHead+"Content-Length: 8\r\n\r\nhalf")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.c.Assert(err, quicktest.IsNil)
	resp.Body.Close()
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusRequestTimeout)
}

// The read deadline for the body stayed in force while the request was executed, and its expiry looked like
// a caller that left.
func TestBodyTimeoutDoesNotEndExecution(t *testing.T) {
	t.Parallel()
	s := newSite(t, onceRoute(time.Minute))
	s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(unadmittedTimeout + 100*time.Millisecond):
			answerOK(w, r)
		case <-r.Context().Done():
		}
	})
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
}

// A caller stopped reading in the middle of its stream. The box blocked in a write forever, and the request
// stayed in flight.
func TestCallerThatStopsReadingIsDropped(t *testing.T) {
	s := newSite(t, resumableRoute(200*time.Millisecond))
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		event := "data: " + strings.Repeat("x", 64<<10) + "\n\n"
		for {
			if _, err := io.WriteString(w, event); err != nil {
				return
			}
		}
	})
	s.sendRaw(t, rawHead+"Content-Length: 0\r\n\r\n")
	s.eventually(func() bool { return s.gateway.InFlight() == 1 })
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
}

// eventually waits until done returns true.
func (s *testSite) eventually(done func() bool) {
	for until := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		s.c.Assert(time.Now().Before(until), quicktest.IsTrue, quicktest.Commentf("condition not reached in time"))
	}
}

// panickingPlacer panics in Place.
type panickingPlacer struct{}

// Place implements Placer.
func (panickingPlacer) Place(context.Context, AdapterRequest) (PlacementResult, error) {
	panic("a fault")
}

// A panic in a handler closed the caller's connection without a response.
func TestPanicBeforeSendIsNotExecuted(t *testing.T) {
	s, statuses := askAdapters(t, panickingPlacer{}, "2s", "a")
	s.c.Assert(statuses, quicktest.DeepEquals, []int{http.StatusServiceUnavailable})
}

// panickingProtocol panics when it parses the head of a response.
type panickingProtocol struct{ plainProtocol }

// ParseResponse implements Protocol.
func (panickingProtocol) ParseResponse(*http.Response, Call, string) Response { panic("a fault") }

func TestPanicAfterSendMayHaveExecuted(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	s.endpoint(t, answerOK)
	s.gateway.Protocol = panickingProtocol{}
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusBadGateway)
}

// The body of a request was so large that most of it was never read.
func TestOversizedBodyGetsResponse(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	for range 5 {
		r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", strings.NewReader(strings.Repeat("x", 1<<20)))
		s.c.Assert(err, quicktest.IsNil)
		r.Host = "site.example"
		resp, err := http.DefaultClient.Do(r)
		s.c.Assert(err, quicktest.IsNil)
		resp.Body.Close()
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusRequestEntityTooLarge)
	}
}

// The shutdown grace period ended while requests were in flight, and their connections were closed.
func TestRequestInFlightAtShutdownGetsResponse(t *testing.T) {
	s := newSite(t, onceRoute(time.Minute))
	base, end := context.WithCancelCause(context.Background())
	s.server.Close()
	s.server = httptest.NewUnstartedServer(s.gateway)
	s.server.Config.BaseContext = func(net.Listener) context.Context { return base }
	s.server.Start()
	defer s.server.Close()
	calls := s.endpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	status := make(chan int, 1)
	go func() {
		resp, _, err := s.ask("/")
		s.c.Check(err, quicktest.IsNil)
		status <- resp.StatusCode
	}()
	s.eventually(func() bool { return calls.Load() == 1 })
	end(ErrShutdown)
	s.c.Assert(<-status, quicktest.Equals, http.StatusBadGateway) // it may have been executed
}
