// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// FuzzHead checks that an accepted head has a positive revision, the digest of its
// text and at least one shard, and does not descend from itself.
func FuzzHead(f *testing.F) {
	f.Add([]byte(`{"revision": 3, "ancestors": ["a"], "shards": {"s": "d"}}`))
	f.Add([]byte(`{"revision": 9223372036854775807, "shards": {"": ""}} // end`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := ParseHead(raw)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "catalog: head: ") {
				t.Fatalf("error without its location: %v", err)
			}
			return
		}
		if h.Revision() <= 0 || h.Digest() != Digest(raw) || len(h.Shards()) == 0 || h.DescendsFrom(h) {
			t.Errorf("%+v", h)
		}
	})
}

// FuzzShard checks that a shard is either accepted with all of its adapters or
// rejected with a field and a fix for each problem.
func FuzzShard(f *testing.F) {
	f.Add([]byte(`{"bases":[{"name":"b"}],"classes":[{"name":"c","deadline":"1s","default":true}],"adapters":[{"name":"a","base":"b","versions":{"1":"p"},"aliases":{"live":"1"}}]}`))
	f.Add([]byte(`{"endpoints":[{"name":"e","data_centre":"d","base":"b","address":"1.2.3.4:5","slots":1,"running":1,"report_lag":"1h"}],"callers":[{"name":"x","queue":-1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := ParseShard(raw)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "catalog: shard: ") {
				t.Fatalf("error without its location: %v", err)
			}
			return
		}
		head, err := json.Marshal(map[string]any{"revision": 1, "shards": map[string]string{"s": Digest(raw)}})
		if err != nil {
			t.Fatal(err)
		}
		h, err := ParseHead(head)
		if err != nil {
			t.Fatal(err)
		}
		c, err := Build(h, map[string][]byte{"s": raw}, nil)
		if err != nil {
			var e *ValidationError
			if !errors.As(err, &e) || len(e.Problems) == 0 {
				t.Fatalf("%v", err)
			}
			for _, p := range e.Problems {
				if p.Field == "" || p.Fix == "" {
					t.Errorf("problem without a field or a fix: %+v", p)
				}
			}
			return
		}
		for _, a := range s.Adapters {
			got, ok := c.Adapter(a.Name)
			if !ok || len(got.Versions()) != len(a.Versions) {
				t.Errorf("adapter %q is missing from the catalog", a.Name)
			}
		}
	})
}
