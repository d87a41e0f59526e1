// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/standin"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// repeatingEngine starts an engine that holds the adapter a@1 and sends each response of a connection once more, in the place of
// the next one. It returns the engine and a client of it.
func repeatingEngine(t *testing.T, hidesIDs bool) (*standin.Engine, *engine.Client) {
	e := &standin.Engine{
		Base: "b", Slots: 2, BatchSize: 4, QueueLimit: 4, StepTime: time.Millisecond, ResumeWindow: time.Second, HidesRequestIDs: hidesIDs,
		Store: func(context.Context, string) (string, error) { return "a@1", nil },
	}
	s := httptest.NewUnstartedServer(e.Handler())
	s.Listener = e.Repeats.Wrap(s.Listener)
	s.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		s.Close()
	})
	e.Repeats.SetShare(1)
	client := &http.Client{Transport: engine.NewTransport((&net.Dialer{}).DialContext, 4)}
	return e, &engine.Client{Address: s.Listener.Addr().String(), HTTP: client}
}

// Guards against a completion, or the refusal of one, that answers the next request on its connection.
func TestCompletionsAreNotMistakenForEachOther(t *testing.T) {
	for name, hidesIDs := range map[string]bool{"with request IDs": false, "without request IDs": true} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			e, client := repeatingEngine(t, hidesIDs)
			lease := engine.Lease{Fence: engine.NewFence(1, "box")}
			g := newGateway(c, ScopeDataCentre)
			g.EngineClient, g.Log = client.HTTP, logr.Discard()
			g.Timeouts.Idle, g.Timeouts.Resume = time.Second, time.Second
			completed := 0
			for n := range 12 {
				loaded, stream := n%3 != 1, n%2 == 0
				switch {
				case !loaded:
					c.Assert(client.Unload(context.Background(), lease, "a@1"), quicktest.IsNil)
				case n%3 == 2 || n == 0:
					c.Assert(client.Load(context.Background(), lease, "a@1", "p"), quicktest.IsNil)
				}
				q, f := parseTestRequest(g, fmt.Sprintf(`{"model": "a", "prompt": "x", "max_tokens": 2, "stream": %v}`, stream))
				c.Assert(f == nil, quicktest.IsTrue)
				q.id = fmt.Sprint("r", n)
				w := httptest.NewRecorder()
				h := heldGrant{grant: &wire.Grant{Address: client.Address}, endpoint: "e1", sendBy: clock.Now().Add(time.Minute)}
				r := &wire.ReleaseRequest{}
				f = g.send(context.Background(), q, &callerResponse{writer: w}, h, r)
				if !loaded {
					c.Assert(f != nil, quicktest.IsTrue)
					c.Check(f.Ran, quicktest.Equals, NotRun)
					c.Check(r.GetNotLoaded(), quicktest.IsTrue)
					continue
				}
				completed++
				c.Assert(f == nil, quicktest.IsTrue, quicktest.Commentf("%v", f))
				c.Check(w.Body.String(), quicktest.Contains, fmt.Sprintf(`"id":%q`, q.runID()))
			}
			c.Check(e.Counts().Runs, quicktest.Equals, completed)
		})
	}
}
