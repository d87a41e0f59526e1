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

// exitTimeout is the longest time that an exiting process may take from the end of its responses to the end
// of its listener. The operating system closes the sockets in no defined order, some milliseconds apart.
const exitTimeout = 300 * time.Millisecond

// maxConnects limits the connections to an address that closes or resets them. An exiting process resets those
// that wait to be accepted, and refuses the next one.
const maxConnects = 3

// HasExited reports whether nothing listens at an endpoint's address any more. A refused connection
// proves it; a connection that times out does not. A connection that succeeds is watched for
// exitTimeout, and if it is closed, or was reset while it was opened, HasExited connects again.
func HasExited(ctx context.Context, dial DialFunc, address string) bool {
	for range maxConnects {
		c, err := dial(ctx, "tcp", address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case errors.Is(err, syscall.ECONNRESET): // the listener closed before it accepted the connection
		case err != nil || !closedByPeer(ctx, c):
			return false
		}
	}
	return false
}

// closedByPeer reports whether the other side closes the connection within exitTimeout. It closes the
// connection in any case.
func closedByPeer(ctx context.Context, c net.Conn) bool {
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) })
	defer stop()
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(exitTimeout)); err != nil {
		return true // the connection is closed already
	}
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
