// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestFencesAreOrderedByTermThenBox(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(NewFence(2, "a").Less(NewFence(3, "a")), quicktest.IsTrue)
	c.Assert(NewFence(2, "a").Less(NewFence(2, "b")), quicktest.IsTrue)
	c.Assert(NewFence(2, "a").Less(NewFence(2, "a")), quicktest.IsFalse)
	c.Assert(NewFence(2, "a").Next("b", 1).Less(NewFence(2, "a").Next("b", 2)), quicktest.IsTrue)
	c.Assert(NewFence(2, "a").Next("a", 2).Less(NewFence(2, "a").Next("b", 1)), quicktest.IsTrue)
	for _, want := range []Fence{NewFence(7, "box.1"), NewFence(6, "a").Next("box.1", 1<<31+5), NewFence(6, "a").Next("box;not-hex", 0), NewFence(6, "a").Next("box;12", 7)} {
		f, err := ParseFence(want.String())
		c.Assert(err, quicktest.IsNil)
		c.Assert(f, quicktest.Equals, want)
	}
}

func TestReportIsReadFromMetrics(t *testing.T) {
	c := quicktest.New(t)
	r, err := parseReport(strings.NewReader(`# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{model_name="b"} 3
# TYPE vllm:num_requests_waiting gauge
vllm:num_requests_waiting{model_name="b"} 1
# TYPE vllm:lora_requests_info gauge
vllm:lora_requests_info{max_lora="4",running_lora_adapters="a@1,b@2",waiting_lora_adapters=""} 1
`))
	c.Assert(err, quicktest.IsNil)
	c.Assert(r.Running(), quicktest.Equals, 3)
	c.Assert(r.InUse("b@2"), quicktest.IsTrue)
	c.Assert(r.InUse("c@1"), quicktest.IsFalse)
}

func TestReportWithoutAdapterMetricIsError(t *testing.T) {
	_, err := parseReport(strings.NewReader("# TYPE x gauge\nx 1\n"))
	quicktest.Assert(t, err, quicktest.ErrorMatches, "engine: metrics lack .*")
}

func TestRefusalIsTypedError(t *testing.T) {
	c := quicktest.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(FenceHeader, "9.other")
		w.Header().Set(ReasonHeader, string(CodeStaleFence))
		w.WriteHeader(http.StatusConflict)
	}))
	defer s.Close()
	client := &Client{Address: s.Listener.Addr().String(), HTTP: s.Client()}
	err := client.Load(context.Background(), Lease{Fence: NewFence(1, "a")}, "x@1", "p")
	var refused *RefusedError
	c.Assert(errors.As(err, &refused), quicktest.IsTrue)
	c.Assert(refused.Code, quicktest.Equals, CodeStaleFence)
	c.Assert(refused.HighestFence, quicktest.Equals, NewFence(9, "other"))
}

func TestUnknownFailureMayHaveExecuted(t *testing.T) {
	a := &http.Response{StatusCode: http.StatusInternalServerError, Header: http.Header{}}
	quicktest.Assert(t, ParseRefusal(a, nil).NotExecuted(), quicktest.IsFalse)
}

func TestOrderAfterLeaseExpiryIsNotSent(t *testing.T) {
	c := quicktest.New(t)
	var requests atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer s.Close()
	client := &Client{Address: s.Listener.Addr().String(), HTTP: newClient()}
	expired := Lease{Fence: NewFence(1, "a"), ExpiresAt: time.Now().Add(-time.Millisecond)}
	c.Assert(wasSent(c, client.Unload(context.Background(), expired, "x@1")), quicktest.IsFalse)
	c.Assert(wasSent(c, client.Load(context.Background(), expired, "x@1", "p")), quicktest.IsFalse)
	c.Assert(requests.Load(), quicktest.Equals, int32(0))
}
