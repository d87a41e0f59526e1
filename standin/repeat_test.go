// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"cairnwick.example/engine"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against a late copy of a response to an order, a report or a cancellation that is taken for that to the next one.
func TestCallsAreNotMistakenForEachOther(t *testing.T) {
	for name, hidesIDs := range map[string]bool{"with request IDs": false, "without request IDs": true} {
		t.Run(name, func(t *testing.T) {
			te := newTestEngine(t, func(e *Engine) { e.HidesRequestIDs = hidesIDs })
			te.client.HTTP = &http.Client{Transport: engine.NewTransport((&net.Dialer{}).DialContext, 4)}
			te.engine.Repeats.SetShare(1)
			ctx, owner, older := context.Background(), engine.Lease{Fence: engine.NewFence(9, "box")}, engine.Lease{Fence: fence}
			_, err := te.client.Claim(ctx, owner.Fence)
			te.Assert(err, quicktest.IsNil)
			for n := range 5 {
				loaded, refused := fmt.Sprintf("a%d@1", n), fmt.Sprintf("b%d@1", n)
				te.Check(te.client.Load(ctx, owner, loaded, fmt.Sprintf("adapters/a%d/1", n)), quicktest.IsNil)
				err := te.client.Load(ctx, older, refused, fmt.Sprintf("adapters/b%d/1", n))
				var e *engine.RefusedError
				te.Assert(errors.As(err, &e), quicktest.IsTrue, quicktest.Commentf("%v", err))
				te.Check(e.Code, quicktest.Equals, engine.CodeStaleFence)
				names, err := te.client.Models(ctx)
				te.Check(err, quicktest.IsNil)
				te.Check(names, quicktest.DeepEquals, []string{loaded})
				_, err = te.client.Report(ctx)
				te.Check(err, quicktest.IsNil)
				te.Check(te.client.Cancel(ctx, "none"), quicktest.IsNil)
				te.Check(te.client.Unload(ctx, owner, loaded), quicktest.IsNil)
			}
		})
	}
}
