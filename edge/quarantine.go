// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/daemon"
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
)

// quarantinePrefix is the key prefix of facts about quarantined requests; the request's content hash follows. The
// version of such a fact is the time at which the quarantine ends, in Unix microseconds.
const quarantinePrefix = "quarantine/"

// suspicionPrefix is the key prefix of facts about parts of prompts that may be quarantined soon. The version of such a fact
// is the time until which it counts, in Unix microseconds.
const suspicionPrefix = "suspicion/"

// expireInterval is the time between two removals of expired state: quarantines that are over, limits of endpoints
// that are gone.
const expireInterval = 10 * time.Second

// requestQuarantine keeps a request, or those with a part of their prompts, away from endpoints after several of them
// ended while they ran it. Each box reports to the leaders of all data centres which endpoints ended under its requests; a
// leader that has counted enough of them for a request or a part publishes a fact to all boxes. Before it quarantines a part
// it publishes that it suspects it. A box that knows that an endpoint began to respond to another request with the part
// objects, also later, and the leaders lift the quarantine.
type requestQuarantine struct{ node *Node }

// Remaining implements forward.Quarantine.
func (q requestQuarantine) Remaining(c quarantine.Fingerprint, now time.Time) (time.Duration, bool) {
	return q.node.state.tracker.List().Remaining(c, now)
}

// Ended implements forward.Quarantine.
func (q requestQuarantine) Ended(endpoint string, suspects []quarantine.Suspect) {
	now := time.Now()
	t := q.node.state.tracker.NewTermination(endpoint, suspects, now)
	q.record(t, 0, now)
	end := daemon.EncodeTermination(t)
	q.node.outbox.record(end, now)
	if !q.node.outbox.add(&message{ends: []*wire.EndpointEnd{end}}, now) {
		q.node.Log.Info("Report of an endpoint's end dropped: too many messages pending", "endpoint", endpoint)
	}
}

// Began implements forward.Quarantine.
func (q requestQuarantine) Began(service string, parts []quarantine.Part) {
	now := time.Now()
	if wrong := q.node.state.tracker.RecordBegun(service, parts, now); len(wrong) > 0 {
		q.dispute(wrong, now)
	}
}

// dispute has the quarantines of parts lifted to which an endpoint began to respond, here and by the leaders. It may be
// called while a fact is being applied.
func (q requestQuarantine) dispute(parts []quarantine.Fingerprint, now time.Time) {
	if !q.node.outbox.add(&message{begun: parts}, now) {
		q.node.Log.Info("Report of quarantines to lift dropped: too many messages pending", "contents", quarantine.Strings(parts))
	}
}

// lift ends the quarantine of a part at all boxes that follow this one. The fact outranks those that other leaders publish
// before they learn of it.
func (q requestQuarantine) lift(c quarantine.Fingerprint, now time.Time) {
	until := now.Add(quarantine.Duration + quarantine.LiftedTime)
	q.node.state.tracker.Lift(c, until, now)
	known := q.node.items.Get(quarantinePrefix + c.String())
	if known == nil || known.GetRemoved() {
		return
	}
	q.node.Log.Info("Quarantine is lifted: an endpoint began to respond to a request with this part", "content", c.String())
	q.node.items.Merge(&wire.Item{
		Key:        known.GetKey(),
		Version:    max(uint64(until.UnixMicro()), known.GetVersion()+1),
		DataCentre: q.node.Settings.DataCentre,
		Removed:    true,
	})
}

// receive applies the reports of another box.
func (q requestQuarantine) receive(m *wire.EndedRequest, now time.Time) {
	for _, e := range m.GetEnds()[:min(len(m.GetEnds()), maxPendingMessages)] {
		t := daemon.DecodeTermination(e)
		age := positiveMessageTime(e.GetAgeMicros())
		q.record(t, age, now)
		end := daemon.EncodeTermination(t)
		end.AgeMicros = age.Microseconds()
		q.node.outbox.record(end, now)
	}
	for _, c := range quarantine.Decode(m.GetBegun()) {
		q.lift(c, now)
	}
}

