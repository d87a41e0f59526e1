// SPDX-License-Identifier: Apache-2.0

// Command cairnctl is the command-line client for operators.
package main

import "os"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
