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
	Debug   bool `arg:"--debug" help:"log every step"`
	Profile bool `arg:"--profile" help:"serve profiles of the process on the metrics address, under /debug/pprof/"`
}

func main() { os.Exit(run()) }

func run() int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first of all: a process that does not listen would end
	var c command
	arg.MustParse(&c)
	s, store, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	lines := logging.NewBoundedWriter(os.Stdout)
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

// write writes the log until the function that it returns is called, which writes
// what is left.
func write(lines *logging.BoundedWriter) func() {
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

// reload reads the settings again at each SIGHUP, until ctx ends. What cannot be
// read changes nothing.
func reload(ctx context.Context, n *edge.Node, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, _, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			n.Log.Error(err, "Settings can't be read again; the old ones stay in force")
			continue
		}
		n.Reload(s)
	}
}
