// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"slices"
	"strings"
	"time"
)

// Adapter is one adapter of a base model. The zero Adapter names nothing; one
// without a name is the base model itself.
type Adapter struct {
	Model string
	Name  string
}

// ParseAdapter reads the form model/name, or a model alone.
func ParseAdapter(s string) Adapter {
	m, n, _ := strings.Cut(s, "/")
	return Adapter{Model: m, Name: n}
}

// String returns model/name, or the model alone.
func (a Adapter) String() string {
	if a.Name == "" {
		return a.Model
	}
	return a.Model + "/" + a.Name
}

// EndpointSpec is one life of an endpoint as its source describes it.
type EndpointSpec struct {
	ID         string    // changes with each start
	Started    time.Time // of this life; zero: not published
	Service    string
	Address    string // IP:port
	DataCentre string
	Slots      int               // requests that it works on at once
	Draining   bool              // it is about to leave
	DrainTime  time.Duration     // with Draining: time until it ends, when it says so; else zero
	Models     []string          // base models that it holds
	Adapters   map[Adapter]int64 // that it held some time ago, with their versions
}

// Endpoint is one life of an endpoint. It never changes.
type Endpoint struct{ spec EndpointSpec }

// NewEndpoint returns the endpoint that s describes.
func NewEndpoint(s EndpointSpec) *Endpoint { return &Endpoint{spec: s} }

// ID names this life of the endpoint.
func (e *Endpoint) ID() string { return e.spec.ID }

// Started returns when this life began; zero where that is not published.
func (e *Endpoint) Started() time.Time { return e.spec.Started }

// Service returns the name of the service.
func (e *Endpoint) Service() string { return e.spec.Service }

// Address returns IP:port.
func (e *Endpoint) Address() string { return e.spec.Address }

// DataCentre returns where it runs.
func (e *Endpoint) DataCentre() string { return e.spec.DataCentre }

// Slots returns how many requests it works on at once.
func (e *Endpoint) Slots() int { return max(e.spec.Slots, 1) }

// Draining reports whether it is about to leave.
func (e *Endpoint) Draining() bool { return e.spec.Draining }

// Models returns the base models that it holds; do not change it.
func (e *Endpoint) Models() []string { return e.spec.Models }

// Adapters returns the adapters that it held some time ago; do not change it.
func (e *Endpoint) Adapters() map[Adapter]int64 { return e.spec.Adapters }

// Alike reports whether another description of the endpoint says the same of it, but for the adapters
// that it held some time ago.
func (e *Endpoint) EqualIgnoringAdapters(o *Endpoint) bool {
	a, b := e.spec, o.spec
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.DrainTime == b.DrainTime && slices.Equal(a.Models, b.Models)
}

// HasModel reports whether it holds the base model.
func (e *Endpoint) HasModel(name string) bool {
	for _, m := range e.spec.Models {
		if m == name {
			return true
		}
	}
	return false
}

// Held is one adapter in a slot of an endpoint.
type AdapterState struct {
	Version int64
	Ready   bool // else it is being loaded
}
