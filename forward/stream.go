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

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

func isStream(a *http.Response) bool {
	return a.StatusCode == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), streamType)
}

// passStream hands whole events on as they come. A stream that breaks off goes on
// at another endpoint where its route allows that.
func (g *Gateway) passStream(ctx context.Context, q *request, out *answer, d *dispatch, t target, a *http.Response) *Refusal {
	u := d.upstream
	s := &events{out: out, last: q.call.LastEventID}
	err := s.copy(a, d.heard)
	u.outcome(err != nil && ctx.Err() == nil)
	if err == nil {
		return nil
	}
	q.ran++
	q.mayHaveRun = true
	q.tried[t.endpoint.ID()] = true
	if ctx.Err() == nil {
		u.dropIdle()
		g.wasCut(u, q)
	}
	g.recordAttempt(q, "cut", err.Error())
	for g.mayResume(ctx, q, out) {
		if g.resume(ctx, q, s) {
			return nil
		}
	}
	return &Refusal{Code: CodeTruncated, MayHaveRun: true, Detail: err.Error()}
}

func (g *Gateway) mayResume(ctx context.Context, q *request, out *answer) bool {
	if out.gone || ctx.Err() != nil || !q.route.MayRepeat() || q.ran >= q.route.MaxAttempts() || q.attempts >= mostAttempts {
		return false
	}
	now := clock.Now()
	if q.left(now) <= firstByte {
		return false
	}
	if q.budgeted { // the attempt before reached nobody
		q.budgeted = false
		g.budget(q.service.Name()).RecordUnsent()
		return true
	}
	return g.mayRetry(q, now)
}

// resume goes on with a broken stream at another endpoint, after the last event
// that the caller got; it tells whether the stream came to its end.
func (g *Gateway) resume(ctx context.Context, q *request, s *events) bool {
	t, f := g.find(ctx, q)
	if f != nil {
		q.ran = q.route.MaxAttempts() // nowhere to go
		return false
	}
	d := g.dispatchTo(q, t)
	defer d.ended()
	u := d.upstream
	a, f := g.send(ctx, q, u, t, s.last)
	if f != nil {
		q.budgeted = f.Unsent
		return false
	}
	defer a.Body.Close()
	q.ran++
	q.tried[t.endpoint.ID()] = true
	if !isStream(a) {
		return false
	}
	err := s.copy(a, d.heard)
	u.outcome(err != nil && ctx.Err() == nil)
	if err != nil && ctx.Err() == nil {
		g.wasCut(u, q)
	}
	return err == nil
}

// events passes the events of one answer on, from one run or, where a run went
// on elsewhere, several.
type events struct {
	out  *answer
	last string // ID of the last event that was passed on; empty: none
}

// copy passes whole events on until the stream's end, which it returns as nil.
// What is left of an event that was cut inside is not passed on. Each event is told to
// heard.
func (s *events) copy(a *http.Response, heard func()) error {
	in := bufio.NewReaderSize(a.Body, 4<<10)
	var event []byte
	begun := 0 // where the last line begins: a long one comes in pieces
	for {
		piece, err := in.ReadSlice('\n')
		event = append(event, piece...)
		if len(event) > maxEvent {
			return s.ended(a, event, bufio.ErrBufferFull)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return s.ended(a, event, err)
		}
		line := event[begun:]
		if begun = len(event); len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		begun = 0
		heard()
		s.pass(a, event)
		event = event[:0]
		if s.out.gone {
			return io.ErrClosedPipe
		}
		if in.Buffered() == 0 {
			s.out.flush()
		}
	}
}

// ended tells whether the end of the body is the end of the stream. What was passed
// on before reaches the caller in any case.
func (s *events) ended(a *http.Response, partial []byte, err error) error {
	if s.out.begun {
		s.out.flush()
	}
	if err != io.EOF {
		return err
	}
	if len(partial) > 0 {
		return io.ErrUnexpectedEOF
	}
	if !s.out.begun {
		s.out.head(a, -1)
	}
	s.out.flush()
	return nil
}

// pass hands one event on, unless an earlier run gave it already.
func (s *events) pass(a *http.Response, event []byte) {
	id := eventID(event)
	if id != "" && !after(id, s.last) {
		return
	}
	if !s.out.begun {
		s.out.head(a, -1)
	}
	if id != "" {
		s.last = id
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

// after tells whether an event's ID comes after another's; IDs rise as numbers.
func after(id, last string) bool {
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
