// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// The kinds of cache events.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
)

// CacheEvent reports that an endpoint's prefix cache stored or evicted a prefix.
// Events are delayed and some are missing, as gaps in Sequence show, so they are
// only a hint.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Adapter  string `json:"adapter"`
	Prefix   uint64 `json:"prefix"` // hash of the prompt prefix
}

// Events reads the cache events after a sequence number. It returns the same errors
// as the methods of Endpoint.
func (c *Client) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	_, body, err := c.do(ctx, http.MethodGet, fmt.Sprintf("/cairn/events?after=%d", after), Lease{}, nil)
	if err != nil {
		return nil, err
	}
	var list []CacheEvent
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, &NoResponseError{Sent: true, Cause: errors.Wrap(err, "parse cache events")}
	}
	return list, nil
}
