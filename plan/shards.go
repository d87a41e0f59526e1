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

// shardSet are the shards of a configuration, to be changed in place so that
// comments and order stay.
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

// changedShards returns the texts that differ from before.
func (set *shardSet) changedShards() map[string][]byte {
	list := make(map[string][]byte)
	for n, v := range set.text {
		if raw := v.Pack(); !bytes.Equal(raw, set.original[n]) {
			list[n] = raw
		}
	}
	return list
}

// patchOperation is one step of a JSON patch.
type patchOperation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// patch changes one place of a shard: op is add or remove, the path is made of
// its parts.
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
		return errors.Wrapf(err, "plan: change %s of shard %s", path, shard)
	}
	set.text[shard] = v
	return nil
}

// adapter finds an adapter's shard and place.
func (set *shardSet) adapter(name string) (shard string, index int, f catalog.AdapterFormat, ok bool) {
	for _, n := range set.names {
		for i, f := range set.parsed[n].Adapters {
			if f.Name == name {
				return n, i, f, true
			}
		}
	}
	return "", 0, catalog.AdapterFormat{}, false
}

// endpoint finds an endpoint's shard and place.
func (set *shardSet) endpoint(name string) (shard string, index int, f catalog.EndpointFormat, ok bool) {
	for _, n := range set.names {
		for i, f := range set.parsed[n].Endpoints {
			if f.Name == name {
				return n, i, f, true
			}
		}
	}
	return "", 0, catalog.EndpointFormat{}, false
}

// class finds a class's shard and place.
func (set *shardSet) class(name string) (shard string, index int, f catalog.ClassFormat, ok bool) {
	for _, n := range set.names {
		for i, f := range set.parsed[n].Classes {
			if f.Name == name {
				return n, i, f, true
			}
		}
	}
	return "", 0, catalog.ClassFormat{}, false
}

// dataCentre finds a data centre's published state.
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
