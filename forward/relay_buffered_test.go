// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against differences between a box with a memory limit and one without, for callers that read.
func TestBoundKeepsBehaviour(t *testing.T) {
	siteBound = 8 << 20
	defer func() { siteBound = 0 }()
	for name, test := range map[string]func(*testing.T){
		"request unchanged":    TestRequestIsForwardedUnchanged,
		"body limit":           TestBodyLimit,
		"oversized body":       TestOversizedBodyGetsResponse,
		"missing body":         TestMissingBodyTimesOutAtDeadline,
		"repeatable":           TestRepeatableRequestIsRetried,
		"failure relayed":      TestFailureIsRelayedIfRetryIsDenied,
		"truncated response":   TestTruncatedResponseIsDropped,
		"endpoint error":       TestEndpointErrorIsRelayedUnchanged,
		"route timeout":        TestRouteTimeout,
		"broken stream":        TestBrokenStreamIsNotCompleted,
		"resumed stream":       TestResumedStreamHasNoGapOrRepeat,
		"immediate events":     TestEventsAreRelayedImmediately,
		"caller gone":          TestStreamIsCancelledWithCaller,
		"caller gone, body":    TestCallerLeavesDuringBody,
		"caller gone, pipe":    TestPipeliningCallerIsDetectedOnWrite,
		"no retry":             TestNoRetryAfterCallerLeft,
		"caller stops reading": TestCallerThatStopsReadingIsDropped,
		"panic":                TestPanicAfterSendMayHaveExecuted,
		"shutdown":             TestRequestInFlightAtShutdownGetsResponse,
	} {
		t.Run(name, test)
	}
}

// plainHandler responds with size bytes, and breaks off after sent bytes if that is less.
func plainHandler(size, sent int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		if sent < size {
			w.Header().Set("Content-Length", "9000000")
		}
		_, _ = io.WriteString(w, strings.Repeat("x", sent))
		if sent < size {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// Guards against a response above the limit of a buffer that is refused, and against one that is truncated and looks
// complete.
func TestPlainResponseAboveBufferLimit(t *testing.T) {
	siteBound = 8 << 20
	defer func() { siteBound = 0 }()
	for name, sent := range map[string]int{"whole": 5 << 20, "truncated": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, onceRoute(time.Minute))
			s.endpoint(t, plainHandler(5<<20, sent))
			resp, text, err := s.ask("/")
			s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
			s.c.Assert(err == nil, quicktest.Equals, name == "whole")
			s.c.Assert(len(text) <= sent && len(text) > 1<<20, quicktest.IsTrue)
		})
	}
}

// Guards against a failed response that stays counted, or reaches the caller, after another endpoint responded.
func TestBufferedFailureIsReplaced(t *testing.T) {
	siteBound = 8 << 20
	defer func() { siteBound = 0 }()
	s := newSite(t, repeatableRoute(2*time.Second))
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	})
	s.endpoint(t, plainHandler(10, 10))
	for range 4 {
		resp, text, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
		s.c.Assert(text, quicktest.Equals, "xxxxxxxxxx")
	}
	s.eventually(func() bool { return s.gateway.HeldBytes().Bytes == 0 })
}

// Guards against a caller that gets a closed connection, or a timeout, though a refusal could still be sent: its
// response did not fit and none of it had been sent.
func TestResponseThatDoesNotFitIsRefused(t *testing.T) {
	siteBound = 100 << 10
	defer func() { siteBound = 0 }()
	s := newSite(t, repeatableRoute(2*time.Second))
	calls := s.endpoint(t, plainHandler(500<<10, 500<<10))
	s.endpoint(t, plainHandler(500<<10, 500<<10))
	resp, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusBadGateway) // it may have been executed
	s.c.Assert(text, quicktest.Equals, "overloaded\n")
	s.c.Assert(calls.Load()+s.calls["e2"].Load(), quicktest.Equals, int64(1))
	s.eventually(func() bool { return s.gateway.HeldBytes().Bytes == 0 })
}

// Guards against a large event that is held outside the bound while it is incomplete.
func TestIncompleteEventIsCounted(t *testing.T) {
	siteBound = 8 << 20
	defer func() { siteBound = 0 }()
	s := newSite(t, onceRoute(time.Minute))
	gate := make(chan struct{})
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", streamType)
		_, _ = io.WriteString(w, "data: "+strings.Repeat("x", 500<<10))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-gate:
		case <-time.After(2 * testTimeout): // ends a failing test
		}
		_, _ = io.WriteString(w, "\n\n")
	})
	s.sendRaw(t, rawRequest)
	s.eventually(func() bool { return s.gateway.HeldBytes().Bytes >= 500<<10 })
	close(gate)
	s.eventually(func() bool { return s.gateway.HeldBytes().Bytes == 0 && s.gateway.InFlight() == 0 })
}
