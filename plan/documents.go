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

// documents are the shards of a configuration, to be changed in place so that
// comments and order stay.
type documents struct {
	names  []string // sorted
	before map[string][]byte
	parsed map[string]catalog.Shard
	text   map[string]hujson.Value
}

func parseDocuments(shards map[string][]byte) (*documents, error) {
	d := &documents{
		names:  slices.Sorted(maps.Keys(shards)),
		before: shards,
		parsed: make(map[string]catalog.Shard),
		text:   make(map[string]hujson.Value),
	}
	for n, raw := range shards {
		s, err := catalog.ParseShard(raw)
		if err != nil {
			return nil, errors.Wrapf(err, "plan: shard %s", n)
		}
		d.parsed[n] = s
		if d.text[n], err = hujson.Parse(bytes.Clone(raw)); err != nil {
			return nil, errors.Wrapf(err, "plan: shard %s", n)
		}
	}
	return d, nil
}

// changed returns the texts that differ from before.
func (d *documents) changed() map[string][]byte {
	list := make(map[string][]byte)
	for n, v := range d.text {
		if raw := v.Pack(); !bytes.Equal(raw, d.before[n]) {
			list[n] = raw
		}
	}
	return list
}

// patchStep is one step of a JSON patch.
type patchStep struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// patch changes one place of a shard: op is add or remove, the path is made of
// its parts.
func (d *documents) patch(shard, op string, value any, parts ...any) error {
	path := ""
	for _, p := range parts {
		path += "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(fmt.Sprint(p))
	}
	raw, err := json.Marshal([]patchStep{{Op: op, Path: path, Value: value}})
	if err != nil {
		return errors.Wrap(err, "plan: patch")
	}
	v := d.text[shard]
	if err := v.Patch(raw); err != nil {
		return errors.Wrapf(err, "plan: change %s of shard %s", path, shard)
	}
	d.text[shard] = v
	return nil
}

// adapter finds an adapter's shard and place.
func (d *documents) adapter(name string) (shard string, at int, f catalog.AdapterSpec, ok bool) {
	for _, n := range d.names {
		for i, f := range d.parsed[n].Adapters {
			if f.Name == name {
				return n, i, f, true
			}
		}
	}
	return "", 0, catalog.AdapterSpec{}, false
}

// endpoint finds an endpoint's shard and place.
func (d *documents) endpoint(name string) (shard string, at int, f catalog.EndpointSpec, ok bool) {
	for _, n := range d.names {
		for i, f := range d.parsed[n].Endpoints {
			if f.Name == name {
				return n, i, f, true
			}
		}
	}
	return "", 0, catalog.EndpointSpec{}, false
}

// class finds a class's shard and place.
func (d *documents) class(name string) (shard string, at int, f catalog.ClassSpec, ok bool) {
	for _, n := range d.names {
		for i, f := range d.parsed[n].Classes {
			if f.Name == name {
				return n, i, f, true
			}
		}
	}
	return "", 0, catalog.ClassSpec{}, false
}

// centre finds a data centre's published state.
func (d *documents) centre(name string) (shard string, at int, ok bool) {
	for _, n := range d.names {
		for i, f := range d.parsed[n].DataCentres {
			if f.Name == name {
				return n, i, true
			}
		}
	}
	return "", 0, false
}
