// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// SilentProxy hands TCP connections on to Target. Silence makes those that are open say
// nothing for good, without a reset, while later ones work. What is written to a silent
// one is acknowledged and lost, so that only a time-out of the program itself shows it.
type SilentProxy struct {
	Target string // IP:port

	mu    sync.Mutex
	muted chan struct{} // closed by Silence, for the connections that are open by then
	count int
}

// Silence makes the connections that are open fall silent.
func (p *SilentProxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.muted != nil {
		close(p.muted)
	}
	p.muted = make(chan struct{})
}

// Taken returns how many connections were taken so far.
func (p *SilentProxy) Taken() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// take counts a connection and returns what closes when it falls silent.
func (p *SilentProxy) take() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	if p.muted == nil {
		p.muted = make(chan struct{})
	}
	return p.muted
}

// Run takes connections at l until ctx ends.
func (p *SilentProxy) Run(ctx context.Context, l net.Listener) error {
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

// carry passes one connection on until either side ends.
func (p *SilentProxy) carry(ctx context.Context, c net.Conn, muted <-chan struct{}) {
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
		_, _ = io.Copy(silentWriter{Writer: to, muted: muted}, from) // its end is all that matters
		ended <- struct{}{}
	}
	go pass(t, c)
	go pass(c, t)
	<-ended
	select {
	case <-muted:
		<-ctx.Done() // the end of one side is not told to the other
	default:
	}
}

// silentWriter loses what is written once muted is closed.
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
