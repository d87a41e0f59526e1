// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// FuzzHead: a head that is accepted is its own text, and the next one follows it.
func FuzzHead(f *testing.F) {
	f.Add([]byte(`{"revision": 3, "ancestors": ["a"], "shards": {"s": "d"}}`))
	f.Add([]byte(`{"revision": 9223372036854775807, "shards": {"": ""}} // end`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := ParseHead(raw)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "catalog: head: ") {
				t.Fatalf("an error without its place: %v", err)
			}
			return
		}
		if h.Revision() <= 0 || h.Digest() != Digest(raw) || len(h.Shards()) == 0 || h.DescendsFrom(h) {
			t.Errorf("%+v", h)
		}
	})
}

// FuzzShard: a shard is taken in whole or refused with every problem named.
func FuzzShard(f *testing.F) {
	f.Add([]byte(`{"bases":[{"name":"b"}],"classes":[{"name":"c","deadline":"1s","default":true}],"adapters":[{"name":"a","base":"b","versions":{"1":"p"},"aliases":{"live":"1"}}]}`))
	f.Add([]byte(`{"endpoints":[{"name":"e","data_centre":"d","base":"b","address":"1.2.3.4:5","slots":1,"running":1,"report_lag":"1h"}],"callers":[{"name":"x","queue":-1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := ParseShard(raw)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "catalog: shard: ") {
				t.Fatalf("an error without its place: %v", err)
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
					t.Errorf("a problem without its field or mend: %+v", p)
				}
			}
			return
		}
		for _, a := range s.Adapters {
			got, ok := c.Adapter(a.Name)
			if !ok || len(got.Versions()) != len(a.Versions) {
				t.Errorf("adapter %q is lost", a.Name)
			}
		}
	})
}
