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

// builder gathers a catalog and the problems found on the way.
type builder struct {
	catalog  *Catalog
	old      *Catalog // nil when there is none
	document string   // being read
	problems []Problem
}

// Build checks the shards against the head and against each other, and returns
// the catalog that they make. The shards are texts by name. It returns a
// *CheckError that names every problem. What is unchanged since old, which may
// be nil, is not read again.
func Build(h Head, shards map[string][]byte, old *Catalog) (*Catalog, error) {
	b := &builder{catalog: empty(h), old: old}
	for _, n := range h.Shards() {
		b.document = n
		b.addText(shards[n], h.ShardDigest(n))
	}
	b.checkLinks()
	if len(b.problems) > 0 {
		return nil, &CheckError{Revision: h.revision, Problems: b.problems}
	}
	b.drainCentres()
	b.indexBases()
	return b.catalog, nil
}

func empty(h Head) *Catalog {
	return &Catalog{
		revision:  h.revision,
		digest:    h.digest,
		bases:     make(map[string]Base),
		classes:   make(map[string]Class),
		callers:   make(map[string]Caller),
		endpoints: make(map[string]Endpoint),
		services:  make(map[string]Service),
		adapters:  make(map[string]Adapter),
		centres:   make(map[string]CentreFormat),
		byBase:    make(map[string][]string),
		parts:     make(map[string][]Adapter),
	}
}

func (b *builder) problem(field, value, mend string) {
	b.problems = append(b.problems, Problem{Document: b.document, Field: field, Value: value, Mend: mend})
}

// fresh reports a name that is empty or taken, and tells whether it is neither.
func (b *builder) fresh(list, name string, taken bool) bool {
	if name == "" || strings.ContainsAny(name, Separator+" /") {
		b.problem(list, fmt.Sprintf("%q", name), "give a name without spaces, '/' and '@'")
		return false
	}
	if taken {
		b.problem(list+"["+name+"]", "named twice", "keep one of them")
		return false
	}
	return true
}

func (b *builder) addText(raw []byte, digest string) {
	if Digest(raw) != digest {
		b.problem("digest", Digest(raw), "publish the shard whose digest the head names: "+digest)
		return
	}
	if b.reuse(digest) {
		return
	}
	s, err := ParseShard(raw)
	if err != nil {
		b.problem("text", errors.Cause(err).Error(), err.Error())
		return
	}
	found := len(b.problems)
	b.addShard(s)
	if s.adaptersOnly() && len(b.problems) == found {
		b.keepPart(digest, s)
	}
}

// reuse takes the adapters of an unchanged shard from the catalog before.
func (b *builder) reuse(digest string) bool {
	if b.old == nil || b.old.parts[digest] == nil {
		return false
	}
	list := b.old.parts[digest]
	b.catalog.parts[digest] = list
	for _, a := range list {
		_, taken := b.catalog.adapters[a.name]
		if b.fresh("adapters", a.name, taken) {
			b.catalog.adapters[a.name] = a
		}
	}
	return true
}

// keepPart keeps the adapters of a shard for the next revision.
func (b *builder) keepPart(digest string, s Shard) {
	list := make([]Adapter, len(s.Adapters))
	for i, f := range s.Adapters {
		list[i] = b.catalog.adapters[f.Name]
	}
	b.catalog.parts[digest] = list
}

