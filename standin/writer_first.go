// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxReadWait is how long a write of a connection of DialWriterFirst waits for the reads to end.
const maxReadWait = time.Second

// DialWriterFirst opens a TCP connection on which a write notices a reset before any read, and returns once the reads have ended:
// an order that a scheduler may choose at any time. Reads wait for a write that fails.
func DialWriterFirst(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &writerFirstConn{TCPConn: c.(*net.TCPConn), writeFailed: make(chan struct{}), readEnded: make(chan struct{})}, nil
}

type writerFirstConn struct {
	*net.TCPConn

	writeFailed chan struct{} // closed when a write has failed, or the connection is closed
	readEnded   chan struct{} // closed when a read has failed
	failOnce    sync.Once
	endOnce     sync.Once
}

// Write implements net.Conn.
func (c *writerFirstConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.failOnce.Do(func() { close(c.writeFailed) })
		select {
		case <-c.readEnded:
		case <-time.After(maxReadWait):
		}
	}
	return n, err
}

// Read implements net.Conn.
func (c *writerFirstConn) Read(b []byte) (int, error) {
	<-c.writeFailed
	n, err := c.TCPConn.Read(b)
	if err != nil {
		c.endOnce.Do(func() { close(c.readEnded) })
	}
	return n, err
}

// Close implements net.Conn.
func (c *writerFirstConn) Close() error {
	c.failOnce.Do(func() { close(c.writeFailed) })
	return c.TCPConn.Close()
}
