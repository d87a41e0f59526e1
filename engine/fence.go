// SPDX-License-Identifier: Apache-2.0

// Package engine is the client of the model endpoints: completions, orders
// under a fence, and reports.
//
// The HTTP style is that of today's LoRA-serving engines; docs/ENGINES.md
// lists the paths and what the fence and the boot add in headers.
package engine

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Fence orders the owners of an endpoint: a higher fence wins. The zero Fence
// is below every other.
type Fence struct {
	term uint64
	box  string // breaks ties between equal terms
}

// NewFence returns the fence of box at term.
func NewFence(term uint64, box string) Fence { return Fence{term: term, box: box} }

// ParseFence reads the text form, term and box with a dot between.
func ParseFence(s string) (Fence, error) {
	if s == "" {
		return Fence{}, nil
	}
	term, box, _ := strings.Cut(s, ".")
	n, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Fence{}, errors.Wrapf(err, "engine: fence %q", s)
	}
	return Fence{term: n, box: box}, nil
}

// Next returns a fence of box that is higher than f.
func (f Fence) Next(box string) Fence { return Fence{term: f.term + 1, box: box} }

// Less tells whether f is below g.
func (f Fence) Less(g Fence) bool {
	if f.term != g.term {
		return f.term < g.term
	}
	return f.box < g.box
}

// Box returns the box that claimed the fence.
func (f Fence) Box() string { return f.box }

// String returns the text form; it is empty for the zero Fence.
func (f Fence) String() string {
	if f.term == 0 {
		return ""
	}
	return strconv.FormatUint(f.term, 10) + "." + f.box
}
