// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"

	"cairnwick.example/operator"
	"github.com/google/uuid"
)

// keyCommand prints a new key for a non-idempotent request. It is a UUIDv7, which contains the
// time of its creation.
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
