// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
)

// quarantinePrefix is the key prefix of facts about quarantined requests; the request's content hash follows. The
// version of such a fact is the time at which the quarantine ends, in Unix microseconds.
const quarantinePrefix = "quarantine/"

// expireInterval is the time between two removals of expired state: quarantines that are over, limits of endpoints
// that are gone.
const expireInterval = 10 * time.Second

// requestQuarantine keeps a request away from endpoints after several of them ended while they ran it. Each box
// reports to the leaders of all data centres which endpoints ended under its requests; a leader that has counted
// enough of them for a request publishes a fact to all boxes.
type requestQuarantine struct{ node *Node }

// Remaining implements forward.Quarantine.
func (q requestQuarantine) Remaining(c quarantine.Fingerprint, now time.Time) (time.Duration, bool) {
	return q.node.state.tracker.List().Remaining(c, now)
}

// Ended implements forward.Quarantine.
func (q requestQuarantine) Ended(endpoint string, contents []quarantine.Fingerprint) {
	now := time.Now()
	q.record(endpoint, contents, 0, now)
	end := &wire.EndpointEnd{Endpoint: endpoint, Contents: quarantine.Encode(contents)}
	q.node.outbox.record(end, now)
	if !q.node.outbox.add(&message{ends: []*wire.EndpointEnd{end}}, now) {
		q.node.Log.Info("Report of an endpoint's end dropped: too many messages pending", "endpoint", endpoint)
	}
}

// receive applies the reports of another box.
func (q requestQuarantine) receive(m *wire.EndedRequest, now time.Time) {
	for _, e := range m.GetEnds()[:min(len(m.GetEnds()), maxPendingMessages)] {
		contents := quarantine.Decode(e.GetContents())
		age := positiveMessageTime(e.GetAgeMicros())
		q.record(e.GetEndpoint(), contents, age, now)
		q.node.outbox.record(&wire.EndpointEnd{Endpoint: e.GetEndpoint(), Contents: quarantine.Encode(contents), AgeMicros: age.Microseconds()}, now)
	}
}

// record counts the end of an endpoint, observed some time ago, against the requests that it ran, and publishes those
// that are quarantined by it. The loader assigns the endpoint no more loads until its entry has lapsed.
func (q requestQuarantine) record(endpoint string, contents []quarantine.Fingerprint, age time.Duration, now time.Time) {
	if left := q.node.current.Load().Bounds.RegistrationTTL - age; left > 0 {
		q.node.loader.Ended(endpoint, clock.Now().Add(left))
	}
	for _, c := range q.node.state.tracker.RecordTermination(endpoint, contents, now) {
		q.node.items.Merge(&wire.Item{
			Key:        quarantinePrefix + c.String(),
			Version:    uint64(now.Add(quarantine.Duration).UnixMicro()),
			DataCentre: q.node.Settings.DataCentre,
		})
	}
}

// applyQuarantine applies a fact about a quarantined request; rest is its key without the prefix.
func (s *state) applyQuarantine(rest string, i *wire.Item) {
	c, ok := quarantine.ParseFingerprint(rest)
	if !ok {
		s.log.Info("Failed to decode fact; keeping the last valid one", "key", i.GetKey(), "version", i.GetVersion(), "err", "the key holds no content hash")
		return
	}
	until := time.UnixMicro(int64(i.GetVersion()))
	if s.tracker.List().Add(c, until) {
		s.log.Info("Request is kept from endpoints", "content", c.String(), "until", until.UTC().Format(time.RFC3339))
	}
}

// isQuarantineOver reports whether a fact is about a quarantine that has ended.
func isQuarantineOver(i *wire.Item, now time.Time) bool {
	return strings.HasPrefix(i.GetKey(), quarantinePrefix) && int64(i.GetVersion()) <= now.UnixMicro()
}

// expire removes quarantines that have ended.
func (q requestQuarantine) expire(now time.Time) {
	for _, c := range q.node.state.tracker.List().Expire(now) {
		q.node.items.Discard(quarantinePrefix + c.String())
		q.node.Log.Info("Request may reach endpoints again", "content", c.String())
	}
}
