// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against bytes of an endpoint by which a response to another request is taken for the response.
func FuzzResponseIsOfTheRequest(f *testing.F) {
	c := quicktest.New(f)
	files, err := filepath.Glob("testdata/responses/*.txt")
	c.Assert(err, quicktest.IsNil)
	for _, file := range files {
		f.Add(readResponseCase(c, file).raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		c := quicktest.New(t)
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go respond(raw, 1<<20)(far)
			return near, nil
		}
		client := &http.Client{Transport: NewTransport(dial, 1), Timeout: 5 * time.Second}
		defer client.CloseIdleConnections()
		req, err := http.NewRequest(http.MethodGet, "http://endpoint", nil)
		c.Assert(err, quicktest.IsNil)
		req.Header.Set(RequestIDHeader, "own")
		resp, err := Call(client, req, inOneMinute())
		if err != nil {
			var lost *NoResponseError
			c.Assert(errors.As(err, &lost), quicktest.IsTrue)
			return
		}
		defer resp.Body.Close()
		id := resp.Header.Get(RequestIDHeader)
		c.Check(id == "" || id == "own", quicktest.IsTrue, quicktest.Commentf("response to %q", id))
		c.Check(id == "own" || resp.Close, quicktest.IsTrue) // its connection is used for no other request
	})
}
