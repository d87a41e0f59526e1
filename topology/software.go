// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"slices"
	"time"

	"cairnwick.example/clock"
)

// maxSoftwareHistory bounds the versions of one service that are remembered. A service with more has no sole software.
const maxSoftwareHistory = 64

// softwareHistory is what a view remembers of the software of one service's endpoints.
type softwareHistory struct {
	knownSince time.Time            // when the first endpoint of the service became known
	firstSeen  map[string]time.Time // by version that endpoints run now: when the first of them became known
	lastSeen   map[string]time.Time // by version: when the last endpoint that ran it was removed
}

// softwareHistoryLocked returns the history of a service.
func (v *View) softwareHistoryLocked(service string) *softwareHistory {
	h := v.software[service]
	if h == nil {
		h = &softwareHistory{knownSince: clock.Now(), firstSeen: make(map[string]time.Time), lastSeen: make(map[string]time.Time)}
		v.software[service] = h
	}
	return h
}

// runsLocked reports whether an endpoint of a service runs a version.
func (v *View) runsLocked(service, software string) bool {
	return slices.ContainsFunc(v.services[service], func(e *Endpoint) bool { return e.Software() == software })
}

// softwareChangedLocked updates the history after an endpoint was added, replaced or removed; before and after are nil if there is
// none.
func (v *View) softwareChangedLocked(before, after *Endpoint) {
	now := clock.Now()
	if before != nil && (after == nil || before.Software() != after.Software() || before.Service() != after.Service()) {
		h := v.softwareHistoryLocked(before.Service())
		h.lastSeen[before.Software()] = now
		h.expire(now)
		if !v.runsLocked(before.Service(), before.Software()) {
			delete(h.firstSeen, before.Software())
		}
	}
	if after == nil {
		return
	}
	h := v.softwareHistoryLocked(after.Service())
	if _, known := h.firstSeen[after.Software()]; !known {
		h.firstSeen[after.Software()] = now
	}
}

// SoleSoftware returns the version that all endpoints of a service run; false if one is not known, if this view has not known the
// service since a time, or if an endpoint ran another version after othersSince.
func (v *View) SoleSoftware(service string, since, othersSince time.Time) (software string, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	h, list := v.software[service], v.services[service]
	if h == nil || h.knownSince.After(since) || len(list) == 0 || len(h.lastSeen) > maxSoftwareHistory {
		return "", false
	}
	software = list[0].Software()
	for _, e := range list {
		if e.Software() != software {
			return "", false
		}
	}
	for other, last := range h.lastSeen {
		if other != software && last.After(othersSince) {
			return "", false
		}
	}
	return software, software != ""
}

// SoleSoftwareClaim is what another box has proven: all endpoints of a service have run one version since a time, and the
// configurations up to one have not sent resumable streams to other services since then.
type SoleSoftwareClaim struct {
	Service  string
	Software string
	Config   uint64 // version of the configuration
	Since    time.Time
}

// AdoptSoleSoftware extends what this view knows of a service to the time before it knew the service. It reports whether the claim is
// true by this view. Nothing is extended unless the view has known the service since knownSince, from which on it knows itself.
func (v *View) AdoptSoleSoftware(claim SoleSoftwareClaim, knownSince time.Time) bool {
	moved := v.streamsMoved.Load() // before the configuration, which changes first
	if c := v.Config(); c == nil || c.Version() != claim.Config {
		return false
	}
	if own, ok := v.SoleSoftware(claim.Service, clock.Now(), claim.Since); !ok || own != claim.Software {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	h := v.software[claim.Service]
	if h.knownSince.After(knownSince) {
		return true
	}
	if h.knownSince.After(claim.Since) {
		h.knownSince = claim.Since
	}
	if moved != nil && moved.After(claim.Since) {
		v.streamsMoved.CompareAndSwap(moved, &claim.Since)
	}
	return true
}

// SoftwareNewFor returns for how much longer a version counts as new: until it has been known for age. A box whose view lags
// behind by less does not know of it before. A version that is the only one that this view has ever known, as after a start, is not new.
func (v *View) SoftwareNewFor(service, software string, age time.Duration) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	h := v.software[service]
	if h == nil {
		return 0
	}
	first, known := h.firstSeen[software]
	if !known || (len(h.firstSeen) == 1 && len(h.lastSeen) == 0) {
		return 0
	}
	return max(age-clock.Since(first), 0)
}

// expire forgets versions that no endpoint has run for long, once there are many.
func (h *softwareHistory) expire(now time.Time) {
	if len(h.lastSeen) <= maxSoftwareHistory {
		return
	}
	for software, last := range h.lastSeen {
		if now.Sub(last) > softwareRetention {
			delete(h.lastSeen, software)
		}
	}
}

// softwareRetention is longer than any stream lasts.
const softwareRetention = time.Hour

// movesStreams reports whether a configuration sends requests of resumable streams to other services than the one before.
func movesStreams(before, after *Config) bool {
	return before == nil || before.leadsElsewhere(after) || after.leadsElsewhere(before)
}

// leadsElsewhere reports whether requests of resumable streams go to other services by another configuration, if it has a
// route for them.
func (c *Config) leadsElsewhere(other *Config) bool {
	return slices.ContainsFunc(c.routes(), func(r *Route) bool {
		if r.Kind() != Streaming || !r.Resumable() {
			return false
		}
		o := other.Route(r.spec.Host, r.spec.Prefix)
		return o != nil && !slices.Equal(o.serviceNames(), r.serviceNames())
	})
}

// serviceNames returns the names of the services that requests of the route may go to, sorted.
func (r *Route) serviceNames() []string {
	var names []string
	for _, s := range r.spec.Services {
		if r.LeadsTo(s.Name) {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// SoleService returns the only service that requests of the route may go to; false if there are several.
func (r *Route) SoleService() (name string, ok bool) {
	names := r.serviceNames()
	if len(names) != 1 {
		return "", false
	}
	return names[0], true
}

// StreamsStayedSince reports whether no configuration has sent resumable streams to other services since a time.
func (v *View) StreamsStayedSince(since time.Time) bool {
	moved := v.streamsMoved.Load()
	return moved != nil && moved.Before(since)
}
