// SPDX-License-Identifier: Apache-2.0

// Command cairn-demo shows a request from end to end on stand-ins.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Bin  string `arg:"--bin" default:"bin" help:"folder of the programs"`
	Keep bool   `arg:"--keep" help:"start a system for the walk-through and keep it until interrupted"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	run := show
	if a.Keep {
		run = keep
	}
	if err := run(os.Stdout, a.Bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
