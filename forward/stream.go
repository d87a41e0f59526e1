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

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

func isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), streamType)
}

// relayStream relays complete events as they arrive. A stream that breaks off is resumed at another endpoint
// if its route allows that.
func (g *Gateway) relayStream(ctx context.Context, q *request, out *callerResponse, d *dispatch, t target, resp *http.Response) *Refusal {
	u := d.upstream
	s := &eventRelay{out: out, lastID: q.call.LastEventID, began: func() { g.streamBegan(q, q.sentTo) }}
	err := s.copy(resp, d.eventReceived)
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
	if !out.callerGone {
		d.recordFailure(ctx, &Refusal{Code: CodeTruncated})
	}
	g.recordAttempt(q, failedAttempt{outcome: "cut", proof: noProof, status: resp.StatusCode, detail: err.Error()})
	for g.mayResume(ctx, q, out) {
		if g.resume(ctx, q, s) {
			return nil
		}
	}
	return &Refusal{Code: CodeTruncated, MayHaveRun: true, Detail: err.Error()}
}

func (g *Gateway) mayResume(ctx context.Context, q *request, out *callerResponse) bool {
	if out.callerGone || ctx.Err() != nil || !q.route.IsReexecutable() || q.executions >= q.route.MaxAttempts() || q.attempts >= maxAttempts {
		return false
	}
	now := clock.Now()
	if q.remaining(now) <= firstByteTime {
		return false
	}
	if q.retryReserved { // nothing of the previous attempt was sent
		q.retryReserved = false
		g.retryBudget(q.service.Name()).RecordUnsent()
		return true
	}
	return g.takeRetry(q, now)
}

// resume continues a broken stream at another endpoint, after the last event that the caller received. It
// reports whether the stream is complete.
func (g *Gateway) resume(ctx context.Context, q *request, s *eventRelay) bool {
	t, f := g.nextTarget(ctx, q)
	if f != nil {
		q.executions = q.route.MaxAttempts() // no endpoint to resume at
		return false
	}
	g.recordResumption(q, t, s.lastID)
	d := g.newDispatch(q, t)
	defer d.finish()
	ctx, end := g.unbegun.add(ctx, q)
	defer end()
	u := d.upstream
	resp, f := g.send(ctx, q, u, t, s.lastID)
	if f != nil {
		d.recordFailure(ctx, f)
		q.retryReserved = f.Unsent
		return false
	}
	defer resp.Body.Close()
	q.executions++
	q.tried[t.endpoint.ID()] = true
	if !isStream(resp) {
		if resp.StatusCode >= http.StatusInternalServerError {
			d.recordFailure(ctx, &Refusal{Code: CodeNoAnswer})
		}
		return false
	}
	err := s.copy(resp, d.eventReceived)
	u.recordOutcome(err != nil && ctx.Err() == nil)
	if err != nil && ctx.Err() == nil {
		g.reportBroken(u, q)
	}
	if err != nil && !s.out.callerGone {
		d.recordFailure(ctx, &Refusal{Code: CodeTruncated})
	}
	return err == nil
}

// eventRelay relays the events of one response, which may come from several runs if the stream was
// resumed.
type eventRelay struct {
	out    *callerResponse
	lastID string // ID of the last relayed event; empty: none
	began  func() // called before the first event of the response is relayed
}

// copy relays complete events until the end of the stream, for which it returns nil. It drops an event
// that was cut off, and calls onEvent for each complete one.
func (s *eventRelay) copy(resp *http.Response, onEvent func(event []byte)) error {
	in := bufio.NewReaderSize(resp.Body, 4<<10)
	var event []byte
	defer s.out.holdPartial(0)
	lineStart := 0 // start of the last line: a long one arrives in pieces
	events := 0
	for {
		chunk, err := in.ReadSlice('\n')
		event = s.extend(event, chunk)
		if s.out.callerGone {
			return io.ErrClosedPipe
		}
		if len(event) > maxEventBytes {
			return s.finish(resp, event, bufio.ErrBufferFull)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && events == 0 && endsWithConnection(resp) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return s.finish(resp, event, err)
		}
		line := event[lineStart:]
		if lineStart = len(event); len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		lineStart = 0
		onEvent(event)
		events++
		s.relay(resp, event)
		event = s.reuse(event)
		if s.out.callerGone {
			return io.ErrClosedPipe
		}
		if in.Buffered() == 0 {
			s.out.flush()
		}
	}
}

// maxReusedEvent is the largest buffer of an event that is kept for the next one, and that the box's bound does not
// count, in bytes: as large as the buffer for reading.
const maxReusedEvent = 4 << 10

// extend appends to an incomplete event.
func (s *eventRelay) extend(event, chunk []byte) []byte {
	size := cap(event)
	event = append(event, chunk...)
	if cap(event) != size && cap(event) > maxReusedEvent {
		s.out.holdPartial(cap(event))
	}
	return event
}

// reuse returns an empty buffer for the next event.
func (s *eventRelay) reuse(event []byte) []byte {
	if cap(event) <= maxReusedEvent {
		return event[:0]
	}
	s.out.holdPartial(0)
	return nil
}

// finish returns nil if the end of the body is the end of the stream. It flushes the events relayed
// before.
func (s *eventRelay) finish(resp *http.Response, partial []byte, err error) error {
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
		s.out.writeHead(resp, -1)
	}
	s.out.flush()
	return nil
}

// relay sends one event to the caller, unless an earlier run already delivered it.
func (s *eventRelay) relay(resp *http.Response, event []byte) {
	id := eventID(event)
	if id != "" && !isAfter(id, s.lastID) {
		return
	}
	if !s.out.started {
		s.began()
		s.out.writeHead(resp, -1)
	}
	if id != "" {
		s.lastID = id
	}
	s.out.write(event)
}

var idField, dataField = []byte("id:"), []byte("data:")

// hasData reports whether an event has data: others, such as comments, only keep the connection open.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}

// eventID returns the ID of an event; empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// endsWithConnection reports whether only the end of the connection ends a response, since it has neither a length nor
// chunks. If such a response is empty, it can't be distinguished from that of an endpoint that crashed.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// isAfter reports whether event id comes after last. IDs are ascending numbers.
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
