// SPDX-License-Identifier: Apache-2.0

// Command cairnwick is one entry box on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cairnwick.example/daemon"
	"cairnwick.example/edge"
	"cairnwick.example/logging"
	"cairnwick.example/platform"
	"github.com/alexflint/go-arg"
)

type command struct {
	Debug bool `arg:"--debug" help:"log every step"`
}

func main() { os.Exit(run()) }

func run() int {
	var c command
	arg.MustParse(&c)
	s, store, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	log := logging.New(os.Stdout, s.Box, s.DataCentre, "edge", c.Debug)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n := &edge.Node{
		Settings: s,
		Source:   platform.NewStore(store),
		Decoder:  platform.Decoder{},
		Protocol: platform.Protocol{},
		Control:  platform.NewControl(),
		Log:      log,
	}
	if err := n.Run(ctx); err != nil {
		log.Error(err, "Box failed")
		return daemon.ExitFailed
	}
	return daemon.ExitDone
}
