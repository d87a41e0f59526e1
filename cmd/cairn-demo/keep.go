// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"cairnwick.example/fleet"
)

// keepRunning starts the system for the walk-through and keeps it running until interrupted.
func keepRunning(w io.Writer, bin string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return withFleet(ctx, bin, fleet.Walkthrough(), func(f *fleet.Fleet) error {
		fmt.Fprintf(w, "export CAIRN_DAEMONS=%s\nexport GATEWAY=http://%s\nexport PLATFORM=http://%s\nexport ENGINE=http://%s\n",
			strings.Join(f.DaemonAddresses(), ","), f.CallersAddress(1, 1), f.PlatformAddress(), f.EngineAddress(1, 1))
		fmt.Fprintln(w, "# running; interrupt to stop")
		<-ctx.Done()
		return nil
	})
}
