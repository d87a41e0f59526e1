// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/wire"
)

// answer is the response to a caller, and its state.
type answer struct {
	writer http.ResponseWriter
	id     string
	first  time.Time // when the first byte was written; zero: none yet
	gone   bool      // a write failed
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.writer.Header() }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.first = clock.Now()
	a.writer.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) {
	if a.first.IsZero() {
		a.first = clock.Now()
	}
	n, err := a.writer.Write(b)
	a.gone = a.gone || err != nil
	return n, err
}

// untouched reports whether nothing of the response has been written.
func (a *answer) untouched() bool { return a.first.IsZero() }

func (a *answer) flush() {
	if err := http.NewResponseController(a.writer).Flush(); err != nil {
		a.gone = true
	}
}

// give writes a complete response.
func (a *answer) give(status int, body []byte) {
	a.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.WriteHeader(status)
	_, _ = a.Write(body) // too late to retry: the request was executed
}

// fail writes a failure: as a complete response, or, if a stream has started, as an error event. It
// then aborts the connection, so that the caller cannot take the stream for complete.
func (a *answer) fail(f *Failure) {
	if a.untouched() {
		f.write(a, a.id)
		return
	}
	f.writeEvent(a, a.id)
	a.flush()
	panic(http.ErrAbortHandler)
}

// readWhole reads an endpoint's response; false if it is truncated or too large.
func readWhole(a *http.Response) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole+1))
	return body, err == nil && len(body) <= maxWhole
}

// passWhole reads the complete response before it writes any of it, so that the caller never gets
// a truncated one.
func (g *Gateway) passWhole(ctx context.Context, out *answer, h heldGrant, run string, a *http.Response, r *wire.ReleaseRequest) *Failure {
	body, whole := readWhole(a)
	if !whole {
		r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		if ctx.Err() != nil {
			g.cancel(h, run, r)
		}
		return &Failure{Code: CodeLost, Ran: Unknown, Message: "the response of " + h.endpoint + " was truncated or too large", Retry: g.Spans.Retry}
	}
	r.Outcome = wire.Outcome_OUTCOME_COMPLETED
	out.Header().Set("Content-Type", a.Header.Get("Content-Type"))
	out.give(a.StatusCode, body)
	return nil
}

const (
	maxResumes  = 3
	resumePause = 50 * time.Millisecond
)

var (
	dataMark = []byte("data:")
	doneMark = []byte("data: [DONE]")
)

// stream is an execution whose events are relayed.
type stream struct {
	held heldGrant
	run  string // the engine's ID of the execution
	beat func() // restarts the idle timeout
}

// passStream relays events as they arrive. A stream that breaks off is resumed through the engine's
// resume API: the same execution, from the event after the last one relayed.
func (g *Gateway) passStream(ctx context.Context, out *answer, s stream, a *http.Response, r *wire.ReleaseRequest) *Failure {
	out.Header().Set("Content-Type", "text/event-stream")
	h, run := s.held, s.run
	events, done := copyEvents(out, a.Body, 0, s.beat)
	for range maxResumes {
		if done || out.gone || ctx.Err() != nil {
			break
		}
		g.Log.Info("Stream broke off; resuming", "request", run, "endpoint", h.endpoint, "events", events)
		events, done = g.resume(ctx, out, s, events)
	}
	if done {
		r.Outcome = wire.Outcome_OUTCOME_COMPLETED
		return nil
	}
	r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	if out.gone || ctx.Err() != nil {
		g.cancel(h, run, r)
	}
	return &Failure{Code: CodeCut, Ran: Unknown, Message: "the stream of " + h.endpoint + " broke off", Retry: g.Spans.Retry}
}

// resume reopens the stream of an execution and relays the remaining events; events is the number
// relayed so far. It returns the same as copyEvents.
func (g *Gateway) resume(ctx context.Context, out *answer, s stream, events int) (int, bool) {
	pause(ctx, resumePause)
	live, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(g.Spans.Idle, cancel)
	defer timer.Stop()
	path := fmt.Sprintf("http://%s/cairn/streams/%s?from=%d", s.held.grant.GetAddress(), url.PathEscape(s.run), events)
	e, err := http.NewRequestWithContext(live, http.MethodGet, path, nil)
	if err != nil {
		return events, false
	}
	a, err := engine.Send(g.Engines, e, clock.Now().Add(g.Spans.Resume))
	if err != nil {
		return events, false
	}
	defer a.Body.Close()
	same := a.StatusCode == http.StatusOK && a.Header.Get(engine.EventsHeader) == strconv.Itoa(events)
	if !same {
		return events, false
	}
	return copyEvents(out, a.Body, events, func() { timer.Reset(g.Spans.Idle) })
}

// copyEvents relays complete events up to the closing one; one that breaks off in the middle is
// dropped. It calls beat for each line. It returns events plus the number relayed, and whether the
// closing event was relayed.
func copyEvents(out *answer, body io.Reader, events int, beat func()) (int, bool) {
	in := bufio.NewReader(body)
	var event []byte
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return events, false
		}
		beat()
		event = append(event, line...)
		if len(bytes.TrimSpace(line)) > 0 {
			continue
		}
		if _, err := out.Write(event); err != nil {
			return events, false
		}
		if bytes.HasPrefix(event, doneMark) {
			out.flush()
			return events, true
		}
		if bytes.HasPrefix(event, dataMark) {
			events++
		}
		event = event[:0]
		if in.Buffered() == 0 {
			out.flush()
		}
	}
}
