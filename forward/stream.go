// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cairnwick.example/clock"
)

const streamType = "text/event-stream"

// maxEventBytes bounds one event of a stream, in bytes.
const maxEventBytes = 1 << 20

func isStream(a *http.Response) bool {
	return a.StatusCode == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), streamType)
}

// relayStream hands whole events on as they come. A stream that breaks off goes on
// at another endpoint where its route allows that.
func (g *Gateway) relayStream(ctx context.Context, q *request, out *callerResponse, d *dispatch, t target, a *http.Response) *Refusal {
	u := d.upstream
	s := &eventRelay{out: out, lastID: q.call.LastEventID}
	err := s.copy(a, d.partReceived)
	u.recordOutcome(err != nil && ctx.Err() == nil)
	if err == nil {
		return nil
	}
	q.executions++
	q.mayHaveRun = true
	q.tried[t.endpoint.ID()] = true
	if ctx.Err() == nil {
		u.resetConnections()
		g.reportBroken(u, q)
	}
	g.recordAttempt(q, "cut", err.Error())
	for g.mayResume(ctx, q, out) {
		if g.resume(ctx, q, s) {
			return nil
		}
	}
	return &Refusal{Code: CodeTruncated, MayHaveRun: true, Detail: err.Error()}
}

func (g *Gateway) mayResume(ctx context.Context, q *request, out *callerResponse) bool {
	if out.callerGone || ctx.Err() != nil || !q.route.MayRepeat() || q.executions >= q.route.MaxAttempts() || q.attempts >= maxAttempts {
		return false
	}
	now := clock.Now()
	if q.remaining(now) <= firstByteTime {
		return false
	}
	if q.retryReserved { // the attempt before reached nobody
		q.retryReserved = false
		g.retryBudget(q.service.Name()).RecordUnsent()
		return true
	}
	return g.takeRetry(q, now)
}

// resume goes on with a broken stream at another endpoint, after the last event
// that the caller got; it tells whether the stream came to its end.
func (g *Gateway) resume(ctx context.Context, q *request, s *eventRelay) bool {
	t, f := g.nextTarget(ctx, q)
	if f != nil {
		q.executions = q.route.MaxAttempts() // nowhere to go
		return false
	}
	d := g.newDispatch(q, t)
	defer d.finish()
	u := d.upstream
	a, f := g.send(ctx, q, u, t, s.lastID)
	if f != nil {
		q.retryReserved = f.Unsent
		return false
	}
	defer a.Body.Close()
	q.executions++
	q.tried[t.endpoint.ID()] = true
	if !isStream(a) {
		return false
	}
	err := s.copy(a, d.partReceived)
	u.recordOutcome(err != nil && ctx.Err() == nil)
	if err != nil && ctx.Err() == nil {
		g.reportBroken(u, q)
	}
	return err == nil
}

// eventRelay passes the events of one answer on, from one run or, where a run went
// on elsewhere, several.
type eventRelay struct {
	out    *callerResponse
	lastID string // ID of the last event that was passed on; empty: none
}

// copy passes whole events on until the stream's end, which it returns as nil.
// What is left of an event that was cut inside is not passed on. Each event is told to
// heard.
func (s *eventRelay) copy(a *http.Response, heard func()) error {
	in := bufio.NewReaderSize(a.Body, 4<<10)
	var event []byte
	begun := 0 // where the last line begins: a long one comes in pieces
	for {
		piece, err := in.ReadSlice('\n')
		event = append(event, piece...)
		if len(event) > maxEventBytes {
			return s.finish(a, event, bufio.ErrBufferFull)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return s.finish(a, event, err)
		}
		line := event[begun:]
		if begun = len(event); len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		begun = 0
		heard()
		s.relay(a, event)
		event = event[:0]
		if s.out.callerGone {
			return io.ErrClosedPipe
		}
		if in.Buffered() == 0 {
			s.out.flush()
		}
	}
}

// finish tells whether the end of the body is the end of the stream. What was passed
// on before reaches the caller in any case.
func (s *eventRelay) finish(a *http.Response, partial []byte, err error) error {
	if s.out.started {
		s.out.flush()
	}
	if err != io.EOF {
		return err
	}
	if len(partial) > 0 {
		return io.ErrUnexpectedEOF
	}
	if !s.out.started {
		s.out.writeHead(a, -1)
	}
	s.out.flush()
	return nil
}

// relay hands one event on, unless an earlier run gave it already.
func (s *eventRelay) relay(a *http.Response, event []byte) {
	id := eventID(event)
	if id != "" && !isAfter(id, s.lastID) {
		return
	}
	if !s.out.started {
		s.out.writeHead(a, -1)
	}
	if id != "" {
		s.lastID = id
	}
	s.out.write(event)
}

var idField = []byte("id:")

// eventID returns the ID of an event; empty when it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// isAfter tells whether an event's ID comes after another's; IDs rise as numbers.
func isAfter(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
