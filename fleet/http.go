// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Get reads a URL that answers with status 200 or 204.
func Get(ctx context.Context, url string) ([]byte, error) {
	return exchange(ctx, http.MethodGet, url, nil)
}

// Post sends an empty body to a control path.
func Post(ctx context.Context, url string) error {
	_, err := exchange(ctx, http.MethodPost, url, nil)
	return err
}

func exchange(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, err
	}
	if a.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Errorf("fleet: %s %s: status %d: %s", method, url, a.StatusCode, text)
	}
	return text, nil
}

// waitFor returns when the URL answers with status 200.
func (f *Fleet) waitFor(ctx context.Context, url string) error {
	return f.await(ctx, func() error {
		_, err := Get(ctx, url)
		return err
	})
}

// readyTimeout is the longest wait for a process to answer as it should.
const readyTimeout = 30 * time.Second

// await tries until it succeeds, for a bounded time.
func (f *Fleet) await(ctx context.Context, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "fleet: waited in vain")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func getJSON(ctx context.Context, url string, into any) error {
	raw, err := Get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}
