// SPDX-License-Identifier: Apache-2.0

package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cairnwick.example/catalog"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// shardSet holds the shards of a configuration. They are patched as text, so that the
// operators' comments and the order of entries are preserved.
type shardSet struct {
	names    []string // sorted
	original map[string][]byte
	parsed   map[string]catalog.Shard
	text     map[string]hujson.Value
}

func parseShards(shards map[string][]byte) (*shardSet, error) {
	set := &shardSet{
		names:    slices.Sorted(maps.Keys(shards)),
		original: shards,
		parsed:   make(map[string]catalog.Shard),
		text:     make(map[string]hujson.Value),
	}
	for n, raw := range shards {
		s, err := catalog.ParseShard(raw)
		if err != nil {
			return nil, errors.Wrapf(err, "plan: shard %s", n)
		}
		set.parsed[n] = s
		if set.text[n], err = hujson.Parse(bytes.Clone(raw)); err != nil {
			return nil, errors.Wrapf(err, "plan: shard %s", n)
		}
	}
	return set, nil
}

// changedShards returns the texts of the shards that differ from the original, by name.
func (set *shardSet) changedShards() map[string][]byte {
	list := make(map[string][]byte)
	for n, v := range set.text {
		if raw := v.Pack(); !bytes.Equal(raw, set.original[n]) {
			list[n] = raw
		}
	}
	return list
}

// patchOperation is one operation of a JSON patch (RFC 6902).
type patchOperation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// patch applies one JSON patch operation to a shard. op is add or remove, and parts are the
// unescaped parts of the path.
func (set *shardSet) patch(shard, op string, value any, parts ...any) error {
	path := ""
	for _, p := range parts {
		path += "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(fmt.Sprint(p))
	}
	raw, err := json.Marshal([]patchOperation{{Op: op, Path: path, Value: value}})
	if err != nil {
		return errors.Wrap(err, "plan: patch")
	}
	v := set.text[shard]
	if err := v.Patch(raw); err != nil {
		return errors.Wrapf(err, "plan: patch %s of shard %s", path, shard)
	}
	set.text[shard] = v
	return nil
}

// adapter returns the shard of an adapter, its index there and its entry.
func (set *shardSet) adapter(name string) (shard string, index int, f catalog.AdapterSpec, ok bool) {
	for _, n := range set.names {
		for i, f := range set.parsed[n].Adapters {
			if f.Name == name {
				return n, i, f, true
			}
		}
	}
	return "", 0, catalog.AdapterSpec{}, false
}

// endpoint returns the shard of an endpoint, its index there and its entry.
func (set *shardSet) endpoint(name string) (shard string, index int, f catalog.EndpointSpec, ok bool) {
	for _, n := range set.names {
		for i, f := range set.parsed[n].Endpoints {
			if f.Name == name {
				return n, i, f, true
			}
		}
	}
	return "", 0, catalog.EndpointSpec{}, false
}

// class returns the shard of a class, its index there and its entry.
func (set *shardSet) class(name string) (shard string, index int, f catalog.ClassSpec, ok bool) {
	for _, n := range set.names {
		for i, f := range set.parsed[n].Classes {
			if f.Name == name {
				return n, i, f, true
			}
		}
	}
	return "", 0, catalog.ClassSpec{}, false
}

// dataCentre returns the shard of the published state of a data centre and its index there.
func (set *shardSet) dataCentre(name string) (shard string, index int, ok bool) {
	for _, n := range set.names {
		for i, f := range set.parsed[n].DataCentres {
			if f.Name == name {
				return n, i, true
			}
		}
	}
	return "", 0, false
}
