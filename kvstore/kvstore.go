// SPDX-License-Identifier: Apache-2.0

// Package kvstore is a read-only client for the platform's key-value service, which
// holds the published configuration and the list of boxes. The service has Consul's
// HTTP API with blocking queries.
package kvstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"sync/atomic"
	"time"

	"cairnwick.example/transfer"
	"github.com/pkg/errors"
)

// The keys that the daemons read.
const (
	HeadKey     = "cairnwick/head"
	ShardPrefix = "cairnwick/shard/" // followed by the shard's digest
	BoxesKey    = "cairnwick/boxes"
)

const (
	maxResponseBytes = 2 << 20  // of a value
	minRate          = 16 << 10 // bytes per second of a value, on average
)

// ErrNotFound means that the platform has no such key.
var ErrNotFound = errors.New("kvstore: no such key")

// Value is a value with the index of its last change.
type Value struct {
	body  []byte
	index uint64
}

// Body returns the content, which must not be modified.
func (v Value) Body() []byte { return v.body }

// Index returns the index from which Watch waits for the next change.
func (v Value) Index() uint64 { return v.index }

// Client reads keys. Set the exported fields before use; it is safe for concurrent use.
type Client struct {
	Address string        // URL of the service
	Timeout time.Duration // until the response to a Read begins, and without data in it; Watch adds it to its wait
	HTTP    *http.Client

	calls atomic.Int64 // reads and watches started
}

// Calls returns the number of reads and watches started.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Read returns the current value of key.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	return c.get(ctx, key, url.Values{}, c.Timeout)
}

// Watch waits until the value of key has changed since index and returns it. After
// wait without a change it returns the unchanged value.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error) {
	query := url.Values{}
	query.Set("index", strconv.FormatUint(index, 10))
	query.Set("wait", wait.String())
	return c.get(ctx, key, query, wait+c.Timeout)
}

func (c *Client) get(ctx context.Context, key string, query url.Values, timeout time.Duration) (Value, error) {
	c.calls.Add(1)
	ctx, call := transfer.Limits{Head: timeout, Silence: c.Timeout, MinRate: minRate, MaxBytes: maxResponseBytes}.Start(ctx)
	defer call.Stop()
	query.Set("raw", "true")
	address := fmt.Sprintf("%s/v1/kv/%s?%s", c.Address, key, query.Encode())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Value{}, errors.Wrap(err, "kvstore: build request")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Value{}, errors.Wrap(transfer.Cause(ctx, err), "kvstore: send request")
	}
	defer resp.Body.Close()
	v, err := readValue(resp, call)
	return v, transfer.Cause(ctx, err)
}

func readValue(resp *http.Response, call *transfer.Call) (Value, error) {
	if resp.StatusCode == http.StatusNotFound {
		return Value{}, ErrNotFound
	}
	if resp.StatusCode != http.StatusOK {
		return Value{}, errors.Errorf("kvstore: unexpected status %d", resp.StatusCode)
	}
	body, err := call.ReadBody(resp.Body)
	if err != nil {
		return Value{}, errors.Wrap(err, "kvstore: read response")
	}
	index, err := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return Value{}, errors.Wrap(err, "kvstore: parse X-Consul-Index of response")
	}
	return Value{body: body, index: index}, nil
}

// Daemon is an entry of the platform's list of boxes, which may be out of date.
type Daemon struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	Address    string `json:"address"` // for other daemons
	Leaving    bool   `json:"leaving,omitempty"`
}

// ParseBoxes parses the list of boxes. An entry that cannot be used does not affect the others: another writer may have left it.
// skipped says what is wrong with such entries.
func ParseBoxes(raw []byte) (list []Daemon, skipped []error, err error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil {
		return nil, nil, errors.Wrap(err, "kvstore: parse list of boxes")
	}
	for n, entry := range entries {
		var d Daemon
		err := json.Unmarshal(entry, &d)
		if err == nil {
			err = d.validate()
		}
		if err != nil {
			skipped = append(skipped, errors.Wrapf(err, "kvstore: list of boxes: entry %d", n))
			continue
		}
		list = append(list, d)
	}
	return list, skipped, nil
}

// maxName is the length in bytes of the longest name in the list of boxes. Names are logged and sent to other daemons.
const maxName = 200

// hostName is a valid name of a host.
var hostName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]{0,252})$`)

// validate returns an error for the first field that makes an entry unusable.
func (d Daemon) validate() error {
	if d.Name == "" || len(d.Name) > maxName {
		return errors.Errorf("name: must have 1 to %d bytes", maxName)
	}
	if len(d.DataCentre) > maxName || len(d.Role) > maxName {
		return errors.Errorf("data_centre, role: must have at most %d bytes", maxName)
	}
	host, port, err := net.SplitHostPort(d.Address)
	if err != nil {
		return errors.Errorf("address: %.100q is not a host and a port", d.Address)
	}
	if _, err := netip.ParseAddr(host); err != nil && !hostName.MatchString(host) {
		return errors.Errorf("address: %.100q is not an IP address or the name of a host", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Errorf("address: port %.100q is not a number from 1 to 65535", port)
	}
	return nil
}
