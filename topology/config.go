// SPDX-License-Identifier: Apache-2.0

// Package topology describes the back ends that a box proxies to: routes, services,
// endpoints, and the adapters that are loaded on each endpoint.
//
// Config, Route, Service and Endpoint are immutable values read from a configuration source.
// View holds those currently in force. The package does no I/O.
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

// Kind says how often the requests of a route may run.
type Kind int

// Kinds of routes.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // may run at most once
	Streaming                     // responds with a stream of events; may run at most once unless resumable
)

// WeightedService is a service of a route and its share of the requests.
type WeightedService struct {
	Name   string
	Weight int // relative to the sum of the route's weights
}

// RouteSpec is a route as described by its source.
type RouteSpec struct {
	Name           string
	Host           string
	Prefix         string // of the path; begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration     // maximum time that a request may be held
	LatencyTarget  time.Duration     // until the response or its first event
	EventGapTarget time.Duration     // between two events of a stream
	ClientTimeout  time.Duration     // after which a caller that has received nothing disconnects; zero: at its deadline
	Priority       int               // 0 is the most urgent
	Services       []WeightedService // at least one
	MaxAttempts    int               // endpoints that one request may run on
	Resumable      bool              // a broken stream may continue on another endpoint
	Public         bool              // callers need no key
}

// Route maps requests by host and path to services.
type Route struct{ spec RouteSpec }

// NewRoute returns the route described by s.
func NewRoute(s RouteSpec) *Route { return &Route{spec: s} }

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Kind returns the route's kind.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the maximum time that a request may be held.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// LatencyTarget returns the target time until the response or its first event.
func (r *Route) LatencyTarget() time.Duration { return r.spec.LatencyTarget }

// TargetOrTimeout returns the latency target, or the timeout if the route has no target.
func (r *Route) TargetOrTimeout() time.Duration {
	if r.spec.LatencyTarget > 0 {
		return r.spec.LatencyTarget
	}
	return r.spec.Timeout
}

// EventGapTarget returns the target time between two events of a stream; zero: the route has none.
func (r *Route) EventGapTarget() time.Duration { return r.spec.EventGapTarget }

// ClientTimeout returns how long a caller waits for the first data; zero means until its deadline.
func (r *Route) ClientTimeout() time.Duration { return r.spec.ClientTimeout }

// Priority returns the route's priority; 0 is the most urgent.
func (r *Route) Priority() int { return r.spec.Priority }

// Services returns the route's services and their weights. The slice must not be modified.
func (r *Route) Services() []WeightedService { return r.spec.Services }

// MaxAttempts returns how many endpoints one request may run on, at least one.
func (r *Route) MaxAttempts() int { return max(r.spec.MaxAttempts, 1) }

// Resumable reports whether a broken stream may continue on another endpoint.
func (r *Route) Resumable() bool { return r.spec.Resumable }

// IsReexecutable reports whether a request may run more than once.
func (r *Route) IsReexecutable() bool {
	return r.spec.Kind == Idempotent || (r.spec.Kind == Streaming && r.spec.Resumable)
}

// Public reports whether callers need no key, even if the configuration has organisations.
func (r *Route) Public() bool { return r.spec.Public }

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.spec.Services, func(s WeightedService) bool {
		return s.Name == service && (s.Weight > 0 || len(r.spec.Services) == 1)
	})
}

// SelectService returns the service of a request by weight. point is the request's own number in [0, 1).
func (r *Route) SelectService(point float64) string {
	total := 0
	for _, s := range r.spec.Services {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.spec.Services {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Name
		}
	}
	return r.spec.Services[len(r.spec.Services)-1].Name
}

// ModelSpec is a base model of a service.
type ModelSpec struct {
	Name         string
	WeightsMB    float64
	AdapterMB    float64 // weights of one adapter
	AdapterCount int
}

