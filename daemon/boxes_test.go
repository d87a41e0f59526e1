// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cairnwick.example/kvstore"
	"github.com/frankban/quicktest"
)

func TestUnresponsivePlatformDoesNotBlockList(t *testing.T) {
	c := quicktest.New(t)
	requested, hang := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(requested)
		<-hang
	}))
	defer s.Close()
	defer close(hang)
	b := &BoxList{
		Client:          &kvstore.Client{Address: s.URL, Timeout: time.Minute, HTTP: s.Client()},
		RefreshInterval: func() time.Duration { return time.Minute },
		list:            []kvstore.Daemon{{Name: "b/scheduler", DataCentre: "d", Role: "scheduler"}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	<-requested
	c.Assert(b.SchedulerNames("d"), quicktest.DeepEquals, []string{"b/scheduler"})
	cancel()
	c.Assert(<-ended, quicktest.IsNil)
}

func TestInvalidListKeepsLastOne(t *testing.T) {
	c := quicktest.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", "1")
		_, _ = w.Write([]byte("{"))
	}))
	defer s.Close()
	b := &BoxList{Client: &kvstore.Client{Address: s.URL, Timeout: time.Minute, HTTP: s.Client()}, list: []kvstore.Daemon{{Name: "b"}}}
	c.Assert(b.Refresh(context.Background()), quicktest.IsFalse)
	c.Assert(b.List(), quicktest.HasLen, 1)
}
