// SPDX-License-Identifier: Apache-2.0

// Package operator asks daemons on behalf of an operator: what they see, why a
// request went where it did, and what they decide now.
package operator

import (
	"context"
	"net"
	"slices"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/wire"
)

// Client speaks to many daemons. New makes it.
type Client struct {
	dialer *daemon.Dialer
}

const callTimeout = 3 * time.Second

// New returns a client that shows the identity; the empty one is for daemons
// without TLS.
func New(i *daemon.Identity) (*Client, error) {
	creds, err := i.Credentials()
	if err != nil {
		return nil, err
	}
	d := &net.Dialer{Timeout: callTimeout}
	return &Client{dialer: &daemon.Dialer{Credentials: creds, Dial: d.DialContext}}, nil
}

// Close closes every connection.
func (c *Client) Close() { c.dialer.Close() }

// Unreachable is a daemon that gave no answer.
type Unreachable struct {
	Address string
	Cause   error
}

func (c *Client) operatorClient(address string) wire.OperatorClient {
	return wire.NewOperatorClient(c.dialer.Conn(address))
}

// Status asks every address what it sees. What did not answer is returned too.
func (c *Client) Status(ctx context.Context, addresses []string) ([]*wire.StatusReply, []Unreachable) {
	var list []*wire.StatusReply
	unreachable := c.callEach(ctx, addresses, func(ctx context.Context, address string) error {
		a, err := c.operatorClient(address).Status(ctx, &wire.StatusRequest{})
		if err == nil {
			list = append(list, a)
		}
		return err
	})
	return list, unreachable
}

// Explain gathers the decisions on a request, oldest first.
func (c *Client) Explain(ctx context.Context, addresses []string, request string) ([]*wire.Decision, []Unreachable) {
	var list []*wire.Decision
	unreachable := c.callEach(ctx, addresses, func(ctx context.Context, address string) error {
		a, err := c.operatorClient(address).Explain(ctx, &wire.ExplainRequest{Request: request})
		list = append(list, a.GetDecisions()...)
		return err
	})
	slices.SortStableFunc(list, func(a, b *wire.Decision) int { return int(a.UnixMicros - b.UnixMicros) })
	return list, unreachable
}

// each asks one address after another, and returns those that gave no answer.
func (c *Client) callEach(ctx context.Context, addresses []string, call func(ctx context.Context, address string) error) []Unreachable {
	var unreachable []Unreachable
	for _, a := range addresses {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if err := call(callCtx, a); err != nil {
			unreachable = append(unreachable, Unreachable{Address: a, Cause: err})
		}
		cancel()
	}
	return unreachable
}

// Watch hands the decisions of one daemon to see until ctx ends.
func (c *Client) Watch(ctx context.Context, address string, q *wire.WatchRequest, handle func(*wire.Decision)) error {
	s, err := c.operatorClient(address).Watch(ctx, q)
	if err != nil {
		return err
	}
	for {
		d, err := s.Recv()
		if err != nil {
			return err
		}
		handle(d)
	}
}
