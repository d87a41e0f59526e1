// SPDX-License-Identifier: Apache-2.0

// Package edge implements the gateway process of a box: it serves callers, shares its state with the other boxes, and
// issues commands to endpoints while it leads its data centre.
package edge

import (
	"time"

	"cairnwick.example/access"
	"cairnwick.example/forward"
	"cairnwick.example/placement"
)

// Settings are the identity of a box, its listen addresses and its limits.
type Settings struct {
	Box        string
	DataCentre string
	Callers    string // IP:port for callers
	Ready      string // IP:port for the load balancer's readiness checks
	Peers      string // IP:port for other boxes
	Metrics    string // IP:port for metrics; empty: a free port
	Seeds      []string
	Limits     Limits
	Bounds     Bounds
	Budget     forward.RetryLimits
	Rate       placement.RateLimits

	DataCentres int           // how many exist; zero: count those that have boxes
	Quota       access.Bounds // how closely quotas of organisations are enforced
}

// Limits are the resources that the box may use.
type Limits struct {
	MemoryMB    int
	Descriptors int
	Cores       float64 // processor cores, possibly a fraction; zero: not known
}

// Bounds are the time limits that the box must meet.
type Bounds struct {
	Grace           time.Duration // from the stop signal until the process is killed
	Lease           time.Duration // how long an owner whose command was rejected stays away from the endpoint
	Drain           time.Duration // after it a draining endpoint gets no new requests
	Apply           time.Duration // after it a published configuration is in force
	RegistrationTTL time.Duration // after it, endpoint registrations may have expired during an outage of the source

	StrictKeys bool          // whether a revoked key stops working on all boxes within Revocation; otherwise only on those that can reach the source
	Revocation time.Duration // with StrictKeys: the maximum age of a configuration that authenticates callers
}

// defaultMaxStaleness is the maximum staleness if no bound is set.
const defaultMaxStaleness = 2 * time.Second

// MaxStaleness returns the maximum staleness of the box relative to what the source has published.
func (b Bounds) MaxStaleness() time.Duration {
	switch {
	case b.Drain > 0 && b.Apply > 0:
		return min(b.Drain, b.Apply)
	case b.Drain > 0 || b.Apply > 0:
		return max(b.Drain, b.Apply)
	}
	return defaultMaxStaleness
}
