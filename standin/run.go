// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// run is one request inside the engine. Its tokens are kept so that a reader
// that lost its connection can resume.
type run struct {
	request  string
	model    string // the adapter's name as asked for
	content  string // what the slot held when the run began
	priority int
	tokens   int // to produce
	prefill  int // steps left before the first token; only the engine's step changes it

	mu       sync.Mutex
	produced int
	readers  int
	alone    time.Time // since when it has no reader
	endedAt  time.Time // zero while it runs
	failure  error     // why it ended early
	changed  chan struct{}
}

func newRun(request, model, content string, priority, tokens int) *run {
	return &run{
		request:  request,
		model:    model,
		content:  content,
		priority: priority,
		tokens:   tokens,
		alone:    time.Now(),
		changed:  make(chan struct{}),
	}
}

// token returns the text of the n-th token: it names the adapter's content and
// the request, so that a reader can tell whose answer it reads.
func (r *run) token(n int) string { return fmt.Sprintf("%s/%s/%d ", r.content, r.request, n) }

// produce adds one token and ends the run after the last.
func (r *run) produce(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.endedAt.IsZero() {
		return
	}
	if r.prefill > 0 {
		r.prefill--
		return
	}
	r.produced++
	if r.produced == r.tokens {
		r.endedAt = now
	}
	r.wakeLocked()
}

// finish ends the run early.
func (r *run) finish(failure error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.endedAt.IsZero() {
		return
	}
	r.endedAt = time.Now()
	r.failure = failure
	r.wakeLocked()
}

func (r *run) wakeLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.endedAt.IsZero()
}

// abandoned tells whether the run has gone without a reader for too long.
func (r *run) abandoned(now time.Time, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedAt.IsZero() && r.readers == 0 && now.Sub(r.alone) > window
}

// forgettable tells whether the run ended longer than window ago.
func (r *run) forgettable(now time.Time, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.endedAt.IsZero() && r.readers == 0 && now.Sub(r.endedAt) > window
}

func (r *run) join() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

func (r *run) part() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.alone = time.Now()
}

// errRunning says that a run has not ended.
var errRunning = errors.New("running")

// progress returns how many tokens there are, a channel that closes at the next
// change, and errRunning, nil or the failure.
func (r *run) progress() (int, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endedAt.IsZero() {
		return r.produced, r.changed, errRunning
	}
	return r.produced, r.changed, r.failure
}
