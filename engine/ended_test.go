// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func newListener(c *quicktest.C) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	return l
}

var plainDial = (&net.Dialer{}).DialContext

func TestAnEndpointThatListensHasNotEnded(t *testing.T) {
	c := quicktest.New(t)
	l := newListener(c)
	c.Assert(HasEnded(context.Background(), plainDial, l.Addr().String()), quicktest.IsFalse)
	c.Assert(l.Close(), quicktest.IsNil)
	c.Assert(HasEnded(context.Background(), plainDial, l.Addr().String()), quicktest.IsTrue)
}

// Endpoints ended under one request, and one end in three did not count, so that a fourth followed:
// an exiting process closes its connections and its listener in an order of the system's, and the
// look came in between. The evidence: the gateway counted the end as an answer that broke off.
func TestAnEndpointThatEndsDuringTheLookHasEnded(t *testing.T) {
	c := quicktest.New(t)
	l := newListener(c)
	time.AfterFunc(endsWithin/3, func() { _ = l.Close() }) // its connections that were not accepted are reset
	c.Assert(HasEnded(context.Background(), plainDial, l.Addr().String()), quicktest.IsTrue)
}

// A fourth endpoint ended under one request, now and then on a busy machine: the look at one of the three before
// was over while its process still exited, half a second after its answer had broken off, and took it for alive.
func TestAnEndpointThatTakesLongToEndHasEnded(t *testing.T) {
	c := quicktest.New(t)
	l := newListener(c)
	time.AfterFunc(700*time.Millisecond, func() { _ = l.Close() })
	c.Assert(HasEnded(context.Background(), plainDial, l.Addr().String()), quicktest.IsTrue)
}

// An endpoint that has all the connections it takes closes a further one, and lives.
func TestAnEndpointThatClosesTheConnectionAndListensHasNotEnded(t *testing.T) {
	c := quicktest.New(t)
	l := newListener(c)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			_ = a.Close()
		}
	}()
	c.Assert(HasEnded(context.Background(), plainDial, l.Addr().String()), quicktest.IsFalse)
	_ = l.Close()
	<-done
}

func TestALookEndsWithItsContext(t *testing.T) {
	c := quicktest.New(t)
	l := newListener(c)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(HasEnded(ctx, plainDial, l.Addr().String()), quicktest.IsFalse)
}
