// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// BlackholeProxy forwards TCP connections to Target. Silence turns the open connections into
// black holes, without a reset, while later ones work: data sent on them is acknowledged by
// TCP and discarded, so that only a timeout of the application itself detects the fault.
type BlackholeProxy struct {
	Target string // IP:port

	mu    sync.Mutex
	muted chan struct{} // closed by Silence for the connections that are open at that time
	count int
}

// Blackhole makes the proxy discard all further data of the open connections.
func (p *BlackholeProxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.muted != nil {
		close(p.muted)
	}
	p.muted = make(chan struct{})
}

// Accepted returns the number of connections accepted so far.
func (p *BlackholeProxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// take counts a connection and returns the channel that is closed when its data is to be discarded.
func (p *BlackholeProxy) take() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	if p.muted == nil {
		p.muted = make(chan struct{})
	}
	return p.muted
}

// Run forwards the connections accepted by l until ctx is done.
func (p *BlackholeProxy) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "standin: silent proxy")
		}
		go p.carry(ctx, c, p.take())
	}
}

// carry forwards a connection until either side closes it.
func (p *BlackholeProxy) carry(ctx context.Context, c net.Conn, muted <-chan struct{}) {
	defer c.Close()
	t, err := net.Dial("tcp", p.Target)
	if err != nil {
		return
	}
	defer t.Close()
	stop := context.AfterFunc(ctx, func() {
		c.Close()
		t.Close()
	})
	defer stop()
	ended := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(silentWriter{Writer: to, muted: muted}, from) // any error ends the connection
		ended <- struct{}{}
	}
	go pass(t, c)
	go pass(c, t)
	<-ended
	select {
	case <-muted:
		<-ctx.Done() // closing one side must not close the other
	default:
	}
}

// silentWriter discards writes once muted is closed.
type silentWriter struct {
	io.Writer

	muted <-chan struct{}
}

// Write implements io.Writer.
func (w silentWriter) Write(b []byte) (int, error) {
	select {
	case <-w.muted:
		return len(b), nil
	default:
		return w.Writer.Write(b)
	}
}
