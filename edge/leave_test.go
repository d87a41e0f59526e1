// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/placement"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

func TestShutdownCompletesHeldRequests(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	held, free := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(held)
		<-free
		_, _ = io.WriteString(w, "whole")
	})}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serveHTTP(ctx, server, l, time.Minute) }()
	body := make(chan string, 1)
	go func() {
		a, err := http.Get("http://" + l.Addr().String() + "/")
		if err != nil {
			body <- err.Error()
			return
		}
		defer a.Body.Close()
		raw, _ := io.ReadAll(a.Body) // what is missing shows below
		body <- string(raw)
	}()
	<-held
	stop()
	close(free)
	c.Assert(<-body, quicktest.Equals, "whole")
	c.Assert(<-ended, quicktest.IsNil)
}

// Guards against closed connections without a response when the shutdown times out while a request is held.
func TestShutdownAnswersHeldRequestsBeforeItsTimeout(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	held := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(held)
		<-r.Context().Done()
		_, _ = io.WriteString(w, context.Cause(r.Context()).Error())
	})}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serveHTTP(ctx, server, l, 2*finalAnswerTime) }()
	body := make(chan string, 1)
	go func() {
		a, err := http.Get("http://" + l.Addr().String() + "/")
		if err != nil {
			body <- err.Error()
			return
		}
		defer a.Body.Close()
		raw, _ := io.ReadAll(a.Body) // what is missing shows below
		body <- string(raw)
	}()
	<-held
	stop()
	c.Assert(<-body, quicktest.Equals, forward.ErrShutdown.Error())
	c.Assert(<-ended, quicktest.IsNil)
}

// adapterDecoder decodes every value as an endpoint that holds one adapter.
type adapterDecoder struct{ plainDecoder }

// Endpoint implements Decoder.
func (adapterDecoder) Endpoint(key string, _ []byte) (*topology.Endpoint, error) {
	a := topology.Adapter{Model: "m", Name: "a"}
	return topology.NewEndpoint(topology.EndpointSpec{ID: key, Service: "llm", Adapters: map[topology.Adapter]int64{a: 1}}), nil
}

// After a restart of all boxes no endpoint has an owner for about a second; until then the adapters that it published
// itself are used.
func TestPublishedAdaptersAreUsedUntilAnEndpointIsOwned(t *testing.T) {
	c := quicktest.New(t)
	view, table := topology.NewView(), share.NewTable()
	s := &state{view: view, table: table, decoder: adapterDecoder{}, fences: &placement.Fences{}, log: logr.Discard()}
	table.OnChange = s.apply
	table.Merge(&wire.Item{Key: "e/1", Version: 1})
	held := view.EndpointsReady(topology.Adapter{Model: "m", Name: "a"})
	c.Assert(held, quicktest.HasLen, 1)
	c.Assert(held[0].ID(), quicktest.Equals, "e/1")
}
