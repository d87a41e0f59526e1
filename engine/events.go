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

// CacheEvent says that an endpoint's prefix cache took a prefix in, or threw it
// out. Events come late and with gaps, which Sequence shows: they are a hint.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Adapter  string `json:"adapter"`
	Prefix   uint64 `json:"prefix"` // hash of the prompt's beginning
}

// Events reads the cache events above a sequence number. Errors are those of the
// Endpoint methods.
func (c *Client) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	_, body, err := c.do(ctx, http.MethodGet, fmt.Sprintf("/cairn/events?after=%d", after), Lease{}, nil)
	if err != nil {
		return nil, err
	}
	var list []CacheEvent
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, &NoResponseError{Sent: true, Cause: errors.Wrap(err, "cache events")}
	}
	return list, nil
}
