// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/topology"
)

// Collection is one part of what a source of configuration publishes.
type Collection int

// The collections of a source.
const (
	Configuration Collection = iota + 1 // routes, services and adapter versions
	Endpoints                           // endpoint entries, one per incarnation
)

// String returns the name of the collection, as it appears in logs.
func (c Collection) String() string {
	return [...]string{"none", "configuration", "endpoints"}[c]
}

// Fact is one published key and value, not yet decoded.
type Fact struct {
	Key      string   // unique across all collections
	Revision Revision // of the last change to this key; every change to any key raises the revision
	Value    []byte
	Removed  bool
}

// Batch is a source's response, with the revision that it reflects.
type Batch struct {
	Facts    []Fact
	Revision Revision
	// BeganAt is when the response to a watch began to arrive, by package clock: a large one takes long, and the source may
	// have changed since. Zero: not known.
	BeganAt time.Time
}

// ErrHistoryLost reports that a source no longer has the changes since a revision: its history was
// compacted, or it was restored from an older copy.
type ErrHistoryLost struct{}

func (ErrHistoryLost) Error() string {
	return "source: the change history since that revision is no longer available"
}

// Source is a read-only view of published configuration.
type Source interface {
	// List returns all facts of a collection.
	List(ctx context.Context, c Collection) (Batch, error)
	// Watch is a long poll: it returns the changes after a revision, or an empty batch once wait has
	// passed.
	Watch(ctx context.Context, c Collection, after Revision, wait time.Duration) (Batch, error)
}

// Kind is the type of object that a fact describes.
type Kind int

// The kinds of facts.
const (
	KindOther Kind = iota
	KindConfig
	KindEndpoint
	KindVersion
)

// Decoder decodes the facts of a source.
type Decoder interface {
	Kind(key string) Kind
	Config(value []byte) (*topology.Config, error)
	// Endpoint decodes one incarnation of an endpoint.
	Endpoint(key string, value []byte) (*topology.Endpoint, error)
	// Version decodes the newest version of an adapter.
	Version(value []byte) (topology.Adapter, int64, error)
}
