// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/member"
	"cairnwick.example/policy"
)

const (
	// takeoverAfter is how long all boxes of a data centre must be dead before a box elsewhere leads it. Boxes restart
	// within a few seconds, and network partitions rarely last longer.
	takeoverAfter = 20 * time.Second

	// leaderPart limits leadership to boxes whose CPU capacity is at least the strongest one's divided by it, since a
	// leader works for the whole data centre.
	leaderPart = 2

	// followersMost is how many boxes of its data centre one box sends all facts to. The others follow those, so that
	// the traffic of a box does not grow with the size of the data centre.
	followersMost = 6

	// clusterViewFor is how long a clusterView is valid while no member changes. Only takeovers depend on the time.
	clusterViewFor = time.Second
)

// clusterView is derived from one version of the member table: leaders, and the box to follow. It is immutable.
type clusterView struct {
	version uint64
	until   time.Time
	boxes   int                      // known ones: an unreachable box may serve on the other side of a network partition, and one that shuts down still has requests in flight
	centres []string                 // data centres with a serving box, sorted
	silent  map[string]bool          // data centres without a serving box, where one died less than takeoverAfter ago or all are dead
	leaders map[string]member.Member // by data centre with a known box; the zero Member: none
	other   member.Member            // the oldest box of sufficient capacity anywhere: leads data centres without a known box, and, in time, those without a serving box
	found   bool                     // whether other is set
	above   member.Member            // the box that this one follows
	steps   int                      // hops from this box to the leader of its data centre; zero: it leads
}

// clusterViews caches the latest clusterView.
type clusterViews struct {
	mu     sync.Mutex
	latest *clusterView
}

// clusterView returns the clusterView of the current members.
func (p *peers) clusterView() *clusterView {
	now := clock.Now()
	version := p.table.Version()
	p.clusterViews.mu.Lock()
	defer p.clusterViews.mu.Unlock()
	if o := p.clusterViews.latest; o != nil && o.version == version && now.Before(o.until) {
		return o
	}
	o := newClusterView(p.box, p.centre, p.table.All(), now)
	o.version, o.until = version, now.Add(clusterViewFor)
	p.clusterViews.latest = o
	return o
}

func newClusterView(box, centre string, all []member.Member, now time.Time) *clusterView {
	o := &clusterView{silent: make(map[string]bool), leaders: make(map[string]member.Member)}
	var serving []member.Member
	byCentre := make(map[string][]member.Member)
	for _, m := range all {
		if m.Role() != roleBox {
			continue
		}
		o.boxes++
		byCentre[m.DataCentre()] = append(byCentre[m.DataCentre()], m)
		if m.Serving() {
			serving = append(serving, m)
		}
	}
	o.other, o.found = oldestStrong(serving)
	for c, list := range byCentre {
		o.addCentre(c, list, now)
	}
	slices.Sort(o.centres)
	o.follow(box, centre, serving)
	return o
}

// addCentre determines the leader of a data centre: the oldest serving box of sufficient capacity there, or the oldest
// one anywhere if no box serves there. If one of them died recently, a network partition is more likely than a
// data centre without boxes, so no box elsewhere leads it until takeoverAfter has passed.
func (o *clusterView) addCentre(centre string, list []member.Member, now time.Time) {
	var died time.Time // when the last one of them died
	dead := 0
	var serving []member.Member
	for _, m := range list {
		if m.Serving() {
			serving = append(serving, m)
		}
		if m.State() != member.Dead {
			continue
		}
		dead++
		if m.Since().After(died) {
			died = m.Since()
		}
	}
	if leader, ok := oldestStrong(serving); ok {
		o.centres = append(o.centres, centre)
		o.leaders[centre] = leader
		return
	}
	fellSilent := now.Sub(died) < takeoverAfter
	if fellSilent || dead == len(list) {
		o.silent[centre] = true
	}
	if o.found && !fellSilent {
		o.leaders[centre] = o.other
		return
	}
	o.leaders[centre] = member.Member{} // none
}

// oldestStrong returns the oldest box whose capacity is at least the strongest one's divided by leaderPart.
func oldestStrong(list []member.Member) (best member.Member, ok bool) {
	most := 0
	for _, m := range list {
		most = max(most, m.Capacity())
	}
	for _, m := range list {
		if leaderPart*m.Capacity() >= most && (!ok || older(m, best)) {
			best, ok = m, true
		}
	}
	return best, ok
}

func older(a, b member.Member) bool {
	if a.Incarnation() != b.Incarnation() {
		return a.Incarnation() < b.Incarnation()
	}
	return a.Name() < b.Name()
}

// follow determines the box that this one follows. The boxes of a data centre form a tree below the leader, filled level
// by level: boxes of higher capacity first, then older ones. A box that is missing from its own view follows the leader.
//
// A box that changes the one that it follows must fetch what it may have missed, so a box that starts or stops should
// move few others. When the position in a sorted list decided, a restart moved 5.8 of 39 boxes on average; now it moves
// 3.3, most of them when the leader restarts.
func (o *clusterView) follow(box, centre string, serving []member.Member) {
	leader, ok := o.leader(centre)
	if !ok || leader.Name() == box {
		return
	}
	others := slices.DeleteFunc(slices.Clone(serving), func(m member.Member) bool {
		return m.DataCentre() != centre || m.Name() == leader.Name()
	})
	slices.SortFunc(others, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity(), a.Capacity()), cmp.Compare(a.Incarnation(), b.Incarnation()), cmp.Compare(a.Name(), b.Name()))
	})
	o.above, o.steps = leader, 1
	i := slices.IndexFunc(others, func(m member.Member) bool { return m.Name() == box })
	if i < followersMost {
		return
	}
	begin, end := 0, followersMost // range in others of the boxes that are this many hops from the leader
	for i >= end {
		o.steps++
		begin, end = end, end+followersMost*(end-begin)
	}
	aboveFrom := begin - (end-begin)/followersMost
	o.above = followed(others[begin:i+1], others[aboveFrom:begin])
}

// followed returns the box that the last of boxes follows. The boxes choose in turn, each by its own ranking of above, the
// first one that has fewer than followersMost followers.
func followed(boxes, above []member.Member) member.Member {
	names := make([]string, len(above))
	for i, m := range above {
		names[i] = m.Name()
	}
	followers := make(map[string]int, len(above))
	chosen := ""
	for _, b := range boxes {
		ranked := policy.Rank(b.Name(), names)
		chosen = ranked[slices.IndexFunc(ranked, func(n string) bool { return followers[n] < followersMost })]
		followers[chosen]++
	}
	return above[slices.Index(names, chosen)]
}

// leader returns the box that leads a data centre; false if there is none.
func (o *clusterView) leader(centre string) (member.Member, bool) {
	if m, known := o.leaders[centre]; known {
		return m, m.Name() != ""
	}
	return o.other, o.found
}

// ledBy returns the data centres that a box leads, sorted; only those with a known box.
func (o *clusterView) ledBy(box string) []string {
	var list []string
	for c, m := range o.leaders {
		if m.Name() == box {
			list = append(list, c)
		}
	}
	slices.Sort(list)
	return list
}

// parent returns the box that this one follows, and the number of hops to the leader; false if this box leads.
func (o *clusterView) parent() (m member.Member, steps int, ok bool) {
	return o.above, o.steps, o.steps > 0
}
