// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"cairnwick.example/fleet"
)

// keep starts the system of the walk-through and keeps it until interrupted.
func keep(w io.Writer, bin string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	dir, err := os.MkdirTemp("", "cairn-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f := fleet.New(fleet.Spec{
		Bin: bin, Dir: dir,
		Centres: 2, Boxes: 1, Engines: 2, Services: 1,
		Adapters: 20, Slots: 2, Batch: 8,
	})
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	var daemons []string
	for _, b := range f.Boxes() {
		daemons = append(daemons, b.Address)
	}
	fmt.Fprintf(w, "export CAIRN_DAEMONS=%s\nexport GATEWAY=http://%s\nexport PLATFORM=http://%s\nexport ENGINE=http://%s\n",
		strings.Join(daemons, ","), f.CallersAddress(1, 1), f.PlatformAddress(), f.EngineAddress(1, 1))
	fmt.Fprintln(w, "# running; interrupt to end")
	<-ctx.Done()
	return nil
}
