// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cairnwick.example/engine"
	"github.com/frankban/quicktest"
)

// Guards against a soak that shows nothing, since requests are refused before they run, or with responses that prove that.
func TestLateRefusalsComeFromRequestsThatRan(t *testing.T) {
	te := newTestEngine(t, func(*Engine) {})
	te.Assert(te.client.Load(context.Background(), engine.Lease{Fence: fence}, "a@1", "adapters/a/1"), quicktest.IsNil)
	post := func(path, body string) *http.Response {
		resp, err := http.Post("http://"+te.client.Address+path, "application/json", strings.NewReader(body))
		te.Assert(err, quicktest.IsNil)
		te.Assert(resp.Body.Close(), quicktest.IsNil)
		return resp
	}
	for _, query := range []string{"share=2&seed=1", "share=0.1&seed=-1", "share=0.1"} {
		te.Check(post("/control/refuse-late?"+query, "").StatusCode, quicktest.Equals, http.StatusBadRequest)
	}
	te.Check(post("/control/refuse-late?share=1&seed=1", "").StatusCode, quicktest.Equals, http.StatusOK)
	statuses := make(map[int]bool)
	const requests = 40
	for range requests {
		resp := post("/v1/completions", `{"model": "a@1", "prompt": "x", "max_tokens": 2}`)
		te.Check(resp.StatusCode >= http.StatusBadRequest, quicktest.IsTrue)
		te.Check(engine.ParseRefusal(resp, nil).NotExecuted(), quicktest.IsFalse)
		statuses[resp.StatusCode] = true
	}
	te.Check(te.engine.Counts().Runs, quicktest.Equals, requests)
	te.Check(len(statuses) > 3, quicktest.IsTrue)
}

// The same for a plain service: a call that it refuses counts as one that it got.
func TestLateRefusalsOfAServiceAreCounted(t *testing.T) {
	c := quicktest.New(t)
	s := &Service{}
	h := s.Handler()
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/control/refuse-late?share=1&seed=1", nil))
	r := httptest.NewRequest(http.MethodPost, "/bookings", nil)
	r.Header.Set(engine.KeyHeader, "k")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	c.Check(w.Code >= http.StatusBadRequest, quicktest.IsTrue)
	c.Check(s.keys["k"], quicktest.Equals, 1)
}
