// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"sync"
	"time"
)

const (
	// answeredTTL is how long an answer keeps a request from being suspected: what many callers ask for, such as a page
	// that all of them open, is answered many times a minute.
	answeredTTL = time.Minute
	// maxAnswered bounds what is remembered; two full generations take 0.9 MB of heap. A box with
	// 100 requests a second remembers 40 s.
	maxAnswered = 4096
)

// AnsweredRequests is the requests that endpoints lately answered whole, so that they are not suspected: they did not end
// under those. It is safe for concurrent use; the zero value is empty.
type AnsweredRequests struct {
	mu   sync.Mutex
	seen *generationMap
}

// Add notes that an endpoint answered a request.
func (a *AnsweredRequests) Add(c Fingerprint, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initLocked()
	a.seen.put(string(c[:]), nil, now)
}

// Has tells whether an endpoint answered a request lately.
func (a *AnsweredRequests) Has(c Fingerprint, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initLocked()
	_, ok := a.seen.get(string(c[:]), now)
	return ok
}

func (a *AnsweredRequests) initLocked() {
	if a.seen == nil {
		a.seen = &generationMap{lifetime: answeredTTL, maxKeys: maxAnswered}
	}
}
