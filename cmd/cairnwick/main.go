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

type arguments struct {
	Debug   bool `arg:"--debug" help:"log every step"`
	Profile bool `arg:"--profile" help:"serve profiles of the process on the metrics address, under /debug/pprof/"`
}

func main() { os.Exit(run()) }

func run() int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else: without a handler SIGHUP ends the process
	var args arguments
	arg.MustParse(&args)
	path := os.Getenv(platform.SettingsVariable)
	content, _ := os.ReadFile(path) // ReadSettings reports an error
	settings, store, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	output := logging.NewBoundedWriter(os.Stdout)
	output.Box = settings.Box
	log := logging.New(output, settings.Box, settings.DataCentre, "edge", args.Debug)
	flush := startLogWriter(output)
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	control := platform.NewControl()
	node := &edge.Node{
		Settings: settings,
		Source:   platform.NewStore(store),
		Decoder:  platform.Decoder{},
		Protocol: platform.Protocol{},
		Control:  control,
		Log:      log,
		Lines:    output,
		Profile:  args.Profile,
	}
	control.Notice = node.HandleNotice
	reloaded := make(chan struct{})
	r := &reloader{Path: path, Content: content, Reload: node.Reload, Hangups: hangups, Log: log, Interval: settingsInterval}
	go func() {
		r.Run(ctx)
		close(reloaded)
	}()
	err = node.Run(ctx)
	stop()
	<-reloaded
	if err != nil {
		log.Error(err, "Box failed")
		return daemon.ExitFailed
	}
	return daemon.ExitOK
}

// startLogWriter starts writing queued log lines. The function that it returns flushes the queue and stops.
func startLogWriter(lines *logging.BoundedWriter) func() {
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
