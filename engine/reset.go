// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrReset means that the peer reset the connection, so what was received last may be incomplete.
var ErrReset = errors.New("engine: the peer reset the connection")

// tcpClose is the state of a TCP connection that was reset, or closed by both sides.
const tcpClose = 7

// resetDetector is a connection whose reads return io.EOF only if the peer closed its side in order. The kernel reports a reset
// once: if a write gets that error, reads return io.EOF as after an orderly close.
type resetDetector struct {
	net.Conn

	received   uint64      // bytes read; used by Read alone
	writeReset atomic.Bool // a write got the error of a reset
}

// DetectResets returns a connection with the bytes of c whose reads return ErrReset in the place of io.EOF if the peer did not close
// its side in order. A wrapper of a TCP connection must have a method NetConn that returns what it wraps, as tls.Conn has; of other
// connections only what writes return is known.
func DetectResets(c net.Conn) net.Conn { return &resetDetector{Conn: c} }

// NetConn returns the connection of DetectResets.
func (d *resetDetector) NetConn() net.Conn { return d.Conn }

// Read implements net.Conn.
func (d *resetDetector) Read(b []byte) (int, error) {
	n, err := d.Conn.Read(b)
	d.received += uint64(n)
	if err == io.EOF && (d.isReset() || d.writeReset.Load()) {
		err = ErrReset
	}
	return n, err
}

// Write implements net.Conn.
func (d *resetDetector) Write(b []byte) (int, error) {
	n, err := d.Conn.Write(b)
	if errors.Is(err, syscall.ECONNRESET) { // after an orderly close of the peer it is EPIPE
		d.writeReset.Store(true)
	}
	return n, err
}

// isReset reports whether the kernel knows that the peer reset the connection and had not closed its side before. The kernel counts
// a received FIN as a byte: an endpoint that closes in order while a request is still being written resets the connection later,
// and its response is complete all the same. Of a connection that this process has closed meanwhile nothing is known, so it counts as
// reset.
func (d *resetDetector) isReset() bool {
	info, err := tcpInfo(d.Conn)
	if err == errNoSocket {
		return false
	}
	return err != nil || (info.State == tcpClose && info.Bytes_received <= d.received)
}

// errNoSocket means that a connection has no socket that can be asked.
var errNoSocket = errors.New("engine: not a TCP connection")

// tcpInfo returns what the kernel knows of a connection. An error other than errNoSocket means that this process has closed it.
func tcpInfo(c net.Conn) (*unix.TCPInfo, error) {
	socket, ok := unwrapConn(c).(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err == nil && infoErr != nil {
		return nil, errNoSocket
	}
	return info, err
}

// unwrapConn returns the innermost connection that c wraps.
func unwrapConn(c net.Conn) net.Conn {
	for {
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = w.NetConn()
	}
}
