// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"

	"cairnwick.example/operator"
)

type explainCommand struct {
	Request string `arg:"positional,required" help:"the request's id, as its answer gave it"`
}

func (e *explainCommand) run(ctx context.Context, c *operator.Client, addresses []string, out, errs io.Writer) int {
	found, silent := c.Explain(ctx, addresses, e.Request)
	code := report(errs, silent)
	if len(found) == 0 {
		fmt.Fprintf(errs, "no daemon remembers request %s\n", e.Request)
		return exitNotFound
	}
	operator.PrintDecisions(out, found)
	return code
}