// record counts the end of an endpoint, observed some time ago, against what it ran, and publishes what is quarantined as a
// result. The loader assigns the endpoint no more loads until its entry has lapsed.
func (q requestQuarantine) record(t quarantine.Termination, age time.Duration, now time.Time) {
	if left := q.node.current.Load().Bounds.RegistrationTTL - age; left > 0 {
		q.node.loader.Ended(t.Endpoint, clock.Now().Add(left))
	}
	v := q.node.state.tracker.RecordTermination(t, now)
	for _, c := range v.Suspected {
		q.suspect(c, now)
	}
	for _, c := range v.Found {
		q.publish(quarantinePrefix, c, now.Add(quarantine.Duration))
	}
	q.node.outbox.wakeUp() // some of the suspected parts may be due soon
}

// publishDue publishes the suspected parts that nobody has objected to in time. It reports whether no others are waiting.
func (q requestQuarantine) publishDue(now time.Time) bool {
	found, waiting := q.node.state.tracker.Due(now)
	for _, c := range found {
		q.publish(quarantinePrefix, c, now.Add(quarantine.Duration))
	}
	return !waiting
}

// suspect asks all boxes about a part, unless another leader has just done so: its fact reaches the same boxes.
func (q requestQuarantine) suspect(c quarantine.Fingerprint, now time.Time) {
	known := q.node.items.Get(suspicionPrefix + c.String())
	if known == nil || isQuarantineOver(known, now.Add(quarantine.SuspicionTTL/2)) {
		q.publish(suspicionPrefix, c, now.Add(quarantine.SuspicionTTL))
	}
}

func (q requestQuarantine) publish(prefix string, c quarantine.Fingerprint, until time.Time) {
	q.node.items.Merge(&wire.Item{Key: prefix + c.String(), Version: uint64(until.UnixMicro()), DataCentre: q.node.Settings.DataCentre})
}

// applySuspicion objects to the suspicion of a part if this box knows better; rest is the fact's key without the prefix.
func (s *state) applySuspicion(rest string) {
	c, ok := quarantine.ParseFingerprint(rest)
	if now := time.Now(); ok && s.tracker.HasBegun(c, now) {
		s.disputed([]quarantine.Fingerprint{c}, now)
	}
}

// applyQuarantine applies a fact about a quarantined request or part; rest is its key without the prefix.
func (s *state) applyQuarantine(rest string, i *wire.Item) {
	c, ok := quarantine.ParseFingerprint(rest)
	if !ok {
		s.log.Info("Failed to decode fact; keeping the last valid one", "key", i.GetKey(), "version", i.GetVersion(), "err", "the key holds no content hash")
		return
	}
	now, until := time.Now(), time.UnixMicro(int64(i.GetVersion()))
	if i.GetRemoved() {
		s.tracker.Lift(c, until, now)
		return
	}
	added := s.tracker.List().Add(c, until)
	if s.tracker.HasBegun(c, now) {
		s.tracker.Lift(c, until, now) // at once, since the leaders are asked to do so
		s.disputed([]quarantine.Fingerprint{c}, now)
		return
	}
	if added {
		s.quarantined(c)
		s.log.Info("Request is kept from endpoints", "content", c.String(), "until", until.UTC().Format(time.RFC3339))
	}
}

// isQuarantineOver reports whether a fact is about a quarantine or a suspicion that has ended.
func isQuarantineOver(i *wire.Item, now time.Time) bool {
	isOne := strings.HasPrefix(i.GetKey(), quarantinePrefix) || strings.HasPrefix(i.GetKey(), suspicionPrefix)
	return isOne && int64(i.GetVersion()) <= now.UnixMicro()
}

// expire removes quarantines and suspicions that have ended.
func (q requestQuarantine) expire(now time.Time) {
	for _, c := range q.node.state.tracker.List().Expire(now) {
		q.node.items.Discard(quarantinePrefix + c.String())
		q.node.Log.Info("Request may reach endpoints again", "content", c.String())
	}
	for _, k := range q.node.items.Keys() {
		if strings.HasPrefix(k, suspicionPrefix) && isQuarantineOver(q.node.items.Get(k), now) {
			q.node.items.Discard(k)
		}
	}
}
