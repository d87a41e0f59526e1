// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
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
