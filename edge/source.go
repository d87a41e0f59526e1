// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/topology"
)

// Collection is one part of what a source of configuration publishes.
type Collection int

// The collections.
const (
	Configuration Collection = iota + 1 // routes and services, and versions of adapters
	Endpoints                           // lives of endpoints
)

// String names the collection.
func (c Collection) String() string {
	return [...]string{"none", "configuration", "endpoints"}[c]
}

// Fact is one published fact, not yet decoded.
type Fact struct {
	Key      string   // unique over all collections
	Revision Revision // of its last change; rises with each change of anything
	Value    []byte
	Removed  bool
}

// Batch is an answer of a source, as of a revision.
type Batch struct {
	Facts    []Fact
	Revision Revision
}

// ErrHistoryLost says that a source does not know what changed since a revision: its history is gone, or it was restored
// from an older copy.
type ErrHistoryLost struct{}

func (ErrHistoryLost) Error() string { return "source: the history since that revision is gone" }

// Source publishes configuration. It can only be read.
type Source interface {
	// List returns everything in a collection.
	List(ctx context.Context, c Collection) (Batch, error)
	// Watch returns what changed after a revision, at the latest after wait.
	Watch(ctx context.Context, c Collection, after Revision, wait time.Duration) (Batch, error)
}

// Kind says what a fact describes.
type Kind int

// The kinds of facts.
const (
	KindOther Kind = iota
	KindConfig
	KindEndpoint
	KindVersion
)

// Decoder reads the facts of a source.
type Decoder interface {
	Kind(key string) Kind
	Config(value []byte) (*topology.Config, error)
	// Endpoint reads one life of an endpoint.
	Endpoint(key string, value []byte) (*topology.Endpoint, error)
	// Version reads the newest version of an adapter.
	Version(value []byte) (topology.Adapter, int64, error)
}
