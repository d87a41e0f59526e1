// SPDX-License-Identifier: Apache-2.0

// Command cairn-scheduler owns endpoints.
package main

import (
	"os"

	"cairnwick.example/daemon"
	"cairnwick.example/scheduler"
)

func main() {
	os.Exit(daemon.Main("cairn-scheduler", "decides what endpoints hold and who runs on them",
		scheduler.Options, os.Args[1:], scheduler.Serve))
}
