// SPDX-License-Identifier: Apache-2.0

package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cairnwick.example/catalog"
)

// effects are what a change of configuration moves.
type effects struct {
	lines   []string
	waits   []string
	risks   []string
	loads   int
	unloads int
}

// loadTime is how long the loads need at the store's rate.
func (e effects) loadTime(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(e.loads) / rate * float64(time.Second)).Round(100 * time.Millisecond)
}

// compareConfigurations compares two configurations, given what the endpoints hold.
func compareConfigurations(old, next *catalog.Catalog, s Snapshot) effects {
	var e effects
	e.addAdapterChanges(old, next, s)
	for _, n := range old.Endpoints() {
		e.addEndpointChange(old, next, s, n)
	}
	e.addCapacityRisks(old, next)
	return e
}

// addAdapterChanges tells of versions that go live or are retired.
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

func (e *effects) addLiveChange(adapter, before, after string, s Snapshot) {
	was, is := adapter+catalog.Separator+before, adapter+catalog.Separator+after
	at := endpointsWith(is, s)
	if len(at) > 0 {
		e.lines = append(e.lines, fmt.Sprintf("%s is loaded already, at %v", is, at))
	} else {
		e.loads++
		e.lines = append(e.lines, fmt.Sprintf("%s is loaded where it is first asked for", is))
		e.waits = append(e.waits, "the first callers of "+adapter+" wait for the load; those who may not wait are refused as no_place")
	}
	if at := endpointsWith(was, s); len(at) > 0 {
		e.unloads += len(at)
		e.lines = append(e.lines, fmt.Sprintf("%s leaves %v when its slots are needed; requests that run on it end there", was, at))
	}
	e.risks = append(e.risks, fmt.Sprintf("the file of %s may be broken: callers get load_failed until it is made live again in version %s", is, before))
}

func (e *effects) addRetirement(adapter, version string, s Snapshot) {
	name := adapter
	if version != "" {
		name += catalog.Separator + version
	}
	for endpoint, list := range s.LoadedAdapters {
		for _, l := range list {
			if l == name || (version == "" && isVersionOf(l, adapter)) {
				e.unloads++
				e.lines = append(e.lines, fmt.Sprintf("%s leaves %s when its slot is needed", l, endpoint))
			}
		}
	}
	e.waits = append(e.waits, "callers of "+name+" are refused as unknown; requests that run end as they are")
}

func isVersionOf(loaded, adapter string) bool {
	return len(loaded) > len(adapter) && loaded[:len(adapter)+1] == adapter+catalog.Separator
}

func endpointsWith(name string, s Snapshot) []string {
	var list []string
	for _, endpoint := range slices.Sorted(maps.Keys(s.LoadedAdapters)) {
		if slices.Contains(s.LoadedAdapters[endpoint], name) {
			list = append(list, endpoint)
		}
	}
	return list
}

// addEndpointChange tells what a change of one endpoint moves.
func (e *effects) addEndpointChange(old, next *catalog.Catalog, s Snapshot, name string) {
	a, _ := old.Endpoint(name)
	b, kept := next.Endpoint(name)
	switch {
	case kept && a.State() == b.State() && a.Base() == b.Base():
		return
	case kept && b.State() == catalog.Serving && a.Base() == b.Base():
		e.lines = append(e.lines, name+" takes new work again; adapters whose home it is move there as they are asked for")
		return
	case kept && a.Base() != b.Base():
		e.lines = append(e.lines, fmt.Sprintf("%s serves %s instead of %s", name, b.Base(), a.Base()))
	default:
		e.lines = append(e.lines, name+" gets nothing new within seconds; what runs there ends there")
	}
	moved := 0
	for _, l := range s.LoadedAdapters[name] {
		if len(endpointsWith(l, s)) == 1 {
			moved++
			e.lines = append(e.lines, l+" is loaded nowhere else, and is loaded at another home when it is asked for")
		}
	}
	e.loads += moved
	if moved > 0 {
		e.waits = append(e.waits, fmt.Sprintf("the first callers of %d adapter(s) wait for a load", moved))
	}
}

// addCapacityRisks tells which base models lose places.
func (e *effects) addCapacityRisks(old, next *catalog.Catalog) {
	before, after := batchCapacity(old), batchCapacity(next)
	for _, b := range slices.Sorted(maps.Keys(before)) {
		switch {
		case after[b] == 0:
			e.risks = append(e.risks, "no endpoint serves base "+b+" any more: its callers are refused as no_endpoint")
		case after[b] < before[b]:
			e.risks = append(e.risks, fmt.Sprintf("base %s keeps %d of %d places: at the peak callers may wait or be refused", b, after[b], before[b]))
		}
	}
}

// batchCapacity counts the requests that each base's serving endpoints can batch.
func batchCapacity(c *catalog.Catalog) map[string]int {
	count := make(map[string]int)
	for _, n := range c.Endpoints() {
		if e, _ := c.Endpoint(n); e.State() == catalog.Serving {
			count[e.Base()] += e.Running()
		}
	}
	return count
}
