// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/transfer"
	"cairnwick.example/wire"
)

// callerResponse is the response to a caller, and its state.
type callerResponse struct {
	writer      http.ResponseWriter
	id          string
	firstByteAt time.Time // when the first byte was written; zero: none yet
	callerGone  bool      // a write failed
	isWriting   atomic.Bool
}

// Header implements http.ResponseWriter.
func (r *callerResponse) Header() http.Header { return r.writer.Header() }

// WriteHeader implements http.ResponseWriter.
func (r *callerResponse) WriteHeader(status int) {
	r.firstByteAt = clock.Now()
	r.writer.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *callerResponse) Write(b []byte) (int, error) {
	if r.firstByteAt.IsZero() {
		r.firstByteAt = clock.Now()
	}
	n, err := r.writer.Write(b)
	r.callerGone = r.callerGone || err != nil
	return n, err
}

// started reports whether any part of the response has been written.
func (r *callerResponse) started() bool { return !r.firstByteAt.IsZero() }

func (r *callerResponse) flush() {
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		r.callerGone = true
	}
}

// abandonWrite ends the pending write of a complete response.
func (r *callerResponse) abandonWrite() {
	if r.isWriting.Load() {
		_ = http.NewResponseController(r.writer).SetWriteDeadline(time.Now()) // fails only if the connection is closed
	}
}

// writeComplete writes a complete response.
func (r *callerResponse) writeComplete(status int, body []byte) {
	r.isWriting.Store(true)
	defer r.isWriting.Store(false)
	r.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.WriteHeader(status)
	_, _ = r.Write(body) // too late to retry: the request was executed
}

// writeFailure writes a failure: as a complete response, or, if a stream has started, as an error event. It
// then aborts the connection, so that the caller cannot take the stream for complete.
func (r *callerResponse) writeFailure(f *Failure) {
	if !r.started() {
		f.write(r, r.id)
		return
	}
	f.writeEvent(r, r.id)
	r.flush()
	panic(http.ErrAbortHandler)
}

