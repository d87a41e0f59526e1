// SPDX-License-Identifier: Apache-2.0

// Command cairn-gateway faces the callers.
package main

import (
	"os"

	"cairnwick.example/daemon"
	"cairnwick.example/gateway"
)

func main() {
	os.Exit(daemon.Main("cairn-gateway", "holds callers' requests and streams their answers",
		gateway.Options, os.Args[1:], gateway.Serve))
}
