// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against a proven refusal of an engine that returns no IDs that proves nothing, since net/http calls its connection reused:
// it was opened for a request that ended before it was sent.
func TestFirstRequestOnAnIdleConnectionIsIdentified(t *testing.T) {
	c := quicktest.New(t)
	busy := refusalCase{status: 503, headers: "Cairn-Reason: busy\r\n"}
	address := acceptConns(c, serveResponses(busy.response))
	dialing, opened, ended := make(chan bool, 2), make(chan bool), make(chan bool)
	defer close(ended)
	var dials atomic.Int64
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		dialing <- true
		if dials.Add(1) > 1 {
			<-ended // the second request has only the connection of the first
			return nil, net.ErrClosed
		}
		<-opened
		return net.Dial(network, address)
	}
	client := &Client{Address: address, HTTP: &http.Client{Transport: NewTransport(dial, 4)}}
	ctx, leave := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { first <- client.Cancel(ctx, "first") }()
	<-dialing
	leave()
	c.Assert(wasSent(c, <-first), quicktest.IsFalse)

	second := make(chan error, 1)
	go func() { second <- client.Cancel(context.Background(), "second") }()
	<-dialing
	close(opened)
	var refused *RefusedError
	c.Assert(errors.As(<-second, &refused), quicktest.IsTrue)
	c.Check(refused.NotExecuted(), quicktest.IsTrue)
}

// Guards against an order or a cancellation that counts as confirmed by a response to another one, on an engine that returns IDs.
func TestSuccessWithoutTheIDOfItsCallConfirmsNothing(t *testing.T) {
	c := quicktest.New(t)
	for _, ids := range []string{"", "X-Request-Id: \r\n"} {
		n := 0
		client := &Client{HTTP: newClient(), Address: acceptConns(c, serveResponses(func(id string) string {
			if n++; n == 1 {
				return refusalCase{status: 200, headers: ownID}.response(id)
			}
			return refusalCase{status: 200, headers: ids}.response(id)
		}))}
		c.Assert(client.Cancel(context.Background(), "first"), quicktest.IsNil)
		err := client.Cancel(context.Background(), "second")
		c.Assert(err, quicktest.IsNotNil, quicktest.Commentf("%q", ids))
		c.Check(wasSent(c, err), quicktest.IsTrue)
	}
}
