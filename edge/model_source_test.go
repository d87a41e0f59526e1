// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"
)

// stepSource answers one call after a delay.
type stepSource struct {
	state      *modelState
	after      time.Duration
	fail       error
	slow       bool // the response reflects an earlier time: the start of a list, or the end of a watch's timeout
	impossible bool // this response is not possible
}

// facts returns the changes after a revision, up to a time.
func (m *stepSource) facts(after Revision, until time.Time) Batch {
	var b Batch
	count := 0
	for _, c := range m.state.changes {
		if !c.at.After(until) {
			count++
		}
	}
	b.Revision = revIn(m.state.epoch, uint64(count))
	if count > 0 && b.Revision > after {
		b.Facts = []Fact{{Key: "e/1", Revision: b.Revision, Removed: m.state.changes[count-1].removed}}
	}
	return b
}

// List implements Source.
func (m *stepSource) List(context.Context, Collection) (Batch, error) {
	time.Sleep(m.after)
	until := m.state.now
	if m.slow {
		until = until.Add(-m.after)
		m.impossible = until.Before(m.state.restoredAt)
	}
	b := m.facts(0, until)
	if len(b.Facts) > 0 && b.Facts[0].Removed {
		b.Facts = nil
	}
	return b, m.fail
}

// Watch implements Source.
func (m *stepSource) Watch(_ context.Context, _ Collection, after Revision, wait time.Duration) (Batch, error) {
	until := m.state.now
	if after.Epoch() != m.state.epoch {
		time.Sleep(m.after)
		return Batch{}, ErrHistoryLost{}
	}
	if m.slow {
		until = until.Add(min(wait-m.after, 0))
	}
	b := m.facts(after, until)
	m.impossible = m.slow && until.Before(m.state.restoredAt) || m.fail == nil && len(b.Facts) == 0 && m.after < wait || m.slow && len(b.Facts) > 0
	time.Sleep(m.after)
	return b, m.fail
}
