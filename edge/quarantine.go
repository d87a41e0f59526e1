// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
)

// quarantinePrefix begins the keys of the requests that are kept from endpoints; the content follows.
// Such a fact's version is until when, in Unix microseconds.
const quarantinePrefix = "quarantine/"

// expirePause is between two looks for what is over: requests that need not be kept away any more, limits
// of endpoints that are gone.
const expirePause = 10 * time.Second

// quarantined is the requests that this box keeps from endpoints. Each box tells the leaders of all data
// centres what ended under its requests; who has counted enough tells all boxes by a fact.
type quarantined struct{ node *Node }

// Remaining implements forward.Quarantine.
func (q quarantined) Remaining(c quarantine.Fingerprint, now time.Time) (time.Duration, bool) {
	return q.node.state.tracker.List().Remaining(c, now)
}

// Ended implements forward.Quarantine.
func (q quarantined) Ended(endpoint string, contents []quarantine.Fingerprint) {
	now := time.Now()
	q.count(endpoint, contents, now)
	end := &wire.EndpointEnd{Endpoint: endpoint, Contents: quarantine.Encode(contents)}
	if !q.node.outbox.add(&message{end: end}, now) {
		q.node.Log.Info("End of an endpoint is not told to others: too many wait", "endpoint", endpoint)
	}
}

// hear takes in what another box saw.
func (q quarantined) hear(m *wire.EndedRequest, now time.Time) {
	for _, e := range m.GetEnds()[:min(len(m.GetEnds()), maxPendingMessages)] {
		q.count(e.GetEndpoint(), quarantine.Decode(e.GetContents()), now)
	}
}

// count counts an end of an endpoint, and tells all boxes of the requests that it puts into
// quarantine. A leader brings nothing more to the endpoint until its entry has lapsed.
func (q quarantined) count(endpoint string, contents []quarantine.Fingerprint, now time.Time) {
	q.node.loader.Ended(endpoint, clock.Now().Add(q.node.current.Load().Bounds.RegistrationTTL))
	for _, c := range q.node.state.tracker.RecordTermination(endpoint, contents, now) {
		q.node.items.Merge(&wire.Item{
			Key:        quarantinePrefix + c.String(),
			Version:    uint64(now.Add(quarantine.Duration).UnixMicro()),
			DataCentre: q.node.Settings.DataCentre,
		})
	}
}

// applyQuarantine takes in a fact that a request is kept from endpoints, by the rest of its key.
func (s *state) applyQuarantine(rest string, i *wire.Item) {
	c, ok := quarantine.ParseFingerprint(rest)
	if !ok {
		s.log.Info("Fact can't be read; the last good one stays", "key", i.GetKey(), "version", i.GetVersion(), "err", "no content")
		return
	}
	until := time.UnixMicro(int64(i.GetVersion()))
	if s.tracker.List().Add(c, until) {
		s.log.Info("Request is kept from endpoints", "content", c.String(), "until", until.UTC().Format(time.RFC3339))
	}
}

// isQuarantineOver tells of a fact that a request is kept from endpoints whether its time is over.
func isQuarantineOver(i *wire.Item, now time.Time) bool {
	return strings.HasPrefix(i.GetKey(), quarantinePrefix) && int64(i.GetVersion()) <= now.UnixMicro()
}

// expire forgets requests whose time is over.
func (q quarantined) expire(now time.Time) {
	for _, c := range q.node.state.tracker.List().Expire(now) {
		q.node.items.Forget(quarantinePrefix + c.String())
		q.node.Log.Info("Request may reach endpoints again", "content", c.String())
	}
}
