// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cairnwick.example/clock"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// A grant expires while the machine is suspended, between the call and the write. Nothing may be
// written, although the monotonic clock, which stops during a suspension, says that the grant is valid.
func TestSendAfterExpiryDuringSuspendWritesNothing(t *testing.T) {
	c := quicktest.New(t)
	l := newListener(c)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		clock.SimulateSuspend(time.Minute)
		c.Cleanup(func() { clock.SimulateSuspend(-time.Minute) })
		return plainDial(ctx, network, address)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", strings.NewReader("x"))
	c.Assert(err, quicktest.IsNil)
	_, err = Send(&http.Client{Transport: NewTransport(dial, 1)}, r, clock.Now().Add(10*time.Second), ResponseID{})
	c.Assert(errors.Is(err, ErrExpired), quicktest.IsTrue, quicktest.Commentf("%v", err))
}