func (b *builder) addShard(s Shard) {
	for _, f := range s.Bases {
		_, taken := b.catalog.bases[f.Name]
		if b.fresh("bases", f.Name, taken) {
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
		b.addCentre(f)
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

func (b *builder) addClass(f ClassFormat) {
	_, taken := b.catalog.classes[f.Name]
	if !b.fresh("classes", f.Name, taken) {
		return
	}
	if f.Deadline <= 0 {
		b.problem("classes["+f.Name+"].deadline", "missing", `give a duration above zero, such as "30s"`)
	}
	b.catalog.classes[f.Name] = Class{
		name:     f.Name,
		priority: f.Priority,
		mayWait:  time.Duration(f.MayWait),
		deadline: time.Duration(f.Deadline),
	}
	if f.Default {
		b.addDefault(f.Name)
	}
}

func (b *builder) addDefault(name string) {
	if b.catalog.class != "" {
		b.problem("classes["+name+"].default", "true", "only one class can be the default; "+b.catalog.class+" is it already")
	}
	b.catalog.class = name
}

func (b *builder) addCaller(f CallerFormat) {
	_, taken := b.catalog.callers[f.Name]
	if !b.fresh("callers", f.Name, taken) {
		return
	}
	b.atLeastOne("callers["+f.Name+"].queue", f.Queue)
	b.catalog.callers[f.Name] = Caller{name: f.Name, queue: f.Queue}
}

func (b *builder) addCentre(f CentreFormat) {
	_, taken := b.catalog.centres[f.Name]
	if !b.fresh("data_centres", f.Name, taken) {
		return
	}
	if f.State == "" {
		f.State = Serving
	}
	b.checkState("data_centres["+f.Name+"].state", f.State)
	b.catalog.centres[f.Name] = f
}

func (b *builder) addEndpoint(f EndpointFormat) {
	_, taken := b.catalog.endpoints[f.Name]
	if !b.fresh("endpoints", f.Name, taken) {
		return
	}
	field := "endpoints[" + f.Name + "]."
	if f.State == "" {
		f.State = Serving
	}
	if f.DataCentre == "" {
		b.problem(field+"data_centre", "missing", "name the data centre where the endpoint stands")
	}
	b.checkAddress(field+"address", f.Address)
	b.checkState(field+"state", f.State)
	b.atLeastOne(field+"slots", f.Slots)
	b.atLeastOne(field+"running", f.Running)
	b.catalog.endpoints[f.Name] = Endpoint{
		name:         f.Name,
		dataCentre:   f.DataCentre,
		base:         f.Base,
		address:      f.Address,
		slots:        f.Slots,
		running:      f.Running,
		checksFences: f.ChecksFences,
		reportLag:    time.Duration(f.ReportLag),
		state:        f.State,
	}
}

func (b *builder) addService(f ServiceFormat) {
	_, taken := b.catalog.services[f.Name]
	if !b.fresh("services", f.Name, taken) {
		return
	}
	if len(f.Addresses) == 0 {
		b.problem("services["+f.Name+"].addresses", "empty", "give at least one IP:port")
	}
	for _, a := range f.Addresses {
		b.checkAddress("services["+f.Name+"].addresses", a)
	}
	b.catalog.services[f.Name] = Service{name: f.Name, addresses: f.Addresses, notRepeatable: f.NotRepeatable}
}

func (b *builder) addAdapter(f AdapterFormat) {
	_, taken := b.catalog.adapters[f.Name]
	if !b.fresh("adapters", f.Name, taken) {
		return
	}
	field := "adapters[" + f.Name + "]."
	if len(f.Versions) == 0 {
		b.problem(field+"versions", "empty", "give at least one version with its path in the store")
	}
	for v, p := range f.Versions {
		if p == "" || v == "" {
			b.problem(field+"versions["+v+"]", "empty", "give the version's path in the store")
		}
	}
	for a, v := range f.Aliases {
		if _, ok := f.Versions[v]; !ok {
			b.problem(field+"aliases["+a+"]", v, "name one of the adapter's versions")
		}
		if _, ok := f.Versions[a]; ok {
			b.problem(field+"aliases["+a+"]", v, "choose an alias that is not itself a version")
		}
	}
	b.catalog.adapters[f.Name] = Adapter{
		name:     f.Name,
		base:     f.Base,
		priority: f.Priority,
		versions: entries(f.Versions),
		aliases:  entries(f.Aliases),
	}
}

// checkLinks reports names that no document defines.
func (b *builder) checkLinks() {
	b.document = "all shards"
	for _, n := range b.catalog.Endpoints() {
		b.checkBase("endpoints["+n+"].base", b.catalog.endpoints[n].base)
	}
	for _, n := range b.catalog.Adapters() {
		b.checkBase("adapters["+n+"].base", b.catalog.adapters[n].base)
	}
	if b.catalog.class == "" {
		b.problem("classes", "no default", `define one class with "default": true`)
	}
}

func (b *builder) checkBase(field, base string) {
	if _, ok := b.catalog.bases[base]; !ok {
		b.problem(field, fmt.Sprintf("%q", base), "name a base that a shard defines")
	}
}

func (b *builder) checkAddress(field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		b.problem(field, fmt.Sprintf("%q", address), "write an IP number and a port")
	}
}

func (b *builder) checkState(field string, s State) {
	if s != Serving && s != Draining {
		b.problem(field, fmt.Sprintf("%q", s), `write "serving" or "draining"`)
	}
}

func (b *builder) atLeastOne(field string, n int) {
	if n < 1 {
		b.problem(field, fmt.Sprint(n), "write a whole number above zero")
	}
}

// drainCentres drains the endpoints of draining data centres.
func (b *builder) drainCentres() {
	for n, e := range b.catalog.endpoints {
		if b.catalog.centres[e.dataCentre].State == Draining {
			e.state = Draining
			b.catalog.endpoints[n] = e
		}
	}
}

func (b *builder) indexBases() {
	for n, e := range b.catalog.endpoints {
		b.catalog.byBase[e.base] = append(b.catalog.byBase[e.base], n)
	}
	for _, names := range b.catalog.byBase {
		slices.Sort(names)
	}
}
