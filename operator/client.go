// SPDX-License-Identifier: Apache-2.0

// Package operator is the client of the daemons' operator service: it reads their status and
// configuration, the decisions on a request, and new decisions as they are made.
package operator

import (
	"context"
	"net"
	"slices"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Client calls any number of daemons. Use New to create one.
type Client struct {
	dialer *daemon.Dialer
}

const callTimeout = 3 * time.Second

// New returns a client that authenticates with the identity. The empty identity is for
// daemons without TLS.
func New(i *daemon.Identity) (*Client, error) {
	creds, err := i.Credentials()
	if err != nil {
		return nil, err
	}
	d := &net.Dialer{Timeout: callTimeout}
	return &Client{dialer: &daemon.Dialer{Credentials: creds, Dial: d.DialContext}}, nil
}

// Close closes all connections.
func (c *Client) Close() { c.dialer.Close() }

// Unreachable reports a daemon whose call failed.
type Unreachable struct {
	Address string
	Cause   error
	cutOff  bool // the call failed at the caller's time limit, before its own
}

func (c *Client) operatorClient(address string) wire.OperatorClient {
	return wire.NewOperatorClient(c.dialer.Conn(address))
}

// Status returns the status of the daemons at the addresses, and those whose call failed.
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

// Explain returns the decisions on a request from all daemons, oldest first, and the daemons
// whose call failed.
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

// callEach calls one address after another, each with its own timeout, and returns those
// whose call failed.
func (c *Client) callEach(ctx context.Context, addresses []string, call func(ctx context.Context, address string) error) []Unreachable {
	var unreachable []Unreachable
	for _, a := range addresses {
		limit, limited := ctx.Deadline()
		limited = limited && time.Until(limit) < callTimeout
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if err := call(callCtx, a); err != nil {
			u := Unreachable{Address: a, Cause: err}
			u.cutOff = limited && status.Code(err) == codes.DeadlineExceeded
			unreachable = append(unreachable, u)
		}
		cancel()
	}
	return unreachable
}

// Watch calls handle with the new decisions of one daemon until ctx ends or the stream fails.
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
