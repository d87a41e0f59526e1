// SPDX-License-Identifier: Apache-2.0

package topology

// leavingMost bounds the lives of endpoints that are remembered to leave: some times as many as a fleet
// has endpoints.
const maxDraining = 4096

// leaving is the lives of endpoints that said in their answers that they leave. A life that leaves does
// not come back, so each stays, also while its entry is away from the source for a time; where there are
// too many, those that said it first are forgotten. The zero value holds none.
type drainingSet struct {
	ids   map[string]bool
	order []string // by when they said so
}

// add notes a life; it tells whether it was not known.
func (l *drainingSet) add(id string) bool {
	if l.ids[id] {
		return false
	}
	if l.ids == nil {
		l.ids = make(map[string]bool)
	}
	l.ids[id] = true
	l.order = append(l.order, id)
	if len(l.order) > maxDraining {
		delete(l.ids, l.order[0])
		l.order = l.order[1:]
	}
	return true
}

// leaves returns the endpoint as one that leaves.
func (e *Endpoint) asDraining() *Endpoint {
	s := e.spec
	s.Draining = true
	return &Endpoint{spec: s}
}
