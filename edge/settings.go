// SPDX-License-Identifier: Apache-2.0

// Package edge makes one process of an entry box: it answers callers, shares what
// it knows with the other boxes, and gives orders to endpoints when it leads its
// data centre.
package edge

import (
	"time"

	"cairnwick.example/access"
	"cairnwick.example/forward"
	"cairnwick.example/placement"
)

// Settings say who a box is, where it listens, and what it must keep to.
type Settings struct {
	Box        string
	DataCentre string
	Number     uint32 // that no other box has; its low bits go into fences
	Callers    string // IP:port for callers
	Ready      string // IP:port for the balancer's questions
	Peers      string // IP:port for other boxes
	Metrics    string // IP:port for metrics; empty: a free port
	Seeds      []string
	Limits     Limits
	Bounds     Bounds
	Budget     forward.RetryLimits
	Rate       placement.RateLimits

	DataCentres int           // that there are; zero: as many as have boxes
	Quota       access.Bounds // that organisations' quotas are kept to
}

// Limits are what the box may use.
type Limits struct {
	MemoryMB    int
	Descriptors int
	Cores       float64 // of a processor; zero: not known
}

// Bounds are the times that the box must keep.
type Bounds struct {
	Grace time.Duration // from the request to stop until the process is killed
	Lease time.Duration // a refused owner keeps away from an endpoint so long
	Drain time.Duration // an endpoint that leaves gets no requests after it
	Apply time.Duration // a configuration is in force after it
	Lapse time.Duration // entries of endpoints may lapse where the source is away for so long

	StrictKeys bool          // a key that was taken away ends everywhere within Revocation; else where the source is heard
	Revocation time.Duration // with StrictKeys: a configuration that is older may not say who calls
}

// defaultBehind is how far a box may be behind its source where no bound is set.
const defaultBehind = 2 * time.Second

// Behind returns how far the box may be behind what the source has published.
func (b Bounds) Behind() time.Duration {
	switch {
	case b.Drain > 0 && b.Apply > 0:
		return min(b.Drain, b.Apply)
	case b.Drain > 0 || b.Apply > 0:
		return max(b.Drain, b.Apply)
	}
	return defaultBehind
}
