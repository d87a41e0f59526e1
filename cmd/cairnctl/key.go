// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"

	"cairnwick.example/operator"
	"github.com/google/uuid"
)

// keyCommand prints a fresh key for a request that is not repeatable.
type keyCommand struct{}

func (*keyCommand) run(_ context.Context, _ *operator.Client, _ []string, out, errs io.Writer) int {
	u, err := uuid.NewV7()
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	fmt.Fprintln(out, u)
	return exitDone
}
