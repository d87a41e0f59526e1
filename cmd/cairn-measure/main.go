// SPDX-License-Identifier: Apache-2.0

// Command cairn-measure runs benchmarks, fault-injection runs and log analyses.
package main

import "os"

func main() { os.Exit(run(os.Args[1:])) }
