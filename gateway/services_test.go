// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/policy"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// Guards against a service call without a body that net/http sends a second time, after the service had read it and closed the
// reused connection.
func TestServiceCallWithoutBodyArrivesOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions} {
		c := quicktest.New(t)
		var arrived atomic.Int32
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader)) // otherwise the connection is not used again
			if arrived.Add(1) == 1 {
				return
			}
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				conn.Close()
			}
		}))
		defer s.Close()
		g := newGateway(c, ScopeDataCentre)
		g.EngineClient = &http.Client{Transport: engine.NewTransport((&net.Dialer{}).DialContext, 4)}
		g.Log, g.RetryBudget = logr.Discard(), policy.NewRetryBudget(1, 1)
		g.Timeouts.KeyClaim = time.Minute
		send := func() *Failure {
			call := &serviceCall{id: newRequestID(), method: method, path: "/"}
			return g.sendServiceCall(context.Background(), call, &callerResponse{writer: httptest.NewRecorder()}, s.Listener.Addr().String())
		}
		c.Assert(send() == nil, quicktest.IsTrue)
		f := send()
		c.Assert(f != nil, quicktest.IsTrue)
		c.Check(f.Ran, quicktest.Equals, MayHaveRun)
		c.Check(arrived.Load(), quicktest.Equals, int32(2))
	}
}
