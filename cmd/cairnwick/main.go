// SPDX-License-Identifier: Apache-2.0

// Command cairnwick runs an entry box on the users' platform.
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
	Debug   bool `arg:"--debug" help:"log every step"`
	Profile bool `arg:"--profile" help:"serve profiles of the process on the metrics address, under /debug/pprof/"`
}

func main() { os.Exit(run()) }

func run() int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else: without a handler SIGHUP ends the process
	var c command
	arg.MustParse(&c)
	s, store, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	lines := logging.NewBounded(os.Stdout)
	lines.Box = s.Box
	log := logging.New(lines, s.Box, s.DataCentre, "edge", c.Debug)
	flush := write(lines)
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	control := platform.NewControl()
	n := &edge.Node{
		Settings: s,
		Source:   platform.NewStore(store),
		Decoder:  platform.Decoder{},
		Protocol: platform.Protocol{},
		Control:  control,
		Log:      log,
		Lines:    lines,
		Profile:  c.Profile,
	}
	control.Notice = n.HandleNotice
	reloaded := make(chan struct{})
	go func() {
		reload(ctx, n, hangups)
		close(reloaded)
	}()
	err = n.Run(ctx)
	stop()
	<-reloaded
	if err != nil {
		log.Error(err, "Box failed")
		return daemon.ExitFailed
	}
	return daemon.ExitDone
}

// write starts writing queued log lines. The function that it returns flushes the queue and stops.
func write(lines *logging.Bounded) func() {
	ctx, end := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- lines.Run(ctx) }()
	return func() {
		end()
		if err := <-done; err != nil {
			fmt.Fprintln(os.Stderr, "log:", err)
		}
	}
}

// reload reads the settings again on each SIGHUP, until ctx ends. Settings that cannot be read
// change nothing.
func reload(ctx context.Context, n *edge.Node, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, _, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			n.Log.Error(err, "Failed to reload settings; keeping the current ones")
			continue
		}
		n.Reload(s)
	}
}
