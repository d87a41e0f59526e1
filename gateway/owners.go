// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cairnwick.example/member"
	"cairnwick.example/policy"
)

// ownerOf returns the scheduler that should own an endpoint: the one that a hint
// names, when it serves, else the first in rendezvous order.
func (g *Gateway) ownerOf(endpoint, centre, hint string) (member.Member, bool) {
	list := g.schedulersOf(centre)
	for _, m := range list {
		if m.Name() == hint {
			return m, true
		}
	}
	return pick(endpoint, list)
}

// schedulersOf returns the serving schedulers of a data centre: by heartbeats
// in the own one, by the platform's list elsewhere.
func (g *Gateway) schedulersOf(centre string) []member.Member {
	if centre == g.Centre {
		return g.Members.Serving(member.Scheduler)
	}
	return g.Remote.Schedulers(centre)
}

func pick(key string, list []member.Member) (member.Member, bool) {
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = m.Name()
	}
	first := policy.First(key, names)
	for _, m := range list {
		if m.Name() == first {
			return m, true
		}
	}
	return member.Member{}, false
}
