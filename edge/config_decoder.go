// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/cespare/xxhash/v2"
)

// decodedConfigs decodes a configuration once: that takes long, and several boxes may send it at the same time.
type decodedConfigs struct {
	mu   sync.Mutex    // held while a configuration is decoded
	last decodedConfig // the zero value: none was decoded
}

// decodedConfig is the result for one value.
type decodedConfig struct {
	hash   uint64 // of the value
	length int    // of the value
	config *topology.Config
	err    error
	took   time.Duration // above zero
}

// decode returns the configuration in a value.
func (d *decodedConfigs) decode(decoder Decoder, value []byte) decodedConfig {
	hash := xxhash.Sum64(value)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last.took > 0 && d.last.hash == hash && d.last.length == len(value) {
		return d.last
	}
	begun := clock.Now()
	c, err := decoder.Config(value)
	d.last = decodedConfig{hash: hash, length: len(value), config: c, err: err, took: max(clock.Since(begun), 1)}
	return d.last
}

// prepare decodes the configurations among items that may be accepted, before the table's other changes have to wait for these.
func (s *state) prepare(items []*wire.Item) {
	for _, i := range items {
		if i.GetRemoved() || s.decoder.Kind(i.GetKey()) != KindConfig || i.GetVersion() <= s.table.Version(i.GetKey()) {
			continue
		}
		if value, err := share.Value(i); err == nil { // apply logs a failure
			s.configs.decode(s.decoder, value)
		}
	}
}
