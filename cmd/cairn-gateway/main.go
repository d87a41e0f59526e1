// SPDX-License-Identifier: Apache-2.0

// Command cairn-gateway accepts callers' requests and forwards them to endpoints.
package main

import (
	"os"

	"cairnwick.example/daemon"
	"cairnwick.example/gateway"
)

func main() {
	os.Exit(daemon.Main("cairn-gateway", "accepts callers' requests and streams the responses",
		gateway.Options, os.Args[1:], gateway.Serve))
}
