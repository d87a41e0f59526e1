// SPDX-License-Identifier: Apache-2.0

// Command cairn-measure gives the figures of the documents.
package main

import "os"

func main() { os.Exit(run(os.Args[1:])) }