// EngineSpec describes the capabilities of a service's model endpoints.
type EngineSpec struct {
	BatchSize    int // requests that an endpoint runs concurrently
	Models       []ModelSpec
	MemoryMB     float64 // for the weights of base models and adapters on an endpoint
	AdapterSlots int     // adapters that an endpoint holds
	LoadsPerSec  float64 // base model loads that the weight store allows over all endpoints
	MemoryTokens int     // tokens that the requests at an endpoint may hold in its memory; zero: not published
}

// minTokensPerSlot is the memory that a request of ordinary length needs. With less for each request slot, slots
// don't show how many requests an endpoint can run. A whole memory of less can't be meant: no request would fit.
const minTokensPerSlot = 2048

// IsMemoryBound reports whether the endpoints' memory limits how many requests they run before their
// request slots do. Requests are then balanced by work instead of by slots.
func (e *EngineSpec) IsMemoryBound() bool {
	return e != nil && e.MemoryTokens >= minTokensPerSlot && e.BatchSize > 0 && e.MemoryTokens/e.BatchSize < minTokensPerSlot
}

// Model returns the base model with the name, or nil.
func (e *EngineSpec) Model(name string) *ModelSpec {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// AdapterCapacity returns how many adapters an endpoint with these base models can hold.
func (e *EngineSpec) AdapterCapacity(models map[string]bool) int {
	freeMB, largestMB := e.MemoryMB, 0.0
	for _, m := range e.Models {
		if models[m.Name] {
			freeMB -= m.WeightsMB
			largestMB = max(largestMB, m.AdapterMB)
		}
	}
	if e.MemoryMB <= 0 || largestMB <= 0 {
		return e.AdapterSlots
	}
	// The quotient may exceed the range of int, so the minimum is taken before the conversion.
	return int(min(float64(max(e.AdapterSlots, 0)), max(freeMB, 0)/largestMB))
}

// ServiceSpec is a service as described by its source.
type ServiceSpec struct {
	Name           string
	MaxConnections int         // to one endpoint, from all callers together
	Engine         *EngineSpec // nil if the endpoints run no models
}

// Service is a set of equivalent endpoints.
type Service struct{ spec ServiceSpec }

// NewService returns the service described by s.
func NewService(s ServiceSpec) *Service { return &Service{spec: s} }

// Name returns the service's name.
func (s *Service) Name() string { return s.spec.Name }

// MaxConnections returns how many connections an endpoint accepts from all callers together.
func (s *Service) MaxConnections() int { return s.spec.MaxConnections }

// Engine returns the capabilities of the service's model endpoints, or nil if they run no models.
func (s *Service) Engine() *EngineSpec { return s.spec.Engine }

// RequestLimits bound the requests of callers.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the routes and services. It is immutable.
type Config struct {
	version       uint64
	hosts         map[string][]*Route // by host; longest prefix first
	services      map[string]*Service
	limits        RequestLimits
	callers       *access.Directory // nil if callers need no keys
	priorityRanks priorityRanks     // zero if callers need no keys; then only the route counts
	targets       map[string]serviceTargets
}

// NewConfig returns a configuration.
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
	c.targets = newServiceTargets(routes)
	return c
}

// WithCallers returns a copy of the configuration with the organisations that may call.
func (c *Config) WithCallers(d *access.Directory) *Config {
	n := *c
	n.callers = d
	n.priorityRanks = newPriorityRanks(n.routes(), d)
	return &n
}

func (c *Config) routes() []*Route {
	var list []*Route
	for _, routes := range c.hosts {
		list = append(list, routes...)
	}
	return list
}

// Callers returns the organisations that may call, or nil if callers need no keys.
func (c *Config) Callers() *access.Directory { return c.callers }

// Rank returns the urgency of an organisation's request on a route; 0 is the most urgent. The
// organisation is nil on a route that requires no key.
func (c *Config) Rank(r *Route, o *access.Organisation) int { return c.priorityRanks.of(r, o) }

// Version returns the configuration's version. Newer configurations have higher versions.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits for requests.
func (c *Config) Limits() RequestLimits { return c.limits }

// Route returns the host's route with the longest prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns every service, sorted by name.
func (c *Config) Services() []*Service {
	list := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Service) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}
