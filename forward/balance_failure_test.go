// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// lostCaller is the connection of a caller that has gone: writes fail, and the request's context has not ended yet.
type lostCaller struct{ *httptest.ResponseRecorder }

// Write implements http.ResponseWriter.
func (lostCaller) Write([]byte) (int, error) { return 0, errors.New("connection is closed") }

// Guards against endpoints that count as failing since their callers left: the write to the caller failed before the
// request's context ended.
func TestFailedWriteToTheCallerIsNoFailureOfTheEndpoint(t *testing.T) {
	s := newBalancedSite(t, resumableRoute(2*time.Second), memoryBound, readyAt("e1"))
	s.add(t, "dc", true, func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, 1, 3, false) })
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("the body"))
	r.Host = "site.example"
	r.Header.Set("Id", "call-1")
	r.Header.Set("Adapter", "m/a")
	func() {
		defer func() { _ = recover() }() // net/http ends the handlers of broken responses by a panic
		s.gateway.ServeHTTP(lostCaller{httptest.NewRecorder()}, r)
	}()
	s.c.Assert(s.calls["e1"].Load(), quicktest.Equals, int64(1))
	s.eventuallyFinished()
	_, failed, _ := s.runs.snapshot()
	s.c.Assert(failed, quicktest.HasLen, 0)
}

// Guards against an endpoint that breaks resumed streams off and keeps its speed in the leader's view: only the first
// attempt was reported.
func TestEachBrokenStreamIsReportedOnce(t *testing.T) {
	s := newBalancedSite(t, resumableRoute(2*time.Second), memoryBound, nil)
	s.placer.answer = readyAt("e1")
	breaks := func(w http.ResponseWriter, r *http.Request) {
		s.placer.mu.Lock()
		s.placer.answer = readyAt("e2")
		s.placer.mu.Unlock()
		if r.Header.Get("Test-Last-Event-Id") == "" {
			sendEvents(w, 1, 2, true)
		}
		sendEvents(w, 3, 4, true)
	}
	s.add(t, "dc", true, breaks)
	s.add(t, "dc", true, breaks)
	_, err := s.call(t.Context(), "m/a")
	s.c.Assert(err, quicktest.IsNotNil)
	s.eventuallyFinished()
	_, failed, _ := s.runs.snapshot()
	s.c.Assert(slices.Sorted(slices.Values(failed)), quicktest.DeepEquals, []string{"e1", "e2"})
}

// Guards against a failed attempt that is not reported, or reported again when its response is relayed.
func TestEachFailedAttemptIsReportedOnce(t *testing.T) {
	for name, k := range map[string]struct {
		handler http.HandlerFunc
		failed  []string
	}{
		"status 500": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, []string{"e1"}},
		"no answer":  {dropConnection, []string{"e1"}},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, []string{"e1"}},
		"success":    {answerOK, nil},
		"status 400": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newBalancedSite(t, onceRoute(2*time.Second), memoryBound, readyAt("e1"))
			s.add(t, "dc", true, k.handler)
			s.status("m/a")
			s.eventuallyFinished()
			_, failed, _ := s.runs.snapshot()
			s.c.Assert(failed, quicktest.DeepEquals, k.failed)
		})
	}
}
