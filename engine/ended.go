// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// HasEnded tells whether nothing listens at an endpoint's address any more: a connection that is
// refused is proof, one that gets no answer is none.
func HasEnded(ctx context.Context, dial DialFunc, address string) bool {
	c, err := dial(ctx, "tcp", address)
	if err == nil {
		_ = c.Close() // nothing was sent on it
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