// readComplete reads an endpoint's response; false if it is truncated or too large, or is given up since the memory for responses is
// full. If a successful response has neither a length nor chunks, only the end of its connection ends it, as a crash does: it is
// complete if isWhole reports so.
func readComplete(u *transfer.Use, resp *http.Response, isWhole func(body []byte) bool) ([]byte, bool) {
	body, err := u.ReadAll(resp.Body, maxBufferedBody)
	if err != nil {
		return nil, false
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	return body, !unframed || resp.StatusCode >= http.StatusMultipleChoices || isWhole(body)
}

// beginResponse counts a response that is read whole. If it is given up, reading ends, or writing it to a caller that does not take it.
func (g *Gateway) beginResponse(out *callerResponse, resp *http.Response) *transfer.Use {
	return g.responses.Begin(func() {
		_ = resp.Body.Close() // the reader gets the error
		out.abandonWrite()
	})
}

// relayComplete reads the complete response before it writes any of it, so that the caller never gets
// a truncated one.
func (g *Gateway) relayComplete(ctx context.Context, out *callerResponse, h heldGrant, runID string, resp *http.Response, r *wire.ReleaseRequest) *Failure {
	held := g.beginResponse(out, resp)
	defer held.End()
	body, complete := readComplete(held, resp, json.Valid)
	if !complete {
		r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		if ctx.Err() != nil && g.cancelExecution(h.grant.GetAddress(), runID, h.endpoint, cancelTimeout) {
			r.Outcome = wire.Outcome_OUTCOME_REFUSED // it has ended, and its duration must not count as a service time
		}
		return &Failure{Code: CodeNoResponse, Ran: MayHaveRun, Message: "the response of " + h.endpoint + " was truncated or too large", RetryAfter: g.RetryAfter}
	}
	r.Outcome = wire.Outcome_OUTCOME_COMPLETED
	out.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	out.writeComplete(resp.StatusCode, body)
	return nil
}

const (
	maxResumes  = 3
	resumeDelay = 50 * time.Millisecond
)

var (
	dataPrefix = []byte("data:")
	donePrefix = []byte("data: [DONE]")
)

// streamRun is an execution whose events are relayed.
type streamRun struct {
	request   *request
	held      heldGrant
	sentAt    time.Time
	runID     string // the engine's ID of the execution
	bootID    string // of the engine when the execution began
	resetIdle func() // restarts the idle timeout
}

// relayStream relays events as they arrive. A stream that breaks off is resumed through the engine's
// resume API: the same execution, from the event after the last one relayed.
func (g *Gateway) relayStream(ctx context.Context, out *callerResponse, s streamRun, resp *http.Response, r *wire.ReleaseRequest) *Failure {
	out.Header().Set("Content-Type", "text/event-stream")
	h, runID := s.held, s.runID
	s.bootID = resp.Header.Get(engine.BootHeader)
	reported := !h.grant.GetReportFirstToken()
	events, done := copyEvents(out, resp.Body, 0, func(line []byte) {
		s.resetIdle()
		if bytes.HasPrefix(line, dataPrefix) {
			g.responseBegan(s.request)
		}
		if !reported && bytes.HasPrefix(line, dataPrefix) {
			reported = true
			took := clock.Since(s.sentAt)
			r.FirstTokenMicros = took.Microseconds()
			g.reportFirstToken(h, took)
		}
	})
	for range maxResumes {
		if done || out.callerGone || ctx.Err() != nil {
			break
		}
		g.Log.Info("Stream broke off; resuming", "request", runID, "endpoint", h.endpoint, "events", events)
		events, done = g.resume(ctx, out, s, events)
	}
	if done {
		r.Outcome = wire.Outcome_OUTCOME_COMPLETED
		return nil
	}
	r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	if (out.callerGone || ctx.Err() != nil) && g.cancelExecution(h.grant.GetAddress(), runID, h.endpoint, cancelTimeout) {
		r.Outcome = wire.Outcome_OUTCOME_REFUSED // as in relayComplete
	}
	return &Failure{Code: CodeTruncated, Ran: MayHaveRun, Message: "the stream of " + h.endpoint + " broke off", RetryAfter: g.RetryAfter}
}

// resume reopens the stream of an execution and relays the remaining events; events is the number
// relayed so far. It returns the same as copyEvents.
func (g *Gateway) resume(ctx context.Context, out *callerResponse, s streamRun, events int) (int, bool) {
	sleep(ctx, resumeDelay)
	resumeCtx, cancel := context.WithCancel(engine.WithAbandon(ctx))
	defer cancel()
	timer := time.AfterFunc(g.Timeouts.Idle, cancel)
	defer timer.Stop()
	address := fmt.Sprintf("http://%s/cairn/streams/%s?from=%d", s.held.grant.GetAddress(), url.PathEscape(s.runID), events)
	req, err := http.NewRequestWithContext(resumeCtx, http.MethodGet, address, nil)
	if err != nil {
		return events, false
	}
	resp, err := engine.Call(g.EngineClient, req, clock.Now().Add(g.Timeouts.Resume))
	if err != nil {
		return events, false
	}
	defer resp.Body.Close()
	if boot := resp.Header.Get(engine.BootHeader); boot != s.bootID { // it may run other software since
		g.Log.Info("Stream is not resumed: its engine has restarted", "request", s.runID, "endpoint", s.held.endpoint, "boot", boot, "boot_before", s.bootID)
		return events, false
	}
	resumed := resp.IsIdentified() && resp.StatusCode == http.StatusOK && resp.Header.Get(engine.EventsHeader) == strconv.Itoa(events)
	if !resumed {
		return events, false
	}
	return copyEvents(out, resp.Body, events, func([]byte) { timer.Reset(g.Timeouts.Idle) })
}

// maxEventBytes limits one event of a stream.
const maxEventBytes = 1 << 20

// copyEvents relays complete events up to the closing one; one that breaks off in the middle, or is longer than maxEventBytes, is
// dropped and ends the stream. It calls onLine for each line. It returns events plus the number relayed, and whether the
// closing event was relayed.
func copyEvents(out *callerResponse, body io.Reader, events int, onLine func(line []byte)) (int, bool) {
	in := bufio.NewReader(body)
	var event []byte
	lineStart := 0 // start of the last line of event: a long one arrives in pieces
	for {
		piece, err := in.ReadSlice('\n')
		event = append(event, piece...)
		if len(event) > maxEventBytes || (err != nil && err != bufio.ErrBufferFull) {
			return events, false
		}
		if err != nil {
			continue
		}
		line := event[lineStart:]
		lineStart = len(event)
		onLine(line)
		if len(bytes.TrimSpace(line)) > 0 {
			continue
		}
		if _, err := out.Write(event); err != nil {
			return events, false
		}
		if bytes.HasPrefix(event, donePrefix) {
			out.flush()
			return events, true
		}
		if bytes.HasPrefix(event, dataPrefix) {
			events++
		}
		event, lineStart = event[:0], 0
		if in.Buffered() == 0 {
			out.flush()
		}
	}
}
