// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cairnwick.example/member"
	"cairnwick.example/policy"
)

// ownerOf returns the scheduler that is expected to own an endpoint: the one that hint names, if it
// is serving, else the first by rendezvous hashing.
func (g *Gateway) ownerOf(endpoint, dataCentre, hint string) (member.Member, bool) {
	list := g.schedulersOf(dataCentre)
	for _, m := range list {
		if m.Name() == hint {
			return m, true
		}
	}
	return selectMember(endpoint, list)
}

// schedulersOf returns the schedulers that serve in a data centre: from heartbeats for this gateway's
// own, from the platform's list for others.
func (g *Gateway) schedulersOf(dataCentre string) []member.Member {
	if dataCentre == g.DataCentre {
		return g.Members.Serving(member.Scheduler)
	}
	return g.Directory.Schedulers(dataCentre)
}

// selectMember selects the member for a key by rendezvous hashing; false if the list is empty.
func selectMember(key string, list []member.Member) (member.Member, bool) {
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
