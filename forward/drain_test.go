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

func TestRequestIsCancelledWithCaller(t *testing.T) {
	s := newSite(t, onceRoute(time.Minute))
	begun, left := make(chan struct{}), make(chan struct{})
	s.endpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body
		close(begun)
		<-r.Context().Done()
		close(left)
	})
	ctx, leave := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/", nil)
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	r.Header.Set("Id", "call-1")
	ended := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(r)
		ended <- err
	}()
	<-begun
	leave()
	s.c.Assert(<-ended, quicktest.IsNotNil)
	<-left // the endpoint's handler has returned
}

func TestDrainClosesConnections(t *testing.T) {
	s := newSite(t, onceRoute(time.Minute))
	calls := s.endpoint(t, answerOK)
	s.gateway.Drain()
	resp, body, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(body, quicktest.Equals, "fine")
	s.c.Assert(resp.Close, quicktest.IsTrue)
	s.c.Assert(calls.Load(), quicktest.Equals, int64(1))
}
