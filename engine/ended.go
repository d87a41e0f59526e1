// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// endsWithin is how long a process that ends may take from breaking off its answers to closing its
// listener: the system closes both as it exits, in an order of its own, some milliseconds apart, and on a
// busy machine far more. Where it is taken for alive too soon, its request ends one endpoint more.
const endsWithin = 2 * time.Second

// HasEnded tells whether nothing listens at an endpoint's address any more: a connection that is
// refused is proof, one that gets no answer is none. One that is opened is watched for a while, and
// where it is closed the address is asked once more.
func HasEnded(ctx context.Context, dial DialFunc, address string) bool {
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if !isClosed(ctx, c) {
		return false
	}
	c, err = dial(ctx, "tcp", address)
	if err == nil {
		_ = c.Close() // nothing was sent on it
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isClosed tells whether the other side closes a connection within endsWithin, and closes it.
func isClosed(ctx context.Context, c net.Conn) bool {
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) })
	defer stop()
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(endsWithin)); err != nil {
		return true // it is closed already
	}
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
