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
	"cairnwick.example/standin"
	"github.com/frankban/quicktest"
)

func newClient(c *quicktest.C) (*kvstore.Client, func(key, value string)) {
	s := httptest.NewServer((&standin.Platform{}).Handler())
	c.Cleanup(s.Close)
	put := func(key, value string) {
		r, err := http.NewRequest(http.MethodPut, s.URL+"/v1/kv/"+key, strings.NewReader(value))
		c.Assert(err, quicktest.IsNil)
		_, err = http.DefaultClient.Do(r)
		c.Assert(err, quicktest.IsNil)
	}
	return &kvstore.Client{Address: s.URL, Timeout: time.Second, HTTP: http.DefaultClient}, put
}

func TestMissingKeyIsNotFound(t *testing.T) {
	c := quicktest.New(t)
	p, _ := newClient(c)
	_, err := p.Read(context.Background(), "none")
	c.Assert(err, quicktest.Equals, kvstore.ErrNotFound)
}

func TestWatchReturnsOnChange(t *testing.T) {
	c := quicktest.New(t)
	p, put := newClient(c)
	put("k", "one")
	v, err := p.Read(context.Background(), "k")
	c.Assert(err, quicktest.IsNil)
	seen := make(chan kvstore.Value, 1)
	go func() {
		v, _ := p.Watch(context.Background(), "k", v.Index(), time.Minute)
		seen <- v
	}()
	put("k", "two")
	c.Assert(string((<-seen).Body()), quicktest.Equals, "two")
}

func TestWatchWithoutChangeTimesOut(t *testing.T) {
	c := quicktest.New(t)
	p, put := newClient(c)
	put("k", "one")
	v, err := p.Read(context.Background(), "k")
	c.Assert(err, quicktest.IsNil)
	again, err := p.Watch(context.Background(), "k", v.Index(), 10*time.Millisecond)
	c.Assert(err, quicktest.IsNil)
	c.Assert(again.Index(), quicktest.Equals, v.Index())
	c.Assert(p.Calls(), quicktest.Equals, int64(2))
}

func TestInvalidListOfBoxesIsError(t *testing.T) {
	_, _, err := kvstore.ParseBoxes([]byte("{"))
	quicktest.Assert(t, err, quicktest.ErrorMatches, "kvstore: parse list of boxes.*")
}
