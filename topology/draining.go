// SPDX-License-Identifier: Apache-2.0

package topology

// maxDraining bounds the instances that are remembered as draining, at several times the endpoints of a fleet.
const maxDraining = 4096

// drainingSet contains the instances that announced in their responses that they drain. An instance never resumes,
// so its entry stays even if the source temporarily lacks the endpoint. When the set is full, the oldest
// entries are dropped. The zero value is empty.
type drainingSet struct {
	ids   map[string]bool
	order []string // oldest first
}

// add adds an instance and reports whether it was new.
func (d *drainingSet) add(id string) bool {
	if d.ids[id] {
		return false
	}
	if d.ids == nil {
		d.ids = make(map[string]bool)
	}
	d.ids[id] = true
	d.order = append(d.order, id)
	if len(d.order) > maxDraining {
		delete(d.ids, d.order[0])
		d.order = d.order[1:]
	}
	return true
}

// asDraining returns a copy of the endpoint that is draining.
func (e *Endpoint) asDraining() *Endpoint {
	s := e.spec
	s.Draining = true
	return &Endpoint{spec: s}
}
