// SPDX-License-Identifier: Apache-2.0

// Package kvstore reads the platform's services: published configuration and
// the list of boxes, from a key-value service in Consul's HTTP style with
// blocking reads. Nothing here writes.
package kvstore

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The keys that the users publish.
const (
	HeadKey     = "cairnwick/head"
	ShardPrefix = "cairnwick/shard/" // and the shard's digest
	BoxesKey    = "cairnwick/boxes"
)

// maxResponseBytes bounds what is read of one answer, in bytes.
const maxResponseBytes = 2 << 20

// ErrNotFound says that the platform answered and has no such key.
var ErrNotFound = errors.New("kvstore: no such key")

// Value is one value with the index at which it was last changed.
type Value struct {
	body  []byte
	index uint64
}

// Body returns the text; do not change it.
func (v Value) Body() []byte { return v.body }

// Index returns where a watch for the next change begins.
func (v Value) Index() uint64 { return v.index }

// Client reads keys. Set Address before use; it is safe for concurrent use.
type Client struct {
	Address string        // URL of the service
	Timeout time.Duration // of a read that does not wait
	HTTP    *http.Client

	calls atomic.Int64 // reads begun
}

// Calls returns how many reads were begun, a watch counting as one.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Read returns the value of key now.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	return c.get(ctx, key, url.Values{}, c.Timeout)
}

// Watch returns the value of key once it has changed since index, or
// unchanged after wait.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error) {
	query := url.Values{}
	query.Set("index", strconv.FormatUint(index, 10))
	query.Set("wait", wait.String())
	return c.get(ctx, key, query, wait+c.Timeout)
}

func (c *Client) get(ctx context.Context, key string, query url.Values, timeout time.Duration) (Value, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query.Set("raw", "true")
	address := fmt.Sprintf("%s/v1/kv/%s?%s", c.Address, key, query.Encode())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Value{}, errors.Wrap(err, "kvstore: make request")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Value{}, errors.Wrap(err, "kvstore: no answer")
	}
	defer resp.Body.Close()
	return readValue(resp)
}

func readValue(resp *http.Response) (Value, error) {
	if resp.StatusCode == http.StatusNotFound {
		return Value{}, ErrNotFound
	}
	if resp.StatusCode != http.StatusOK {
		return Value{}, errors.Errorf("kvstore: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Value{}, errors.Wrap(err, "kvstore: read answer")
	}
	index, err := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return Value{}, errors.Wrap(err, "kvstore: index of answer")
	}
	return Value{body: body, index: index}, nil
}

// Daemon is one daemon in the platform's list of boxes, which lags.
type Daemon struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	Address    string `json:"address"` // of its peers' port
	Leaving    bool   `json:"leaving,omitempty"`
}

// ParseBoxes reads the list of boxes.
func ParseBoxes(raw []byte) ([]Daemon, error) {
	var list []Daemon
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, errors.Wrap(err, "kvstore: list of boxes")
	}
	return list, nil
}
