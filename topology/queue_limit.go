// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"cmp"
	"slices"
	"time"

	"cairnwick.example/access"
)

const (
	// rankStepFraction is the part of the shortest target of more urgent requests that each step of rank leaves
	// free: what less urgent requests queue stays below what an urgent one that comes next can still wait for.
	rankStepFraction = 0.15
	// minQueueFraction is what the least urgent requests may still queue, so that none starves.
	minQueueFraction = 0.4
)

// serviceTargets are the latency targets of a service's routes by priority.
type serviceTargets struct {
	priorities []int           // distinct, the most urgent first
	shortest   []time.Duration // for each priority: the shortest target of routes that are as urgent or more
}

// newServiceTargets returns the targets by service. Routes without a target don't count.
func newServiceTargets(routes []*Route) map[string]serviceTargets {
	byService := make(map[string][]*Route)
	for _, r := range routes {
		for _, s := range r.Services() {
			if r.LatencyTarget() > 0 {
				byService[s.Name] = append(byService[s.Name], r)
			}
		}
	}
	targets := make(map[string]serviceTargets, len(byService))
	for name, list := range byService {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(a.Priority(), b.Priority()) })
		var t serviceTargets
		for _, r := range list {
			last := len(t.priorities) - 1
			switch {
			case last < 0:
				t.priorities, t.shortest = []int{r.Priority()}, []time.Duration{r.LatencyTarget()}
			case t.priorities[last] == r.Priority():
				t.shortest[last] = min(t.shortest[last], r.LatencyTarget())
			default:
				t.priorities = append(t.priorities, r.Priority())
				t.shortest = append(t.shortest, min(t.shortest[last], r.LatencyTarget()))
			}
		}
		targets[name] = t
	}
	return targets
}

// QueueLimit returns how long the prompts ahead of a request's own may take at an endpoint of a service: the
// route's latency target (its timeout if it has none), or a part of the shortest target of requests that are more urgent. The organisation is
// nil on a route that requires no key.
func (c *Config) QueueLimit(r *Route, o *access.Organisation, service string) time.Duration {
	t := c.targets[service]
	if len(t.priorities) == 0 {
		return r.TargetOrTimeout()
	}
	step, _ := slices.BinarySearch(t.priorities, r.Priority()) // a priority whose routes have no target isn't listed
	shortest := r.TargetOrTimeout()
	if step > 0 {
		shortest = min(shortest, t.shortest[step-1])
	}
	if n := c.priorityRanks.organisationStep(o); n > 0 {
		shortest = min(shortest, t.shortest[len(t.shortest)-1])
		step += n * len(t.priorities)
	}
	fraction := max(1-rankStepFraction*float64(step), minQueueFraction)
	return time.Duration(fraction * float64(shortest))
}

// LongestQueueLimit returns the queue limit of the most urgent requests of a service.
func (c *Config) LongestQueueLimit(service string) time.Duration {
	if t := c.targets[service]; len(t.shortest) > 0 {
		return t.shortest[0]
	}
	return 0
}
