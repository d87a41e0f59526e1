// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"
)

// respondWith returns a handler that responds with a status and, if it is not empty, a header.
func respondWith(status int, header string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, "1")
		}
		w.WriteHeader(status)
	}
}

// The log and the metrics did not say what proved that an attempt was not executed.
func TestLogNamesTheProofOfEachAttempt(t *testing.T) {
	for _, k := range []struct {
		name    string
		handler http.HandlerFunc
		proof   string
		status  int
		counts  ProofCounts
	}{
		{"rejection", refuseNotExecuted, "rejected", 503, ProofCounts{Rejected: 1}},
		{"wrong endpoint", respondWith(421, "Test-Wrong-Endpoint"), "misdirected", 421, ProofCounts{Misdirected: 1}},
		{"unsigned", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Del("Signed")
			answerOK(w, r)
		}, "none", 200, ProofCounts{None: 1}},
		{"no response", dropConnection, "none", 0, ProofCounts{None: 1}},
	} {
		t.Run(k.name, func(t *testing.T) {
			var l logLines
			s := newSite(t, onceRoute(time.Second))
			s.gateway.Log = funcr.New(l.add, funcr.Options{})
			s.endpoint(t, k.handler)
			_, _, err := s.ask("/")
			s.c.Assert(err, quicktest.IsNil)
			s.c.Check(l.containing(fmt.Sprintf(`"proof"=%q "status"=%d`, k.proof, k.status)), quicktest.HasLen, 1)
			s.c.Check(l.containing(fmt.Sprintf(`"proofs"=[%q]`, k.proof)), quicktest.HasLen, 1)
			s.c.Check(s.gateway.Proofs(), quicktest.Equals, k.counts)
		})
	}
	t.Run("nothing listens", func(t *testing.T) {
		var l logLines
		s := newSite(t, onceRoute(time.Second))
		s.gateway.Log = funcr.New(l.add, funcr.Options{})
		s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: "gone", Service: "app", Address: "127.0.0.1:1", DataCentre: "dc", Slots: 4}))
		_, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Check(l.containing(`"proof"="unsent" "status"=0`), quicktest.HasLen, 1)
		s.c.Check(s.gateway.Proofs(), quicktest.Equals, ProofCounts{Unsent: 1})
	})
}

// Guards against a status of an endpoint that is relayed as the box's promise that the request was not executed.
func TestUnprovenRefusalIsNotRelayed(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, held := range map[string]int64{"at once": 0, "buffered": 1 << 20} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				s := newSite(t, onceRoute(time.Second))
				s.gateway.MaxHeldBytes = held
				refuse := func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Test-Backoff", "0.3")
					w.WriteHeader(status)
					_, _ = io.WriteString(w, "of the endpoint")
				}
				first, second := s.endpoint(t, refuse), s.endpoint(t, refuse)
				resp, text, err := s.ask("/")
				s.c.Assert(err, quicktest.IsNil)
				s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway)
				s.c.Check(resp.Header.Get("Signed"), quicktest.Equals, "")
				s.c.Check(text, quicktest.Not(quicktest.Contains), "of the endpoint")
				s.c.Check(first.Load()+second.Load(), quicktest.Equals, int64(1))
				s.c.Check(s.gateway.Proofs().Unproven, quicktest.Equals, int64(1))
			})
		}
	}
}

// A caller that may repeat its request gets the refusal as the endpoint sent it.
func TestUnprovenRefusalOfARepeatableRequestIsRelayed(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		s := newSite(t, repeatableRoute(time.Second))
		s.endpoint(t, respondWith(status, ""))
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Check(resp.StatusCode, quicktest.Equals, status)
		s.c.Check(resp.Header.Get("Signed"), quicktest.Equals, "yes")
	}
}
