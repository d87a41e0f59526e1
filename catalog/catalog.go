// SPDX-License-Identifier: Apache-2.0

// Package catalog holds the published configuration: base models, adapters and
// their versions, request classes, callers, endpoints and plain services.
//
// A Catalog is built from a head document and all of its shards, is validated as
// a whole and is immutable.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// LiveAlias is the alias that applies when a model name has no version or alias.
const LiveAlias = "live"

// Separator separates an adapter's name from its version or alias.
const Separator = "@"

// State is whether an endpoint or a data centre accepts new requests.
type State string

// The states of endpoints and data centres.
const (
	Serving  State = "serving"
	Draining State = "draining"
)

// Catalog is one revision of the published configuration.
type Catalog struct {
	revision        int64
	digest          string // of the head document
	bases           map[string]Base
	classes         map[string]Class
	defaultClass    string // name of the default class
	callers         map[string]Caller
	endpoints       map[string]Endpoint
	services        map[string]Service
	adapters        map[string]Adapter
	dataCentres     map[string]DataCentreSpec // only those that a document lists
	endpointsByBase map[string][]string       // sorted endpoint names of each base

	// adaptersByShard caches the validated adapters of each shard that contains nothing
	// else, by the shard's digest. Build reuses them for the next revision.
	adaptersByShard map[string][]Adapter
}

// Base is a base model.
type Base struct {
	name string
}

// Name returns the base model's name.
func (b Base) Name() string { return b.name }

// Class sets the priority and the time limits of a class of requests.
type Class struct {
	name     string
	priority int           // lower values run first, as in the engines
	maxWait  time.Duration // in the queue; zero: rejected immediately when no slot is free
	deadline time.Duration // of requests without one; positive
}

// Name returns the name of the class.
func (c Class) Name() string { return c.name }

// Priority returns the priority in the engines, where lower values run first.
func (c Class) Priority() int { return c.priority }

// MaxWait returns the maximum time that a request may spend in the queue; zero
// means that it is never queued.
func (c Class) MaxWait() time.Duration { return c.maxWait }

// Deadline returns the deadline of requests that do not set one.
func (c Class) Deadline() time.Duration { return c.deadline }

// Caller is a known caller and its limits.
type Caller struct {
	name       string
	queueLimit int // per scheduler; positive
}

// Name returns the caller's name.
func (c Caller) Name() string { return c.name }

// QueueLimit returns the maximum number of the caller's requests that may be queued
// at one scheduler.
func (c Caller) QueueLimit() int { return c.queueLimit }

// Endpoint is one model server.
type Endpoint struct {
	name         string
	dataCentre   string
	base         string // names a base of the same catalog
	address      string // IP:port
	slots        int    // adapters it can hold; positive
	maxRunning   int    // requests in one batch; positive
	memoryTokens int    // tokens that fit in its memory; zero: not published
	checksFences bool
	reportLag    time.Duration // maximum age of its reports
	state        State
}

// Name returns the endpoint's name.
func (e Endpoint) Name() string { return e.name }

// DataCentre returns the name of the endpoint's data centre.
func (e Endpoint) DataCentre() string { return e.dataCentre }

// Base returns the base model that the endpoint serves.
func (e Endpoint) Base() string { return e.base }

// Address returns the endpoint's address as IP:port.
func (e Endpoint) Address() string { return e.address }

// Slots returns the number of adapters that the endpoint can hold.
func (e Endpoint) Slots() int { return e.slots }

// MaxRunning returns the maximum number of requests in the endpoint's batch.
func (e Endpoint) MaxRunning() int { return e.maxRunning }

// minTokensPerRequest is the memory that a request of ordinary length needs; topology.EngineSpec uses the same value.
const minTokensPerRequest = 2048

// IsMemoryBound reports whether the endpoint's memory limits how many requests it runs before its batch does.
// Requests are then placed by the expected time to first token instead of by utilisation.
func (e Endpoint) IsMemoryBound() bool {
	return e.memoryTokens >= minTokensPerRequest && e.maxRunning > 0 && e.memoryTokens/e.maxRunning < minTokensPerRequest
}

// ChecksFences reports whether the endpoint rejects orders whose fencing token is
// lower than the highest that it has seen.
func (e Endpoint) ChecksFences() bool { return e.checksFences }

// ReportLag returns the maximum age of the endpoint's reports.
func (e Endpoint) ReportLag() time.Duration { return e.reportLag }

// State returns the state of the endpoint. Endpoints in a draining data centre are
// draining too.
func (e Endpoint) State() State { return e.state }

