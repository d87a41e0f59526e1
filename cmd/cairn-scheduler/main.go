// SPDX-License-Identifier: Apache-2.0

// Command cairn-scheduler manages endpoints: it loads adapters and admits requests.
package main

import (
	"os"

	"cairnwick.example/daemon"
	"cairnwick.example/scheduler"
)

func main() {
	os.Exit(daemon.Main("cairn-scheduler", "decides which adapters endpoints load and which requests they run",
		scheduler.Options, os.Args[1:], scheduler.Serve))
}
