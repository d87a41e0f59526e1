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

	"github.com/pkg/errors"
)

// operatorsTask serves health and metrics by HTTP.
func (n *Node) operatorsTask(l net.Listener) Task {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	m.HandleFunc("GET /readyz", n.showReady)
	m.Handle("GET /debug/vars", expvar.Handler())
	m.HandleFunc("GET /debug/pprof/", pprof.Index)
	m.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	m.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	n.publish()
	return func(ctx context.Context) error { return ServeHTTP(ctx, l, m) }
}

func (n *Node) showReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, n.state())
}

// publish exports the figures that every daemon has.
func (n *Node) publish() {
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
	expvar.Publish("cairn_goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	expvar.Publish("cairn_platform_calls", expvar.Func(func() any { return n.Boxes.Client.Calls() }))
}

const (
	headerTimeout = 10 * time.Second
	closeTimeout  = 5 * time.Second
)

// ServeHTTP serves h on l until ctx ends; answers under way are then given a
// short time.
func ServeHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "daemon: serve HTTP")
	case <-ctx.Done():
	}
	end, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.Shutdown(end); err != nil {
		_ = s.Close() // what is left after the drain has had its time
	}
	<-served
	return nil
}
