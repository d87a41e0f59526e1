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

// Get returns the body of a URL. A status of 300 or above is an error.
func Get(ctx context.Context, url string) ([]byte, error) {
	return doRequest(ctx, http.MethodGet, url, nil)
}

// Post sends a POST request with an empty body. A status of 300 or above is an error.
func Post(ctx context.Context, url string) error {
	_, err := doRequest(ctx, http.MethodPost, url, nil)
	return err
}

func doRequest(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Errorf("fleet: %s %s: status %d: %s", method, url, resp.StatusCode, content)
	}
	return content, nil
}

// waitForOK waits until a GET request to the URL succeeds.
func (f *Fleet) waitForOK(ctx context.Context, url string) error {
	return f.poll(ctx, func() error {
		_, err := Get(ctx, url)
		return err
	})
}

// readyTimeout limits the wait for a process to become ready.
const readyTimeout = 30 * time.Second

// poll calls try until it succeeds or readyTimeout has passed.
func (f *Fleet) poll(ctx context.Context, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "fleet: not ready within %s", readyTimeout)
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
