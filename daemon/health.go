// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/transfer"
	"github.com/pkg/errors"
)

// operatorTask serves health checks, metrics and profiles over HTTP.
func (n *Node) operatorTask(l net.Listener) Task {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", n.handleReady)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	n.publishMetrics()
	return func(ctx context.Context) error { return ServeHTTP(ctx, l, mux) }
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, n.state())
}

// publishMetrics exports the metrics of every daemon.
func (n *Node) publishMetrics() {
	expvar.Publish("cairn_revision", expvar.Func(func() any {
		if c := n.Keeper.Catalog(); c != nil {
			return c.Revision()
		}
		return 0
	}))
	expvar.Publish("cairn_head", expvar.Func(func() any {
		if c := n.Keeper.Catalog(); c != nil {
			return c.Digest()
		}
		return ""
	}))
	expvar.Publish("cairn_members", expvar.Func(func() any {
		count := make(map[string]int)
		for _, m := range n.Table.Members() {
			count[m.State().String()]++
		}
		return count
	}))
	n.traffic.publish()
	expvar.Publish("cairn_links", n.links)
	expvar.Publish("cairn_surplus_responses", expvar.Func(func() any { return engine.SurplusResponses() }))
	expvar.Publish("cairn_goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	expvar.Publish("cairn_platform_calls", expvar.Func(func() any { return n.BoxList.Client.Calls() }))
}

const (
	headerTimeout = 10 * time.Second
	closeTimeout  = 5 * time.Second
)

// ServeHTTP serves h on l until ctx ends. Requests in flight then have closeTimeout to
// finish.
func ServeHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: transfer.MaxHeadBytes}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "daemon: serve HTTP")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		_ = s.Close() // closes the connections that are still in use after closeTimeout
	}
	<-served
	return nil
}
