// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"fmt"
	"strings"
)

// UnknownError reports an adapter or a version that the catalog does not contain.
type UnknownError struct {
	Kind string // "adapter" or "version"
	Name string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("catalog: no %s %q", e.Kind, e.Name)
}

// Problem is one validation error in a published document.
type Problem struct {
	Document string // name of a shard, or "all shards"
	Field    string // such as endpoints[kgl1-e1].base
	Value    string
	Fix      string
}

// ValidationError lists all problems of a revision.
type ValidationError struct {
	Revision int64
	Problems []Problem
}

func (e *ValidationError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "catalog: revision %d has %d problem(s)", e.Revision, len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %s: %s: %s: %s", p.Document, p.Field, p.Value, p.Fix)
	}
	return b.String()
}
