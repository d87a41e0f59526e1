// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairnwick.example/engine"
	"github.com/google/uuid"
)

// ExpectMark precedes, in a prompt, the adapter@version that the client
// expects, so that the engine can detect a run on the wrong version.
const ExpectMark = "expect:"

const defaultTokens = 16

// completion holds the fields of a request body that the engine uses.
type completion struct {
	Model    string          `json:"model"`
	Prompt   string          `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
	Tokens   int             `json:"max_tokens"`
	Stream   bool            `json:"stream"`
	Priority int             `json:"priority"`
}

// expected returns the adapter@version after ExpectMark, or "" if there is none.
func (q completion) expected() string {
	_, rest, found := strings.Cut(q.Prompt+string(q.Messages), ExpectMark)
	if !found {
		return ""
	}
	end := strings.IndexAny(rest, " \"\\")
	if end < 0 {
		return rest
	}
	return rest[:end]
}

func (e *Engine) complete(w http.ResponseWriter, q *http.Request) {
	for _, l := range e.LimitHeader() {
		w.Header().Add(engine.RateLimitHeader, l)
	}
	var body completion
	if err := json.NewDecoder(io.LimitReader(q.Body, 8<<20)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, engine.CodeBadRequest, err.Error())
		return
	}
	if body.Tokens <= 0 {
		body.Tokens = defaultTokens
	}
	if seconds := e.RetryAfter(); seconds != "" {
		w.Header().Set("Retry-After", seconds)
		writeError(w, http.StatusServiceUnavailable, engine.CodeBusy, "The engine is overloaded; retry after the time in Retry-After.")
		return
	}
	r, code := e.admit(q, body)
	if r == nil {
		writeError(w, httpStatus(code), code, fmt.Sprintf("Request for model `%s` rejected: %s.", body.Model, code))
		return
	}
	r.addReader()
	defer r.removeReader()
	if refusal, late := e.LateRefusals.next(); late {
		refuseLate(q.Context(), w, refusal, r)
		return
	}
	if body.Stream {
		stream(q.Context(), w, r, 0)
		return
	}
	writeFinal(q.Context(), w, r)
}

// admit queues a run, or returns the code to reject the request with.
func (e *Engine) admit(q *http.Request, body completion) (*run, engine.Code) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.slots[body.Model]
	if s == nil || s.loading {
		return nil, engine.CodeNotLoaded
	}
	if !e.leaving.IsZero() && e.RefusesNew {
		return nil, engine.CodeLeaving
	}
	if now := time.Now(); len(e.waiting) >= e.fragility.queueLimit(e.QueueLimit, now) {
		if e.fragility.reject(now) {
			e.resetLocked()
		}
		return nil, engine.CodeBusy
	}
	request := q.Header.Get(engine.RequestIDHeader)
	if request == "" || e.runs[request] != nil {
		request = uuid.NewString()
	}
	r := newRun(request, body.Model, s.content, body.Priority, body.Tokens)
	e.observeLocked(q, body, s)
	if e.prefixes.touch(body.Model, body.Prompt+string(body.Messages), time.Now()) {
		e.counts.PrefixHits++
	} else {
		r.prefill = e.PrefillSteps
	}
	if e.unfinishedLocked() >= e.BatchSize {
		e.counts.OverLimit++
	}
	e.runs[request] = r
	e.waiting = append(e.waiting, r)
	return r, ""
}

// observeLocked counts the run and the invariant violations that it reveals.
func (e *Engine) observeLocked(q *http.Request, body completion, s *slot) {
	e.counts.Runs++
	e.requestIDs = append(e.requestIDs, q.Header.Get(engine.RequestIDHeader))
	if want := body.expected(); want != "" && want != s.content {
		e.counts.WrongVersion++
	}
	if !e.leaving.IsZero() && time.Since(e.leaving) > e.LeavingGrace {
		e.counts.NewAfterLeaving++
	}
	if key := q.Header.Get(engine.KeyHeader); key != "" {
		e.keys[key]++
		if e.keys[key] > 1 {
			e.counts.RepeatedKeys++
		}
	}
}

// stream writes the run's tokens as server-sent events, starting with token from.
func stream(ctx context.Context, w http.ResponseWriter, r *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.EventsHeader, strconv.Itoa(from))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for n := from; ; {
		produced, changed, state := r.progress()
		for ; n < produced; n++ {
			writeEvent(w, r, n)
		}
		if state == nil {
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		}
		if state != errRunning {
			panic(http.ErrAbortHandler) // reset the connection, so that the client does not see a complete response
		}
		_ = flush.Flush()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func writeEvent(w io.Writer, r *run, n int) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":null}]}\n\n",
		r.request, r.model, r.token(n))
}

// writeFinal waits for the run to end and writes a single JSON response.
func writeFinal(ctx context.Context, w http.ResponseWriter, r *run) {
	for {
		produced, changed, state := r.progress()
		if state == nil {
			writeCompletion(w, r, produced)
			return
		}
		if state != errRunning {
			writeError(w, http.StatusInternalServerError, engine.CodeFailed, state.Error())
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func writeCompletion(w http.ResponseWriter, r *run, produced int) {
	var text strings.Builder
	for n := range produced {
		text.WriteString(r.token(n))
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n",
		r.request, r.model, text.String(), produced)
}

func (e *Engine) resume(w http.ResponseWriter, q *http.Request) {
	from, err := strconv.Atoi(q.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, engine.CodeBadRequest, "from: must be a non-negative integer")
		return
	}
	r := e.find(q.PathValue("request"))
	if r == nil {
		writeError(w, http.StatusNotFound, engine.CodeNotLoaded, "no run with this request ID")
		return
	}
	r.addReader()
	defer r.removeReader()
	e.mu.Lock()
	e.counts.Resumed++
	e.mu.Unlock()
	stream(q.Context(), w, r, from)
}

func (e *Engine) cancel(w http.ResponseWriter, q *http.Request) {
	r := e.find(q.PathValue("request"))
	if r != nil && !r.ended() {
		e.mu.Lock()
		e.counts.Cancelled++
		e.mu.Unlock()
		r.abort(errCancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) find(request string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}
