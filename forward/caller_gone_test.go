// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// endpointRuns signals when an endpoint starts a request and when it is cancelled.
type endpointRuns struct{ started, cancelled chan struct{} }

func newEndpointRuns() endpointRuns {
	return endpointRuns{started: make(chan struct{}, 8), cancelled: make(chan struct{}, 8)}
}

// handler reads the request, starts the response with begin, and runs until its caller leaves.
func (r endpointRuns) handler(begin func(http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body) // net/http detects a closed connection only after the body
		begin(w)
		r.started <- struct{}{}
		select {
		case <-q.Context().Done():
			r.cancelled <- struct{}{}
		case <-time.After(2 * testTimeout): // ends a failing test
		}
	}
}

// await fails the test unless the channel receives in time.
func (s *testSite) await(what <-chan struct{}) {
	select {
	case <-what:
	case <-time.After(testTimeout):
		s.c.Fatal("no signal in time")
	}
}

const rawRequest = rawHead + "Content-Length: 0\r\n\r\n"

func TestStreamIsCancelledWithCaller(t *testing.T) {
	for name, begin := range map[string]func(http.ResponseWriter){
		"before its first event": func(http.ResponseWriter) {},
		"after its head": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", streamType)
			_ = http.NewResponseController(w).Flush()
		},
		"after an event": func(w http.ResponseWriter) { sendEvents(w, 1, 1, false) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, resumableRoute(time.Minute))
			r := newEndpointRuns()
			s.endpoint(t, r.handler(begin))
			s.endpoint(t, r.handler(begin)) // the stream could be resumed here, but its caller has left
			s.assertCallerGone(t, r)
		})
	}
}

// assertCallerGone checks that the endpoint's request is cancelled when its caller leaves, and that the
// second endpoint gets none.
func (s *testSite) assertCallerGone(t *testing.T, r endpointRuns) {
	caller := s.sendRaw(t, rawRequest)
	s.await(r.started)
	s.c.Assert(caller.Close(), quicktest.IsNil)
	s.await(r.cancelled)
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
	s.c.Assert(s.calls["e1"].Load()+s.calls["e2"].Load(), quicktest.Equals, int64(1))
}

func TestNoRetryAfterCallerLeft(t *testing.T) {
	s := newSite(t, repeatableRoute(time.Minute))
	r := newEndpointRuns()
	for range 2 {
		s.endpoint(t, r.handler(func(http.ResponseWriter) {}))
	}
	s.assertCallerGone(t, r)
}

func TestCallerLeavesDuringBody(t *testing.T) {
	s := newSite(t, onceRoute(time.Minute))
	calls := s.endpoint(t, answerOK)
	caller := s.sendRaw(t, rawHead+"Content-Length: 8\r\n\r\nhalf")
	s.eventually(func() bool { return s.gateway.InFlight() == 1 })
	s.c.Assert(caller.Close(), quicktest.IsNil)
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
	s.c.Assert(calls.Load(), quicktest.Equals, int64(0))
}

// blockingPlacer reports when it is called and when its context ends; the adapter is ready only after the
// caller left.
type blockingPlacer struct{ called, cancelled chan struct{} }

// Place implements Placer.
func (p blockingPlacer) Place(ctx context.Context, w AdapterRequest) (PlacementResult, error) {
	close(p.called)
	<-ctx.Done()
	close(p.cancelled)
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

func TestPlacementIsCancelledWithCaller(t *testing.T) {
	p := blockingPlacer{called: make(chan struct{}), cancelled: make(chan struct{})}
	s, _ := askAdapters(t, p, "2s")
	caller := s.sendRaw(t, rawHead+"Adapter: m/a\r\nContent-Length: 0\r\n\r\n")
	s.await(p.called)
	s.c.Assert(caller.Close(), quicktest.IsNil)
	s.await(p.cancelled)
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
	s.c.Assert(s.calls["e1"].Load()+s.calls["e2"].Load(), quicktest.Equals, int64(0))
}

// Bytes that follow the request on the connection stop net/http's detection of a closed connection. Such a
// caller is detected at the next write, as here, or at its deadline.
func TestPipeliningCallerIsDetectedOnWrite(t *testing.T) {
	s := newSite(t, resumableRoute(time.Minute))
	r := newEndpointRuns()
	more := make(chan struct{})
	s.endpoint(t, func(w http.ResponseWriter, q *http.Request) {
		sendEvents(w, 1, 1, false)
		r.started <- struct{}{}
		<-more
		for i := 2; q.Context().Err() == nil; i++ { // the first write is answered with a reset, a later one fails
			sendEvents(w, i, i, false)
			time.Sleep(time.Millisecond)
		}
		r.cancelled <- struct{}{}
	})
	caller := s.sendRaw(t, rawRequest+"POST")
	s.await(r.started)
	s.c.Assert(caller.Close(), quicktest.IsNil)
	close(more)
	s.await(r.cancelled)
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
}
