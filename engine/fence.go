// SPDX-License-Identifier: Apache-2.0

// Package engine is the client for the model endpoints: completions, orders
// protected by a fencing token, and load reports.
//
// The HTTP interface is that of common engines that serve LoRA adapters;
// docs/ENGINES.md lists the paths and the headers for fences and boot IDs.
package engine

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Fence is the fencing token of an endpoint's owner. An endpoint refuses orders with
// a fence lower than the highest it has seen. The zero Fence is lower than any other.
type Fence struct {
	term    uint64
	box     string // breaks ties between equal terms
	process uint32 // tells apart two processes of one box, as during a restart; zero: not known
}

// NewFence returns the fence of a box in a term.
func NewFence(term uint64, box string) Fence { return Fence{term: term, box: box} }

// processSeparator separates the box from the process in the text form.
const processSeparator = ";"

// ParseFence parses the text form, "TERM.BOX;PROCESS" or "TERM.BOX". An empty text is the zero Fence.
func ParseFence(s string) (Fence, error) {
	if s == "" {
		return Fence{}, nil
	}
	term, box, _ := strings.Cut(s, ".")
	n, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Fence{}, errors.Wrapf(err, "engine: fence %q", s)
	}
	f := Fence{term: n, box: box}
	if cut := strings.LastIndex(box, processSeparator); cut >= 0 {
		if p, err := strconv.ParseUint(box[cut+1:], 16, 32); err == nil {
			f.box, f.process = box[:cut], uint32(p)
		}
	}
	return f, nil
}

// Next returns the fence of a process of a box in the term after that of f.
func (f Fence) Next(box string, process uint32) Fence {
	return Fence{term: f.term + 1, box: box, process: process}
}

// Less reports whether f is lower than g.
func (f Fence) Less(g Fence) bool {
	return cmp.Or(cmp.Compare(f.term, g.term), cmp.Compare(f.box, g.box), cmp.Compare(f.process, g.process)) < 0
}

// Box returns the box that claimed the fence.
func (f Fence) Box() string { return f.box }

// String returns the text form that ParseFence reads, empty for the zero Fence.
func (f Fence) String() string {
	switch {
	case f.term == 0:
		return ""
	case f.process == 0:
		return strconv.FormatUint(f.term, 10) + "." + f.box
	}
	return strconv.FormatUint(f.term, 10) + "." + f.box + processSeparator + strconv.FormatUint(uint64(f.process), 16)
}
