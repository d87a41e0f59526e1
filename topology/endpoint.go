// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"slices"
	"strings"
	"time"
)

// Adapter identifies an adapter of a base model. Without a name it identifies the base model itself, and the
// zero Adapter identifies nothing.
type Adapter struct {
	Model string
	Name  string
}

// ParseAdapter parses model/name, or the model alone.
func ParseAdapter(s string) Adapter {
	model, name, _ := strings.Cut(s, "/")
	return Adapter{Model: model, Name: name}
}

// String returns model/name, or the model alone.
func (a Adapter) String() string {
	if a.Name == "" {
		return a.Model
	}
	return a.Model + "/" + a.Name
}

// EndpointSpec is one instance of an endpoint as described by its source. Each start of the endpoint's
// process is a new instance.
type EndpointSpec struct {
	ID         string    // unique to the instance
	Started    time.Time // zero if not published
	Service    string
	Address    string // IP:port
	DataCentre string
	Software   string            // version of the software that it runs; versions have no order. Empty: not known
	Slots      int               // requests that it processes concurrently
	Draining   bool              // it is about to shut down
	DrainTime  time.Duration     // with Draining: time until shutdown if published, else zero
	Models     []string          // base models that it holds
	Adapters   map[Adapter]int64 // version of each adapter that it held when the source was last updated
}

// Endpoint is one instance of an endpoint. It is immutable.
type Endpoint struct{ spec EndpointSpec }

// NewEndpoint returns the endpoint described by s.
func NewEndpoint(s EndpointSpec) *Endpoint { return &Endpoint{spec: s} }

// ID returns the instance's ID.
func (e *Endpoint) ID() string { return e.spec.ID }

// Started returns when the instance started, zero if not published.
func (e *Endpoint) Started() time.Time { return e.spec.Started }

// Service returns the name of the service.
func (e *Endpoint) Service() string { return e.spec.Service }

// Address returns the endpoint's IP:port.
func (e *Endpoint) Address() string { return e.spec.Address }

// DataCentre returns the data centre in which the endpoint runs.
func (e *Endpoint) DataCentre() string { return e.spec.DataCentre }

// Software returns the version of the software that the endpoint runs, empty if not known.
func (e *Endpoint) Software() string { return e.spec.Software }

// withUnknownSoftware returns a copy of the endpoint whose software is not known.
func (e *Endpoint) withUnknownSoftware() *Endpoint {
	spec := e.spec
	spec.Software = ""
	return &Endpoint{spec: spec}
}

// Slots returns how many requests the endpoint processes concurrently.
func (e *Endpoint) Slots() int { return max(e.spec.Slots, 1) }

// Draining reports whether the endpoint is about to shut down.
func (e *Endpoint) Draining() bool { return e.spec.Draining }

// Models returns the base models that the endpoint holds. The slice must not be modified.
func (e *Endpoint) Models() []string { return e.spec.Models }

// Adapters returns the adapters that the endpoint held when its source was last updated, with their versions.
// View has newer information. The map must not be modified.
func (e *Endpoint) Adapters() map[Adapter]int64 { return e.spec.Adapters }

// EqualIgnoringAdapters reports whether two descriptions of an instance are equal, apart from Started and the
// adapters.
func (e *Endpoint) EqualIgnoringAdapters(o *Endpoint) bool {
	a, b := e.spec, o.spec
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.Software == b.Software && a.Draining == b.Draining && a.DrainTime == b.DrainTime && slices.Equal(a.Models, b.Models)
}

// HasModel reports whether the endpoint holds the base model.
func (e *Endpoint) HasModel(name string) bool {
	for _, m := range e.spec.Models {
		if m == name {
			return true
		}
	}
	return false
}

// AdapterState is the state of an adapter in a slot of an endpoint.
type AdapterState struct {
	Version int64
	Ready   bool // false while it is being loaded
}
