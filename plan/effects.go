// SPDX-License-Identifier: Apache-2.0

package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cairnwick.example/catalog"
)

// effects collects the effects of a configuration change on the endpoints and on requests.
type effects struct {
	lines   []string
	waits   []string
	risks   []string
	loads   int
	unloads int
}

// loadTime returns how long the store needs for the loads, at rate loads a second.
func (e effects) loadTime(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(e.loads) / rate * float64(time.Second)).Round(100 * time.Millisecond)
}

// compareConfigurations returns the effects of replacing old by next, given the adapters
// that the endpoints have loaded.
func compareConfigurations(old, next *catalog.Catalog, s Snapshot) effects {
	var e effects
	e.addAdapterChanges(old, next, s)
	for _, n := range old.Endpoints() {
		e.addEndpointChange(old, next, s, n)
	}
	e.addCapacityRisks(old, next)
	return e
}

// addAdapterChanges adds the effects of versions that become live or are retired.
func (e *effects) addAdapterChanges(old, next *catalog.Catalog, s Snapshot) {
	for _, n := range old.Adapters() {
		a, _ := old.Adapter(n)
		b, kept := next.Adapter(n)
		if !kept {
			e.addRetirement(a.Name(), "", s)
			continue
		}
		for _, v := range a.Versions() {
			if _, ok := b.Path(v); !ok {
				e.addRetirement(n, v, s)
			}
		}
		before, _ := a.Version(catalog.LiveAlias)
		after, _ := b.Version(catalog.LiveAlias)
		if before != after {
			e.addLiveChange(n, before, after, s)
		}
	}
}

// addLiveChange adds the effects of changing the live version of an adapter.
func (e *effects) addLiveChange(adapter, before, after string, s Snapshot) {
	was, is := adapter+catalog.Separator+before, adapter+catalog.Separator+after
	at := endpointsWith(is, s)
	if len(at) > 0 {
		e.lines = append(e.lines, fmt.Sprintf("%s is already loaded on %v", is, at))
	} else {
		e.loads++
		e.lines = append(e.lines, fmt.Sprintf("%s is loaded on the endpoint that its first request is sent to", is))
		e.waits = append(e.waits, "the first requests for "+adapter+" wait for the load; those of a class that may not wait are refused as no_place")
	}
	if at := endpointsWith(was, s); len(at) > 0 {
		e.unloads += len(at)
		e.lines = append(e.lines, fmt.Sprintf("%s is unloaded from %v when its slots are needed; requests running on it finish there", was, at))
	}
	e.risks = append(e.risks, fmt.Sprintf("the file of %s may be corrupt: requests fail with load_failed until version %s is made live again", is, before))
}

// addRetirement adds the effects of retiring a version, or the whole adapter if version is
// empty.
func (e *effects) addRetirement(adapter, version string, s Snapshot) {
	name := adapter
	if version != "" {
		name += catalog.Separator + version
	}
	for endpoint, list := range s.LoadedAdapters {
		for _, l := range list {
			if l == name || (version == "" && isVersionOf(l, adapter)) {
				e.unloads++
				e.lines = append(e.lines, fmt.Sprintf("%s is unloaded from %s when its slot is needed", l, endpoint))
			}
		}
	}
	e.waits = append(e.waits, "requests for "+name+" are refused as unknown; running requests finish")
}

// isVersionOf reports whether loaded, as adapter@version, is a version of the adapter.
func isVersionOf(loaded, adapter string) bool {
	return len(loaded) > len(adapter) && loaded[:len(adapter)+1] == adapter+catalog.Separator
}

// endpointsWith returns the endpoints that have an adapter version loaded, sorted.
func endpointsWith(name string, s Snapshot) []string {
	var list []string
	for _, endpoint := range slices.Sorted(maps.Keys(s.LoadedAdapters)) {
		if slices.Contains(s.LoadedAdapters[endpoint], name) {
			list = append(list, endpoint)
		}
	}
	return list
}

// addEndpointChange adds the effects of a change of one endpoint.
func (e *effects) addEndpointChange(old, next *catalog.Catalog, s Snapshot, name string) {
	a, _ := old.Endpoint(name)
	b, kept := next.Endpoint(name)
	switch {
	case kept && a.State() == b.State() && a.Base() == b.Base():
		return
	case kept && b.State() == catalog.Serving && a.Base() == b.Base():
		e.lines = append(e.lines, name+" accepts new requests again; adapters that have it as a home move there as they are requested")
		return
	case kept && a.Base() != b.Base():
		e.lines = append(e.lines, fmt.Sprintf("%s serves base %s instead of %s", name, b.Base(), a.Base()))
	default:
		e.lines = append(e.lines, name+" receives no new requests after a few seconds; running requests finish there")
	}
	moved := 0
	for _, l := range s.LoadedAdapters[name] {
		if len(endpointsWith(l, s)) == 1 {
			moved++
			e.lines = append(e.lines, l+" is loaded on no other endpoint; its next request loads it on another home")
		}
	}
	e.loads += moved
	if moved > 0 {
		e.waits = append(e.waits, fmt.Sprintf("the first requests for %d adapter(s) wait for a load", moved))
	}
}

// addCapacityRisks adds a risk for each base model that loses batch capacity.
func (e *effects) addCapacityRisks(old, next *catalog.Catalog) {
	before, after := batchCapacity(old), batchCapacity(next)
	for _, b := range slices.Sorted(maps.Keys(before)) {
		switch {
		case after[b] == 0:
			e.risks = append(e.risks, "no endpoint serves base "+b+" any more: its requests are refused as no_endpoint")
		case after[b] < before[b]:
			e.risks = append(e.risks, fmt.Sprintf("base %s keeps %d of %d batch places: requests may wait or be refused at peak load", b, after[b], before[b]))
		}
	}
}

// batchCapacity returns, by base model, how many requests the serving endpoints can run at
// a time.
func batchCapacity(c *catalog.Catalog) map[string]int {
	count := make(map[string]int)
	for _, n := range c.Endpoints() {
		if e, _ := c.Endpoint(n); e.State() == catalog.Serving {
			count[e.Base()] += e.MaxRunning()
		}
	}
	return count
}
