// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// run is the execution of a request. Its tokens can be produced again, so that a
// client that lost its connection can resume the stream.
type run struct {
	request  string
	model    string // adapter name as requested
	content  string // content of the slot when the run was admitted
	priority int
	tokens   int // number to produce
	prefill  int // steps left before the first token; changed only by the engine's step

	mu        sync.Mutex
	produced  int
	readers   int
	idleSince time.Time // since when it has had no reader
	endedAt   time.Time // zero while running
	failure   error     // why it ended early; nil if it completed
	changed   chan struct{}
}

func newRun(request, model, content string, priority, tokens int) *run {
	return &run{
		request:   request,
		model:     model,
		content:   content,
		priority:  priority,
		tokens:    tokens,
		idleSince: time.Now(),
		changed:   make(chan struct{}),
	}
}

// token returns the text of the n-th token. It names the adapter's content and
// the request, so that clients can check that a response is their own.
func (r *run) token(n int) string { return fmt.Sprintf("%s/%s/%d ", r.content, r.request, n) }

// produce adds a token and ends the run after the last one. During prefill it adds none.
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

// abort ends the run before its last token.
func (r *run) abort(failure error) {
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

// abandoned reports whether an unfinished run has had no reader for longer than window.
func (r *run) abandoned(now time.Time, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedAt.IsZero() && r.readers == 0 && now.Sub(r.idleSince) > window
}

// expired reports whether the run ended longer than window ago and has no reader.
func (r *run) expired(now time.Time, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.endedAt.IsZero() && r.readers == 0 && now.Sub(r.endedAt) > window
}

func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

func (r *run) removeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.idleSince = time.Now()
}

// errRunning is the state of an unfinished run.
var errRunning = errors.New("running")

// progress returns the number of tokens produced, a channel that is closed at the
// next change, and the state: errRunning, nil after completion, or the failure.
func (r *run) progress() (int, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endedAt.IsZero() {
		return r.produced, r.changed, errRunning
	}
	return r.produced, r.changed, r.failure
}
