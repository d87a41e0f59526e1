// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"cairnwick.example/engine"
)

// lateRefusal is a response that refuses a request that has begun. None of them proves that the request did not run.
type lateRefusal struct {
	status int
	reason string // value of the reason header; empty: there is none
	kind   string // error type in the body
}

var lateRefusals = []lateRefusal{
	{status: http.StatusServiceUnavailable},
	{status: http.StatusTooManyRequests},
	{status: http.StatusRequestTimeout},
	{status: http.StatusMisdirectedRequest},
	{status: http.StatusServiceUnavailable, reason: "preempted"},
	{status: http.StatusTooManyRequests, reason: "overloaded"},
	{status: http.StatusServiceUnavailable, reason: "Busy"},
	{status: http.StatusInternalServerError, reason: string(engine.CodeBusy)},
	{status: http.StatusBadRequest, kind: "BadRequestError"},
	{status: http.StatusNotFound, kind: "NotFoundError"},
}

// LateRefuser has a server refuse a share of its requests after they have begun, chosen on a seed.
type LateRefuser struct {
	mu    sync.Mutex
	share float64
	rand  *rand.Rand
	count int // refusals sent
}

// next decides whether a request that has begun is refused, and returns how.
func (l *LateRefuser) next() (lateRefusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share == 0 || l.rand.Float64() >= l.share {
		return lateRefusal{}, false
	}
	l.count++
	return lateRefusals[l.rand.IntN(len(lateRefusals))], true
}

// set handles POST /control/refuse-late: share is that of the requests to refuse, from 0 to 1, and seed that of the choice.
func (l *LateRefuser) set(w http.ResponseWriter, q *http.Request) {
	share, err := strconv.ParseFloat(q.FormValue("share"), 64)
	if err != nil || share < 0 || share > 1 {
		http.Error(w, "share: must be a number from 0 to 1", http.StatusBadRequest)
		return
	}
	seed, err := strconv.ParseUint(q.FormValue("seed"), 10, 64)
	if err != nil {
		http.Error(w, "seed: must be a non-negative integer", http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share, l.rand, l.count = share, rand.New(rand.NewPCG(seed, 0)), 0
}

// showCount handles GET /control/refuse-late.
func (l *LateRefuser) showCount(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(w, "{\"refused\":%d}\n", l.count)
}

// write sends the refusal. Its body claims that the request did not run, as an error of a gateway does.
func (r lateRefusal) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", "1")
	if r.reason != "" {
		w.Header().Set(engine.ReasonHeader, r.reason)
	}
	w.WriteHeader(r.status)
	fmt.Fprintf(w, "{\"error\":{\"message\":\"refused after it began\",\"type\":%q,\"code\":\"overloaded\",\"ran\":\"not_run\"}}\n", r.kind)
}

// refuseLate refuses a run as r says once it has produced a token. The run goes on without a client.
func refuseLate(ctx context.Context, w http.ResponseWriter, r lateRefusal, x *run) {
	for {
		produced, changed, state := x.progress()
		if produced > 0 || state != errRunning {
			r.write(w)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
