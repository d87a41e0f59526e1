// SPDX-License-Identifier: Apache-2.0

// Package topology is what a box knows of the services in front of which it
// stands: routes, services, endpoints, and which adapters the endpoints hold.
//
// Config, Route, Service and Endpoint are values read from a source of configuration and
// never change; View is the table of those in force. Nothing here does input or output.
//
// Lock order: View.mu is taken alone.
package topology

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cairnwick.example/access"
)

// Kind says what may be done with a request again.
type Kind int

// The kinds of routes.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // may run at most once
	Streaming                     // an answer in events; may run once unless it can be resumed
)

// Share is one service of a route and its part of the requests.
type WeightedService struct {
	Name   string
	Weight int // against the sum of the route's weights
}

// RouteSpec is a route as its source describes it.
type RouteSpec struct {
	Name           string
	Host           string
	Prefix         string // of the path; begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration     // the longest that a request may be held
	LatencyTarget  time.Duration     // an answer, or the first event, is in time within it
	EventGapTarget time.Duration     // the longest pause between events that is in time
	ClientTimeout  time.Duration     // a caller leaves when it has heard nothing for so long; zero: only at its deadline
	Priority       int               // 0 is the most urgent
	Services       []WeightedService // at least one
	MaxAttempts    int               // endpoints that one request may run at
	Resumable      bool              // a broken stream may go on at another endpoint
	Public         bool              // callers need no key
}

// Route is where requests of a host and a path go.
type Route struct{ spec RouteSpec }

// NewRoute returns the route that s describes.
func NewRoute(s RouteSpec) *Route { return &Route{spec: s} }

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Kind returns what may be done again.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the longest that a request may be held.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Target returns within which time an answer or its first event is in time.
func (r *Route) LatencyTarget() time.Duration { return r.spec.LatencyTarget }

// Patience returns how long a caller waits to hear anything; zero: until its deadline.
func (r *Route) ClientTimeout() time.Duration { return r.spec.ClientTimeout }

// Priority returns the rank; 0 is the most urgent.
func (r *Route) Priority() int { return r.spec.Priority }

// Shares returns the services and their parts; do not change it.
func (r *Route) Services() []WeightedService { return r.spec.Services }

// MaxAttempts returns how many endpoints one request may run at.
func (r *Route) MaxAttempts() int { return max(r.spec.MaxAttempts, 1) }

// Resumable tells whether a broken stream may go on at another endpoint.
func (r *Route) Resumable() bool { return r.spec.Resumable }

// MayRepeat tells whether a request may run more than once.
func (r *Route) IsReexecutable() bool {
	return r.spec.Kind == Idempotent || (r.spec.Kind == Streaming && r.spec.Resumable)
}

// Public tells whether callers need no key, whatever the configuration says of organisations.
func (r *Route) Public() bool { return r.spec.Public }

// Split returns the service of a request by a number in [0, 1) that is its own.
func (r *Route) SelectService(point float64) string {
	whole := 0
	for _, s := range r.spec.Services {
		whole += s.Weight
	}
	left := point * float64(whole)
	for _, s := range r.spec.Services {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Name
		}
	}
	return r.spec.Services[len(r.spec.Services)-1].Name
}

// ModelSpec is a base model of a service.
type ModelSpec struct {
	Name         string
	WeightsMB    float64 // its weights
	AdapterMB    float64 // the weights of one adapter
	AdapterCount int     // how many there are
}

// EngineSpec is what a service of model endpoints can do.
type EngineSpec struct {
	BatchSize    int // requests that an endpoint runs at once
	Models       []ModelSpec
	MemoryMB     float64 // of weights that an endpoint holds, adapters too
	AdapterSlots int     // adapters that an endpoint holds
	LoadsPerSec  float64 // of base models that the weight store allows over all endpoints
}

// Model returns the base model called name; nil when there is none.
func (e *EngineSpec) Model(name string) *ModelSpec {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// SlotsBeside returns how many adapters an endpoint can hold beside its base models.
func (e *EngineSpec) AdapterCapacity(models map[string]bool) int {
	left, largest := e.MemoryMB, 0.0
	for _, m := range e.Models {
		if models[m.Name] {
			left -= m.WeightsMB
			largest = max(largest, m.AdapterMB)
		}
	}
	if e.MemoryMB <= 0 || largest <= 0 {
		return e.AdapterSlots
	}
	return int(min(float64(max(e.AdapterSlots, 0)), max(left, 0)/largest)) // as a whole number the part may run over
}

// ServiceSpec is a service as its source describes it.
type ServiceSpec struct {
	Name           string
	MaxConnections int         // that an endpoint takes from all callers together
	Engine         *EngineSpec // nil: the endpoints run no models
}

// Service is a set of endpoints that do the same.
type Service struct{ spec ServiceSpec }

// NewService returns the service that s describes.
func NewService(s ServiceSpec) *Service { return &Service{spec: s} }

// Name returns the service's name.
func (s *Service) Name() string { return s.spec.Name }

// MaxConnections returns how many connections an endpoint takes in all.
func (s *Service) MaxConnections() int { return s.spec.MaxConnections }

// Engine returns what its model endpoints can do; nil when it has none.
func (s *Service) Engine() *EngineSpec { return s.spec.Engine }

// Limits bound what a caller may send.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of routes and services. It never changes.
type Config struct {
	version       uint64
	hosts         map[string][]*Route // by falling length of prefix
	services      map[string]*Service
	limits        RequestLimits
	callers       *access.Directory // nil: callers need no keys
	priorityRanks priorityRanks     // the zero value where callers need no keys: by the routes alone
}

// NewConfig returns the configuration of a version.
func NewConfig(version uint64, routes []*Route, services []*Service, l RequestLimits) *Config {
	c := &Config{version: version, hosts: make(map[string][]*Route), services: make(map[string]*Service), limits: l}
	for _, r := range routes {
		c.hosts[r.spec.Host] = append(c.hosts[r.spec.Host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.spec.Prefix), len(a.spec.Prefix)) })
	}
	for _, s := range services {
		c.services[s.Name()] = s
	}
	return c
}

// WithCallers returns the configuration with the organisations that may call.
func (c *Config) WithCallers(d *access.Directory) *Config {
	n := *c
	n.callers = d
	n.priorityRanks = newPriorityRanks(n.routes(), d)
	return &n
}

// routes returns every route.
func (c *Config) routes() []*Route {
	var list []*Route
	for _, some := range c.hosts {
		list = append(list, some...)
	}
	return list
}

// Callers returns the organisations that may call; nil where callers need no keys.
func (c *Config) Callers() *access.Directory { return c.callers }

// Rank returns how urgent a request of an organisation on a route is; 0 is the most urgent. The
// organisation is nil for a route that asks for no key.
func (c *Config) Rank(r *Route, o *access.Organisation) int { return c.priorityRanks.of(r, o) }

// Version returns the configuration's version; a higher one is newer.
func (c *Config) Version() uint64 { return c.version }

// Limits returns what a caller may send.
func (c *Config) Limits() RequestLimits { return c.limits }

// Route returns the route of the host whose prefix is the longest that begins
// the path; nil when there is none.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service called name; nil when there is none.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns every service.
func (c *Config) Services() []*Service {
	list := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Service) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}
