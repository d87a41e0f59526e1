// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"fmt"
	"strings"
)

// UnknownError says that the catalog has no such thing.
type UnknownError struct {
	Kind string // "adapter" or "version"
	Name string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("catalog: no %s %q", e.Kind, e.Name)
}

// Problem is one fault of a published document.
type Problem struct {
	Document string // shard name, or "head"
	Field    string // such as endpoints[kgl1-e1].base
	Value    string
	Fix      string
}

// ValidationError says all that is wrong with a revision at once.
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
