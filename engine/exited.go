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

// exitTimeout is how long a process that ends may take from breaking off its answers to closing its
// listener: the system closes both as it exits, in an order of its own, some milliseconds apart.
const exitTimeout = 300 * time.Millisecond

// maxConnects is how often an address is asked that closes or resets connections: a process that ends does so
// to one that waited to be accepted, and refuses the next.
const maxConnects = 3

// HasExited tells whether nothing listens at an endpoint's address any more: a connection that is
// refused is proof, one that gets no answer is none. One that is opened is watched for a while, and
// where it is closed, or was reset as it was opened, the address is asked again.
func HasExited(ctx context.Context, dial DialFunc, address string) bool {
	for range maxConnects {
		c, err := dial(ctx, "tcp", address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case errors.Is(err, syscall.ECONNRESET): // it waited for a listener that was closed
		case err != nil || !closedByPeer(ctx, c):
			return false
		}
	}
	return false
}

// closedByPeer tells whether the other side closes a connection within endsWithin, and closes it.
func closedByPeer(ctx context.Context, c net.Conn) bool {
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) })
	defer stop()
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(exitTimeout)); err != nil {
		return true // it is closed already
	}
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
