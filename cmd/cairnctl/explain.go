// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"

	"cairnwick.example/operator"
)

type explainCommand struct {
	Request string `arg:"positional,required" help:"the request's id, from its response"`
}

func (e *explainCommand) run(ctx context.Context, c *operator.Client, addresses []string, out, errs io.Writer) int {
	found, unreachable := c.Explain(ctx, addresses, e.Request)
	code := reportUnreachable(errs, unreachable)
	if len(found) == 0 {
		fmt.Fprintf(errs, "request %s not found on any daemon\n", e.Request)
		return exitNotFound
	}
	operator.PrintDecisions(out, found)
	return code
}
