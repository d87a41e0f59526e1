// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// newBodySite is a site that takes bodies up to 4 MB and holds at most the given number of bytes.
func newBodySite(t *testing.T, bound int64) *testSite {
	s := newSlowSite(t, bound, onceRoute(time.Minute))
	config := s.gateway.View.Config()
	route := onceRoute(time.Minute)
	route.Host, route.Services = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}
	s.gateway.View.SetConfig(topology.NewConfig(config.Version()+1, []*topology.Route{topology.NewRoute(route)},
		[]*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app"})}, topology.RequestLimits{MaxBodyBytes: 4 << 20}))
	return s
}

// post sends a body and returns the response and its text.
func (s *testSite) post(body io.Reader) (*http.Response, string) {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", body)
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	r.Header.Set("Id", "call-1")
	resp, err := http.DefaultClient.Do(r)
	s.c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	s.c.Assert(err, quicktest.IsNil)
	return resp, string(text)
}

// unsized hides the length of a body, which is sent in chunks then.
type unsized struct{ io.Reader }

// Guards against bodies that exceed the box's memory, and against their bytes staying counted.
func TestBodyBeyondBoundIsRefused(t *testing.T) {
	s := newBodySite(t, 1<<20)
	calls := s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	large := strings.Repeat("x", 1<<20)
	for _, body := range []io.Reader{strings.NewReader(large), unsized{strings.NewReader(large)}} {
		resp, text := s.post(body)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable) // guarantees that it was not executed
		s.c.Assert(text, quicktest.Equals, "overloaded\n")
		s.c.Assert(resp.Header.Get("Test-Retry-After"), quicktest.Equals, overloadRetryAfter.String())
	}
	s.c.Assert(calls.Load(), quicktest.Equals, int64(0))
	s.eventually(func() bool { return s.gateway.HeldBytes() == HeldByteCounts{Limit: 1 << 20, Refused: 2} })

	fitting := strings.Repeat("x", 300<<10)
	for _, body := range []io.Reader{strings.NewReader(fitting), unsized{strings.NewReader(fitting)}} {
		resp, text := s.post(body)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
		s.c.Assert(text, quicktest.Equals, fmt.Sprint(len(fitting)))
	}
	s.eventually(func() bool { return s.gateway.HeldBytes().Bytes == 0 })
}

// Guards against a refusal that waits for the rest of the body, which the caller may send slowly.
func TestBodyIsRefusedAtOnce(t *testing.T) {
	s := newBodySite(t, 100<<10)
	began := time.Now()
	c := s.sendRaw(t, rawHead+"Content-Length: 90000\r\n\r\nhalf")
	status, body, err := readResponse(c)
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(status, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(string(body), quicktest.Equals, "overloaded\n")
	s.c.Assert(time.Since(began) < unadmittedTimeout, quicktest.IsTrue)
}

// Guards against callers that announce large bodies, send none of them, and have the requests of others refused.
func TestAnnouncedBodyIsNotCounted(t *testing.T) {
	s := newBodySite(t, 1<<20)
	s.endpoint(t, answerOK)
	for range 10 {
		s.sendRaw(t, rawHead+"Content-Length: 700000\r\n\r\nhalf")
	}
	s.eventually(func() bool { return s.gateway.InFlight() == 10 })
	resp, _ := s.post(strings.NewReader(strings.Repeat("x", 300<<10)))
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
}

// Guards against a refusal for memory of a body that is too large anyway: a retry would not help its caller.
func TestBodyBeyondRouteLimitIsTooLarge(t *testing.T) {
	s := newBodySite(t, 1<<20)
	resp, _ := s.post(strings.NewReader(strings.Repeat("x", 5<<20)))
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusRequestEntityTooLarge)
	s.c.Assert(s.gateway.HeldBytes().Refused, quicktest.Equals, int64(0))
}
