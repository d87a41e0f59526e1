// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"fmt"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes, reads and writes of the connections that it wraps. The zero value
// is ready to use. It is safe for concurrent use.
type Traffic struct {
	in     atomic.Int64 // bytes read
	out    atomic.Int64 // bytes written
	reads  atomic.Int64
	writes atomic.Int64
}

// WrapConn returns a connection that counts the traffic of c.
func (t *Traffic) WrapConn(c net.Conn) net.Conn { return &countedConn{Conn: c, traffic: t} }

// WrapListener returns a listener that counts the traffic of every accepted connection.
func (t *Traffic) WrapListener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

// String implements expvar.Var: it returns the counters as JSON.
func (t *Traffic) String() string {
	return fmt.Sprintf(`{"in":%d,"out":%d,"reads":%d,"writes":%d}`, t.in.Load(), t.out.Load(), t.reads.Load(), t.writes.Load())
}

type countedConn struct {
	net.Conn

	traffic *Traffic
}

// NetConn returns the connection whose traffic is counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	c.traffic.reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

type countedListener struct {
	net.Listener

	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.WrapConn(c), nil
}