// Service is a plain service, which runs no models.
type Service struct {
	name          string
	addresses     []string // IP:port, at least one
	nonIdempotent []string // "METHOD /path" of each call that must not be retried
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Addresses returns the service's addresses as IP:port. The caller must not modify
// the slice.
func (s Service) Addresses() []string { return s.addresses }

// IsNonIdempotent reports whether the call is listed as non-idempotent, so that it must not be retried.
func (s Service) IsNonIdempotent(method, path string) bool {
	for _, c := range s.nonIdempotent {
		if c == method+" "+path {
			return true
		}
	}
	return false
}

// Adapter is a LoRA adapter with its versions.
type Adapter struct {
	name     string
	base     string // names a base of the same catalog
	priority int    // higher values are loaded first and evicted last
	versions []pair // store paths by version, sorted; there are thousands of adapters, so slices save memory
	aliases  []pair // versions by alias, sorted; each version exists
}

// pair is a name and its value.
type pair struct {
	name  string
	value string
}

// lookup returns the value of a name. It scans the list, which is short.
func lookup(table []pair, name string) (string, bool) {
	for _, e := range table {
		if e.name == name {
			return e.value, true
		}
	}
	return "", false
}

// sortedPairs returns the pairs of m, sorted by name.
func sortedPairs(m map[string]string) []pair {
	list := make([]pair, 0, len(m))
	for _, n := range slices.Sorted(maps.Keys(m)) {
		list = append(list, pair{name: n, value: m[n]})
	}
	return list
}

// Name returns the adapter's name.
func (a Adapter) Name() string { return a.name }

// Base returns the base model that the adapter was trained on.
func (a Adapter) Base() string { return a.base }

// Priority returns the adapter's priority in placement: higher values are loaded
// first and evicted last.
func (a Adapter) Priority() int { return a.priority }

// Path returns the path of a version in the adapter store.
func (a Adapter) Path(version string) (string, bool) {
	return lookup(a.versions, version)
}

// Version returns the version that an alias refers to.
func (a Adapter) Version(alias string) (string, bool) {
	return lookup(a.aliases, alias)
}

// Versions returns the sorted versions.
func (a Adapter) Versions() []string {
	list := make([]string, len(a.versions))
	for i, e := range a.versions {
		list[i] = e.name
	}
	return list
}

// Revision returns the revision of the head document.
func (c *Catalog) Revision() int64 { return c.revision }

// Digest returns the digest of the head document.
func (c *Catalog) Digest() string { return c.digest }

// Class returns a class by name.
func (c *Catalog) Class(name string) (Class, bool) {
	k, ok := c.classes[name]
	return k, ok
}

// Caller returns a caller by name.
func (c *Catalog) Caller(name string) (Caller, bool) {
	k, ok := c.callers[name]
	return k, ok
}

// Endpoint returns an endpoint by name.
func (c *Catalog) Endpoint(name string) (Endpoint, bool) {
	e, ok := c.endpoints[name]
	return e, ok
}

// Endpoints returns the sorted names of all endpoints.
func (c *Catalog) Endpoints() []string { return slices.Sorted(maps.Keys(c.endpoints)) }

// EndpointsOf returns the sorted names of the endpoints that serve a base model. The
// caller must not modify the slice.
func (c *Catalog) EndpointsOf(base string) []string { return c.endpointsByBase[base] }

// Service returns a plain service by name.
func (c *Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Adapter returns an adapter by name.
func (c *Catalog) Adapter(name string) (Adapter, bool) {
	a, ok := c.adapters[name]
	return a, ok
}

// Adapters returns the sorted names of all adapters.
func (c *Catalog) Adapters() []string { return slices.Sorted(maps.Keys(c.adapters)) }

// DataCentres returns the sorted names of the data centres that have endpoints.
func (c *Catalog) DataCentres() []string {
	seen := make(map[string]bool)
	for _, e := range c.endpoints {
		seen[e.dataCentre] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Region returns the region of a data centre. All data centres without a region
// count as one region, "".
func (c *Catalog) Region(dataCentre string) string { return c.dataCentres[dataCentre].Region }

// Model is a resolved model name: one version of an adapter.
type Model struct {
	adapter Adapter
	version string // one of the adapter's versions
}

// Adapter returns the adapter.
func (m Model) Adapter() Adapter { return m.adapter }

// Version returns the version.
func (m Model) Version() string { return m.version }

// String returns adapter@version, the name by which endpoints know the model.
func (m Model) String() string { return m.adapter.name + Separator + m.version }

// Resolve resolves a model name (adapter, adapter@version or adapter@alias) to one
// version of an adapter in this revision. It returns an *UnknownError if the adapter
// or the version does not exist.
func (c *Catalog) Resolve(model string) (Model, error) {
	name, wanted, found := strings.Cut(model, Separator)
	if !found {
		wanted = LiveAlias
	}
	a, ok := c.adapters[name]
	if !ok {
		return Model{}, &UnknownError{Kind: "adapter", Name: name}
	}
	if _, ok := a.Path(wanted); ok {
		return Model{adapter: a, version: wanted}, nil
	}
	v, ok := a.Version(wanted)
	if !ok {
		return Model{}, &UnknownError{Kind: "version", Name: model}
	}
	return Model{adapter: a, version: v}, nil
}

// DefaultClass returns the class of requests that do not set one.
func (c *Catalog) DefaultClass() Class { return c.classes[c.defaultClass] }
