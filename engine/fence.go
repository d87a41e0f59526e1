// SPDX-License-Identifier: Apache-2.0

// Package engine is the client for the model endpoints: completions, orders
// protected by a fencing token, and load reports.
//
// The HTTP interface is that of common engines that serve LoRA adapters;
// docs/ENGINES.md lists the paths and the headers for fences and boot IDs.
package engine

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Fence is the fencing token of an endpoint's owner. An endpoint refuses orders with
// a fence lower than the highest it has seen. The zero Fence is lower than any other.
type Fence struct {
	term uint64
	box  string // breaks ties between equal terms
}

// NewFence returns the fence of a box in a term.
func NewFence(term uint64, box string) Fence { return Fence{term: term, box: box} }

// ParseFence parses the text form, "TERM.BOX". An empty text is the zero Fence.
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

// Next returns the fence of a box in the term after that of f.
func (f Fence) Next(box string) Fence { return Fence{term: f.term + 1, box: box} }

// Less reports whether f is lower than g.
func (f Fence) Less(g Fence) bool {
	if f.term != g.term {
		return f.term < g.term
	}
	return f.box < g.box
}

// Box returns the box that claimed the fence.
func (f Fence) Box() string { return f.box }

// String returns the text form that ParseFence reads, empty for the zero Fence.
func (f Fence) String() string {
	if f.term == 0 {
		return ""
	}
	return strconv.FormatUint(f.term, 10) + "." + f.box
}
