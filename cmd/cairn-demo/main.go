// SPDX-License-Identifier: Apache-2.0

// Command cairn-demo sends requests through a complete system of real daemons and stand-in engines
// and explains the routing of one of them.
package main

import (
	"context"
	"fmt"
	"os"

	"cairnwick.example/fleet"
	"github.com/alexflint/go-arg"
)

type arguments struct {
	Bin  string `arg:"--bin" default:"bin" help:"directory of the programs"`
	Keep bool   `arg:"--keep" help:"start a system for the walk-through and keep it until interrupted"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	run := runDemo
	if a.Keep {
		run = keepRunning
	}
	if err := run(os.Stdout, a.Bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// withFleet starts a fleet of the programs in bin in a temporary directory, calls use when the
// fleet is ready, and stops the fleet and removes the directory afterwards.
func withFleet(ctx context.Context, bin string, s fleet.Spec, use func(*fleet.Fleet) error) error {
	dir, err := os.MkdirTemp("", "cairn-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s.Bin, s.Dir = bin, dir
	f := fleet.New(s)
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	return use(f)
}
