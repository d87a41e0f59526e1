// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// Guards against a redirect that counts as a completion, or is followed: the request may have been executed where it was sent.
func TestRedirectOfAnEngineIsNoCompletion(t *testing.T) {
	c := quicktest.New(t)
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
	}))
	defer server.Close()
	g := newSendingGateway(c)
	q, f := parseTestRequest(g, `{"model": "a", "prompt": "x"}`)
	c.Assert(f == nil, quicktest.IsTrue)
	r := &wire.ReleaseRequest{}
	h := heldGrant{grant: &wire.Grant{Address: server.Listener.Addr().String()}, endpoint: "e1", sendBy: clock.Now().Add(time.Minute)}
	f = g.send(context.Background(), q, &callerResponse{writer: httptest.NewRecorder()}, h, r)
	c.Assert(f != nil, quicktest.IsTrue)
	c.Check(f.Ran, quicktest.Equals, MayHaveRun)
	c.Check(r.GetOutcome(), quicktest.Equals, wire.Outcome_OUTCOME_UNKNOWN)
	c.Check(requests.Load(), quicktest.Equals, int64(1))
}
