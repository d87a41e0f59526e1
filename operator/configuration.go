// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"context"
	"slices"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
)

// Configuration returns the head in force at the first daemon that answers, and the texts of
// its shards by name.
func (c *Client) Configuration(ctx context.Context, addresses []string) (catalog.Head, map[string][]byte, error) {
	var last error
	for _, a := range addresses {
		h, shards, err := c.configurationAt(ctx, a)
		if err == nil {
			return h, shards, nil
		}
		last = errors.Wrapf(err, "operator: configuration at %s", a)
	}
	return catalog.Head{}, nil, last
}

func (c *Client) configurationAt(ctx context.Context, address string) (catalog.Head, map[string][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := c.headAt(ctx, address)
	if err != nil {
		return catalog.Head{}, nil, err
	}
	p := wire.NewPeerClient(c.dialer.Conn(address))
	shards := make(map[string][]byte)
	for _, n := range h.Shards() {
		d, err := p.FetchShard(ctx, &wire.FetchShardRequest{Digest: h.ShardDigest(n)})
		if err != nil {
			return catalog.Head{}, nil, err
		}
		shards[n] = d.GetBody()
	}
	return h, shards, nil
}

// Heads returns the head in force at each address, and the daemons whose call failed.
func (c *Client) Heads(ctx context.Context, addresses []string) (map[string]catalog.Head, []Unreachable) {
	found := make(map[string]catalog.Head)
	unreachable := c.callEach(ctx, addresses, func(ctx context.Context, address string) error {
		h, err := c.headAt(ctx, address)
		if err == nil {
			found[address] = h
		}
		return err
	})
	return found, unreachable
}

// headAt returns the head in force at one daemon.
func (c *Client) headAt(ctx context.Context, address string) (catalog.Head, error) {
	d, err := wire.NewPeerClient(c.dialer.Conn(address)).FetchHead(ctx, &wire.FetchHeadRequest{})
	if err != nil {
		return catalog.Head{}, err
	}
	return catalog.ParseHead(d.GetBody())
}

// WaitForHead polls until every daemon that answers has the head or a successor of it in
// force, or until ctx ends. It returns the daemons that had neither in the last complete
// round, with the heads that they had, and those whose call failed.
func (c *Client) WaitForHead(ctx context.Context, addresses []string, head catalog.Head) (behind map[string]catalog.Head, unreachable []Unreachable) {
	for {
		found, failed := c.Heads(ctx, addresses)
		// An incomplete round does not replace the result of a complete one.
		if len(behind) == 0 || !isCutOff(ctx, failed) {
			unreachable = failed
			behind = headsBehind(found, head)
		}
		if len(behind) == 0 || ctx.Err() != nil {
			return behind, unreachable
		}
		select {
		case <-ctx.Done():
			return behind, unreachable
		case <-time.After(headPollInterval):
		}
	}
}

// isCutOff reports whether the time limit of ctx ended a round of calls. A call may fail at the
// limit before ctx ends in this process: the daemon and the transport check the deadline too.
func isCutOff(ctx context.Context, failed []Unreachable) bool {
	return ctx.Err() != nil || slices.ContainsFunc(failed, func(u Unreachable) bool { return u.cutOff })
}

// headsBehind returns the heads that are neither the wanted one nor a successor of it.
func headsBehind(found map[string]catalog.Head, want catalog.Head) map[string]catalog.Head {
	behind := make(map[string]catalog.Head)
	for a, h := range found {
		if h.Digest() != want.Digest() && !h.DescendsFrom(want) {
			behind[a] = h
		}
	}
	return behind
}

const headPollInterval = 100 * time.Millisecond
