// SPDX-License-Identifier: Apache-2.0

// Package catalog holds the configuration that the users publish: base models,
// adapters and their versions, classes, callers, endpoints and plain services.
//
// A Catalog is built whole from a head document and its shards, is checked
// whole, and never changes afterwards.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// LiveAlias is the alias meant when a caller names an adapter alone.
const LiveAlias = "live"

// Separator stands between an adapter's name and its version or alias.
const Separator = "@"

// State says whether an endpoint or a data centre takes new work.
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
	dataCentres     map[string]DataCentreSpec // only those that are named in the documents
	endpointsByBase map[string][]string       // sorted endpoint names of each base

	// adaptersByShard holds the checked adapters of each shard that has nothing else, by
	// its digest, for the next revision to take over.
	adaptersByShard map[string][]Adapter
}

// Base is a base model.
type Base struct {
	name string
}

// Name returns the base model's name.
func (b Base) Name() string { return b.name }

// Class says how requests of one kind are treated.
type Class struct {
	name     string
	priority int           // smaller runs earlier, as the engines count it
	maxWait  time.Duration // zero: refused at once when no place is free
	deadline time.Duration // when the caller names none; positive
}

// Name returns the class's name.
func (c Class) Name() string { return c.name }

// Priority returns the engines' priority: smaller runs earlier.
func (c Class) Priority() int { return c.priority }

// MaxWait returns the longest time that a request may queue.
func (c Class) MaxWait() time.Duration { return c.maxWait }

// Deadline returns the deadline of requests that name none.
func (c Class) Deadline() time.Duration { return c.deadline }

// Caller is a known caller and its limits.
type Caller struct {
	name       string
	queueLimit int // most requests waiting at one scheduler; positive
}

// Name returns the caller's name.
func (c Caller) Name() string { return c.name }

// QueueLimit returns how many requests of the caller may wait at one scheduler.
func (c Caller) QueueLimit() int { return c.queueLimit }

// Endpoint is one model server.
type Endpoint struct {
	name         string
	dataCentre   string
	base         string // names a base of the same catalog
	address      string // IP:port
	slots        int    // adapters it can hold; positive
	maxRunning   int    // requests it can batch; positive
	checksFences bool
	reportLag    time.Duration // how old its reports may be
	state        State
}

// Name returns the endpoint's name.
func (e Endpoint) Name() string { return e.name }

// DataCentre returns where the endpoint stands.
func (e Endpoint) DataCentre() string { return e.dataCentre }

// Base returns the base model that the endpoint serves.
func (e Endpoint) Base() string { return e.base }

// Address returns the endpoint's IP number and port.
func (e Endpoint) Address() string { return e.address }

// Slots returns how many adapters the endpoint can hold.
func (e Endpoint) Slots() int { return e.slots }

// MaxRunning returns how many requests the endpoint can batch.
func (e Endpoint) MaxRunning() int { return e.maxRunning }

// ChecksFences tells whether the endpoint refuses orders below its fence.
func (e Endpoint) ChecksFences() bool { return e.checksFences }

// ReportLag returns how old the endpoint's reports may be.
func (e Endpoint) ReportLag() time.Duration { return e.reportLag }

// State tells whether the endpoint takes new work; a draining data centre
// drains its endpoints.
func (e Endpoint) State() State { return e.state }

// Service is a plain service beside the model engines.
type Service struct {
	name          string
	addresses     []string // IP:port, at least one
	notRepeatable []string // "METHOD /path", each call that may run once only
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Addresses returns the service's IP numbers and ports; do not change it.
func (s Service) Addresses() []string { return s.addresses }

// NotRepeatable tells whether the call may run once only.
func (s Service) NotRepeatable(method, path string) bool {
	for _, c := range s.notRepeatable {
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
	priority int    // larger is kept and loaded rather
	versions []pair // store paths by version, sorted; slices, since there are thousands
	aliases  []pair // versions by alias, sorted; versions has each
}

// pair is one line of a small table.
type pair struct {
	name  string
	value string
}

// lookup finds a line of a small table.
func lookup(table []pair, name string) (string, bool) {
	for _, e := range table {
		if e.name == name {
			return e.value, true
		}
	}
	return "", false
}

// sortedPairs returns a table sorted by name.
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

// Priority returns the adapter's weight in placement: larger is kept rather.
func (a Adapter) Priority() int { return a.priority }

// Path returns where the store keeps a version.
func (a Adapter) Path(version string) (string, bool) {
	return lookup(a.versions, version)
}

// Version returns the version that an alias stands for.
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

// EndpointsOf returns the sorted names of a base's endpoints; do not change it.
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

// DataCentres returns the sorted names of the data centres with endpoints.
func (c *Catalog) DataCentres() []string {
	seen := make(map[string]bool)
	for _, e := range c.endpoints {
		seen[e.dataCentre] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Region returns the region of a data centre; all that name none are in one.
func (c *Catalog) Region(dataCentre string) string { return c.dataCentres[dataCentre].Region }

// Model is a resolved model name: an adapter at one version.
type Model struct {
	adapter Adapter
	version string // one of the adapter's versions
}

// Adapter returns the adapter.
func (m Model) Adapter() Adapter { return m.adapter }

// Version returns the version.
func (m Model) Version() string { return m.version }

// String returns adapter@version, the name used at the endpoints.
func (m Model) String() string { return m.adapter.name + Separator + m.version }

// Resolve turns what a caller wrote as model (adapter, adapter@version or
// adapter@alias) into one version under this revision. It returns an
// *UnknownError when there is no such adapter or version.
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

// DefaultClass returns the class of requests that name none.
func (c *Catalog) DefaultClass() Class { return c.classes[c.defaultClass] }
