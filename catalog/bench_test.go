// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"fmt"
	"testing"
)

// BenchmarkBuild builds a catalog of 11,000 adapters from scratch, and one in which a
// single shard has changed since the previous revision.
func BenchmarkBuild(b *testing.B) {
	h, shards := largeConfiguration(b)
	old, err := Build(h, shards, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("whole", func(b *testing.B) { benchmarkBuild(b, h, shards, nil) })
	shards["adapters-00"] = adapterShard(0, 199)
	changed, err := NewHead(h, shards)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("one shard changed", func(b *testing.B) { benchmarkBuild(b, changed, shards, old) })
}

func largeConfiguration(b *testing.B) (Head, map[string][]byte) {
	shards := map[string][]byte{"all": []byte(validShard)}
	for i := range 55 {
		shards[fmt.Sprintf("adapters-%02d", i)] = adapterShard(i*200, 200)
	}
	h, err := NewHead(Head{}, shards)
	if err != nil {
		b.Fatal(err)
	}
	return h, shards
}

func benchmarkBuild(b *testing.B, h Head, shards map[string][]byte, old *Catalog) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Build(h, shards, old); err != nil {
			b.Fatal(err)
		}
	}
}
