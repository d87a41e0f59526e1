// SPDX-License-Identifier: Apache-2.0

package kvstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cairnwick.example/kvstore"
	"github.com/frankban/quicktest"
)

// Guards against a daemon that never gets a large document, since each read of it is ended by a timeout while it makes progress.
func TestLargeValueIsReadOverNarrowLink(t *testing.T) {
	c := quicktest.New(t)
	const chunk, chunks = 16 << 10, 32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		for range chunks {
			_, _ = w.Write(make([]byte, chunk))
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}))
	defer s.Close()
	client := &kvstore.Client{Address: s.URL, Timeout: 200 * time.Millisecond, HTTP: s.Client()}
	v, err := client.Read(context.Background(), "k")
	c.Assert(err, quicktest.IsNil)
	c.Check(v.Body(), quicktest.HasLen, chunk*chunks)
	v, err = client.Watch(context.Background(), "k", 7, time.Millisecond)
	c.Assert(err, quicktest.IsNil)
	c.Check(v.Body(), quicktest.HasLen, chunk*chunks)
}

// Guards against a daemon that takes the beginning of a value for the whole.
func TestValueBeyondTheBoundIsAnError(t *testing.T) {
	c := quicktest.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		for range 5 {
			_, _ = w.Write([]byte(strings.Repeat("x", 1<<20)))
		}
	}))
	defer s.Close()
	_, err := (&kvstore.Client{Address: s.URL, Timeout: time.Second, HTTP: s.Client()}).Read(context.Background(), "k")
	c.Check(err, quicktest.ErrorMatches, ".*longer than.*")
}
