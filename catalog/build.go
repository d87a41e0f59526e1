// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// builder builds a catalog and collects the problems of its documents.
type builder struct {
	catalog  *Catalog
	previous *Catalog // nil when there is none
	document string   // the name of the current shard
	problems []Problem
}

// Build builds a catalog from a head and the texts of its shards by name. It checks
// the shards against the head and against each other, and returns a *ValidationError
// that lists every problem. The adapters of shards that are unchanged since previous,
// which may be nil, are reused without being decoded again.
func Build(h Head, shards map[string][]byte, previous *Catalog) (*Catalog, error) {
	b := &builder{catalog: newCatalog(h), previous: previous}
	for _, n := range h.Shards() {
		b.document = n
		b.addDocument(shards[n], h.ShardDigest(n))
	}
	b.checkReferences()
	if len(b.problems) > 0 {
		return nil, &ValidationError{Revision: h.revision, Problems: b.problems}
	}
	b.drainDataCentres()
	b.indexEndpoints()
	return b.catalog, nil
}

func newCatalog(h Head) *Catalog {
	return &Catalog{
		revision:        h.revision,
		digest:          h.digest,
		bases:           make(map[string]Base),
		classes:         make(map[string]Class),
		callers:         make(map[string]Caller),
		endpoints:       make(map[string]Endpoint),
		services:        make(map[string]Service),
		adapters:        make(map[string]Adapter),
		dataCentres:     make(map[string]DataCentreSpec),
		endpointsByBase: make(map[string][]string),
		adaptersByShard: make(map[string][]Adapter),
	}
}

func (b *builder) addProblem(field, value, fix string) {
	b.problems = append(b.problems, Problem{Document: b.document, Field: field, Value: value, Fix: fix})
}

// checkName reports whether a name is valid and not taken, and records a problem
// otherwise.
func (b *builder) checkName(list, name string, taken bool) bool {
	if name == "" || strings.ContainsAny(name, Separator+" /") {
		b.addProblem(list, fmt.Sprintf("%q", name), "use a name without spaces, '/' and '@'")
		return false
	}
	if taken {
		b.addProblem(list+"["+name+"]", "duplicate name", "keep only one of them")
		return false
	}
	return true
}

func (b *builder) addDocument(raw []byte, digest string) {
	if Digest(raw) != digest {
		b.addProblem("digest", Digest(raw), "publish the shard with the digest in the head document: "+digest)
		return
	}
	if b.reuseAdapters(digest) {
		return
	}
	s, err := ParseShard(raw)
	if err != nil {
		b.addProblem("text", errors.Cause(err).Error(), err.Error())
		return
	}
	found := len(b.problems)
	b.addShard(s)
	if s.hasOnlyAdapters() && len(b.problems) == found {
		b.cacheAdapters(digest, s)
	}
}

// reuseAdapters copies the adapters of an unchanged shard from the previous catalog.
// It returns false if that catalog has none for the digest.
func (b *builder) reuseAdapters(digest string) bool {
	if b.previous == nil || b.previous.adaptersByShard[digest] == nil {
		return false
	}
	list := b.previous.adaptersByShard[digest]
	b.catalog.adaptersByShard[digest] = list
	for _, a := range list {
		_, taken := b.catalog.adapters[a.name]
		if b.checkName("adapters", a.name, taken) {
			b.catalog.adapters[a.name] = a
		}
	}
	return true
}

// cacheAdapters stores the adapters of a shard so that Build can reuse them for the
// next revision.
func (b *builder) cacheAdapters(digest string, s Shard) {
	list := make([]Adapter, len(s.Adapters))
	for i, f := range s.Adapters {
		list[i] = b.catalog.adapters[f.Name]
	}
	b.catalog.adaptersByShard[digest] = list
}

func (b *builder) addShard(s Shard) {
	for _, f := range s.Bases {
		_, taken := b.catalog.bases[f.Name]
		if b.checkName("bases", f.Name, taken) {
			b.catalog.bases[f.Name] = Base{name: f.Name}
		}
	}
	for _, f := range s.Classes {
		b.addClass(f)
	}
	for _, f := range s.Callers {
		b.addCaller(f)
	}
	for _, f := range s.DataCentres {
		b.addDataCentre(f)
	}
	for _, f := range s.Endpoints {
		b.addEndpoint(f)
	}
	for _, f := range s.Services {
		b.addService(f)
	}
	for _, f := range s.Adapters {
		b.addAdapter(f)
	}
}

func (b *builder) addClass(f ClassSpec) {
	_, taken := b.catalog.classes[f.Name]
	if !b.checkName("classes", f.Name, taken) {
		return
	}
	if f.Deadline <= 0 {
		b.addProblem("classes["+f.Name+"].deadline", "missing", `set a positive duration, such as "30s"`)
	}
	b.catalog.classes[f.Name] = Class{
		name:     f.Name,
		priority: f.Priority,
		maxWait:  time.Duration(f.MaxWait),
		deadline: time.Duration(f.Deadline),
	}
	if f.Default {
		b.setDefaultClass(f.Name)
	}
}

func (b *builder) setDefaultClass(name string) {
	if b.catalog.defaultClass != "" {
		b.addProblem("classes["+name+"].default", "true", "only one class can be the default; "+b.catalog.defaultClass+" already is")
	}
	b.catalog.defaultClass = name
}

