// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"context"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
)

// Configuration returns the head in force at the first daemon that answers, and
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

// Heads returns the head in force at each address, and who gave no answer.
func (c *Client) Heads(ctx context.Context, addresses []string) (map[string]catalog.Head, []Silence) {
	found := make(map[string]catalog.Head)
	silent := c.each(ctx, addresses, func(ctx context.Context, address string) error {
		h, err := c.headAt(ctx, address)
		if err == nil {
			found[address] = h
		}
		return err
	})
	return found, silent
}

// headAt returns the head that one daemon has in force.
func (c *Client) headAt(ctx context.Context, address string) (catalog.Head, error) {
	d, err := wire.NewPeerClient(c.dialer.Conn(address)).FetchHead(ctx, &wire.FetchHeadRequest{})
	if err != nil {
		return catalog.Head{}, err
	}
	return catalog.ParseHead(d.GetBody())
}

// Follow asks until every address that answers has the head in force, or one has
// another that does not follow from it, until ctx ends. It returns who had it not
// in the last whole round, and who gave no answer.
func (c *Client) Follow(ctx context.Context, addresses []string, head catalog.Head) (behind map[string]catalog.Head, silent []Silence) {
	for {
		found, missing := c.Heads(ctx, addresses)
		if ctx.Err() != nil && len(behind)+len(silent) > 0 {
			return behind, silent // of the round before: this one was broken off by the limit
		}
		silent = missing
		behind = make(map[string]catalog.Head)
		for a, h := range found {
			if h.Digest() != head.Digest() && !h.DescendsFrom(head) {
				behind[a] = h
			}
		}
		if len(behind) == 0 || ctx.Err() != nil {
			return behind, silent
		}
		select {
		case <-ctx.Done():
			return behind, silent
		case <-time.After(followPause):
		}
	}
}

const followPause = 100 * time.Millisecond
