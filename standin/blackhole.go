// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// BlackholeProxy forwards TCP connections to Target. Blackhole turns the open connections into
// black holes, without a reset, while later ones work: data sent on them is acknowledged by
// TCP and discarded, so that only a timeout of the application itself detects the fault.
type BlackholeProxy struct {
	Target string // IP:port

	mu      sync.Mutex
	discard chan struct{} // closed by Blackhole for the connections that are open at that time
	count   int
}

// Blackhole makes the proxy discard all further data of the open connections.
func (p *BlackholeProxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.discard != nil {
		close(p.discard)
	}
	p.discard = make(chan struct{})
}

// Accepted returns the number of connections accepted so far.
func (p *BlackholeProxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// register counts a connection and returns the channel that is closed when its data is to be discarded.
func (p *BlackholeProxy) register() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	if p.discard == nil {
		p.discard = make(chan struct{})
	}
	return p.discard
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
			return errors.Wrap(err, "standin: accept in black hole proxy")
		}
		go p.forward(ctx, c, p.register())
	}
}

// forward forwards a connection until either side closes it.
func (p *BlackholeProxy) forward(ctx context.Context, c net.Conn, discard <-chan struct{}) {
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
	copyData := func(to, from net.Conn) {
		_, _ = io.Copy(discardWriter{Writer: to, discard: discard}, from) // any error ends the connection
		ended <- struct{}{}
	}
	go copyData(t, c)
	go copyData(c, t)
	<-ended
	select {
	case <-discard:
		<-ctx.Done() // closing one side must not close the other
	default:
	}
}

// discardWriter discards writes once discard is closed.
type discardWriter struct {
	io.Writer

	discard <-chan struct{}
}

// Write implements io.Writer.
func (w discardWriter) Write(b []byte) (int, error) {
	select {
	case <-w.discard:
		return len(b), nil
	default:
		return w.Writer.Write(b)
	}
}