func (b *builder) addCaller(f CallerSpec) {
	_, taken := b.catalog.callers[f.Name]
	if !b.checkName("callers", f.Name, taken) {
		return
	}
	b.requirePositive("callers["+f.Name+"].queue", f.QueueLimit)
	b.catalog.callers[f.Name] = Caller{name: f.Name, queueLimit: f.QueueLimit}
}

func (b *builder) addDataCentre(f DataCentreSpec) {
	_, taken := b.catalog.dataCentres[f.Name]
	if !b.checkName("data_centres", f.Name, taken) {
		return
	}
	if f.State == "" {
		f.State = Serving
	}
	b.checkState("data_centres["+f.Name+"].state", f.State)
	b.catalog.dataCentres[f.Name] = f
}

func (b *builder) addEndpoint(f EndpointSpec) {
	_, taken := b.catalog.endpoints[f.Name]
	if !b.checkName("endpoints", f.Name, taken) {
		return
	}
	field := "endpoints[" + f.Name + "]."
	if f.State == "" {
		f.State = Serving
	}
	if f.DataCentre == "" {
		b.addProblem(field+"data_centre", "missing", "set the name of the endpoint's data centre")
	}
	b.checkAddress(field+"address", f.Address)
	b.checkState(field+"state", f.State)
	b.requirePositive(field+"slots", f.Slots)
	b.requirePositive(field+"running", f.MaxRunning)
	if f.MemoryTokens < 0 {
		b.addProblem(field+"memory_tokens", "negative", "set the tokens that fit in the endpoint's memory, or leave it out")
	}
	b.catalog.endpoints[f.Name] = Endpoint{
		name:         f.Name,
		dataCentre:   f.DataCentre,
		base:         f.Base,
		address:      f.Address,
		slots:        f.Slots,
		maxRunning:   f.MaxRunning,
		memoryTokens: f.MemoryTokens,
		checksFences: f.ChecksFences,
		reportLag:    time.Duration(f.ReportLag),
		state:        f.State,
	}
}

func (b *builder) addService(f ServiceSpec) {
	_, taken := b.catalog.services[f.Name]
	if !b.checkName("services", f.Name, taken) {
		return
	}
	if len(f.Addresses) == 0 {
		b.addProblem("services["+f.Name+"].addresses", "empty", "list at least one address as IP:port")
	}
	for _, a := range f.Addresses {
		b.checkAddress("services["+f.Name+"].addresses", a)
	}
	b.catalog.services[f.Name] = Service{name: f.Name, addresses: f.Addresses, nonIdempotent: f.NonIdempotent}
}

func (b *builder) addAdapter(f AdapterSpec) {
	_, taken := b.catalog.adapters[f.Name]
	if !b.checkName("adapters", f.Name, taken) {
		return
	}
	field := "adapters[" + f.Name + "]."
	if len(f.Versions) == 0 {
		b.addProblem(field+"versions", "empty", "list at least one version with its path in the store")
	}
	for v, p := range f.Versions {
		if p == "" || v == "" {
			b.addProblem(field+"versions["+v+"]", "empty", "set the version's path in the store")
		}
	}
	for a, v := range f.Aliases {
		if _, ok := f.Versions[v]; !ok {
			b.addProblem(field+"aliases["+a+"]", v, "use one of the adapter's versions")
		}
		if _, ok := f.Versions[a]; ok {
			b.addProblem(field+"aliases["+a+"]", v, "use an alias that is not also a version")
		}
	}
	b.catalog.adapters[f.Name] = Adapter{
		name:     f.Name,
		base:     f.Base,
		priority: f.Priority,
		versions: sortedPairs(f.Versions),
		aliases:  sortedPairs(f.Aliases),
	}
}

// checkReferences reports references to base models that no shard defines, and a
// missing default class.
func (b *builder) checkReferences() {
	b.document = "all shards"
	for _, n := range b.catalog.Endpoints() {
		b.checkBaseExists("endpoints["+n+"].base", b.catalog.endpoints[n].base)
	}
	for _, n := range b.catalog.Adapters() {
		b.checkBaseExists("adapters["+n+"].base", b.catalog.adapters[n].base)
	}
	if b.catalog.defaultClass == "" {
		b.addProblem("classes", "no default", `define one class with "default": true`)
	}
}

func (b *builder) checkBaseExists(field, base string) {
	if _, ok := b.catalog.bases[base]; !ok {
		b.addProblem(field, fmt.Sprintf("%q", base), "name a base that a shard defines")
	}
}

func (b *builder) checkAddress(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		b.addProblem(field, fmt.Sprintf("%q", address), "must be an IP address and a port, such as 10.0.0.1:80")
	}
}

func (b *builder) checkState(field string, s State) {
	if s != Serving && s != Draining {
		b.addProblem(field, fmt.Sprintf("%q", s), `must be "serving" or "draining"`)
	}
}

func (b *builder) requirePositive(field string, n int) {
	if n < 1 {
		b.addProblem(field, fmt.Sprint(n), "must be a positive integer")
	}
}

// drainDataCentres sets the endpoints in draining data centres to draining.
func (b *builder) drainDataCentres() {
	for n, e := range b.catalog.endpoints {
		if b.catalog.dataCentres[e.dataCentre].State == Draining {
			e.state = Draining
			b.catalog.endpoints[n] = e
		}
	}
}

func (b *builder) indexEndpoints() {
	for n, e := range b.catalog.endpoints {
		b.catalog.endpointsByBase[e.base] = append(b.catalog.endpointsByBase[e.base], n)
	}
	for _, names := range b.catalog.endpointsByBase {
		slices.Sort(names)
	}
}
