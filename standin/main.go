// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Main serves h on address until SIGTERM or SIGINT and returns the exit code.
// If run is not nil, it runs alongside the server with a context that is
// cancelled by the signal. If repeats is not nil, it may have responses sent once more.
func Main(address string, h http.Handler, run func(context.Context) error, repeats *Repeater) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if repeats != nil {
		l = repeats.Wrap(l)
	}
	ended := make(chan error, 1)
	if run == nil {
		ended <- nil
	} else {
		go func() { ended <- run(ctx) }()
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	<-ctx.Done()
	_ = s.Close() // no graceful shutdown: open connections are dropped
	<-served
	<-ended
	return 0
}
