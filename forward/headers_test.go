// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// receivedHeaders returns the headers that an endpoint gets for a request with headers h.
func receivedHeaders(t *testing.T, h http.Header) http.Header {
	s := newSite(t, onceRoute(time.Second))
	got := make(chan http.Header, 1)
	s.endpoint(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Header })
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", nil)
	s.c.Assert(err, quicktest.IsNil)
	r.Host, r.Header = "site.example", h
	resp, err := http.DefaultClient.Do(r)
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.Body.Close(), quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	return <-got
}

func TestDirectivesOfCallersAreRemoved(t *testing.T) {
	h := receivedHeaders(t, http.Header{"Id": {"call-1"}, "order-endpoint": {"a"}, "Order-Endpoint": {"b", "c"}, "Connection": {"order-endpoint"}})
	quicktest.Assert(t, h["Order-Endpoint"], quicktest.HasLen, 0)
}

func TestConnectionHeaderDoesNotRemoveCallHeaders(t *testing.T) {
	h := receivedHeaders(t, http.Header{"Id": {"call-1"}, "Adapter": {"m/a1"}, "Custom": {"x"}, "Connection": {"adapter, id, custom"}})
	quicktest.Assert(t, h.Get("Id"), quicktest.Equals, "call-1")
	quicktest.Assert(t, h.Get("Adapter"), quicktest.Equals, "m/a1")
	quicktest.Assert(t, h["Custom"], quicktest.HasLen, 0)
}
