// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"sync"
	"time"
)

const (
	// answeredTTL is how long a complete response clears a request of suspicion. Requests that many
	// callers send, such as for a popular page, are answered many times a minute.
	answeredTTL = time.Minute
	// maxAnswered bounds the entries of a generation. Two full generations take 0.9 MB of heap; at 100
	// requests per second one generation covers 40 s.
	maxAnswered = 4096
)

// AnsweredRequests remembers requests that endpoints recently answered completely. They did not
// terminate those endpoints, so they are not suspects. It is safe for concurrent use; the zero value
// is empty.
type AnsweredRequests struct {
	mu   sync.Mutex
	seen *generationMap
}

// Add records that an endpoint answered a request completely.
func (a *AnsweredRequests) Add(f Fingerprint, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initLocked()
	a.seen.put(string(f[:]), nil, now)
}

// Has reports whether an endpoint recently answered a request completely.
func (a *AnsweredRequests) Has(f Fingerprint, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initLocked()
	_, ok := a.seen.get(string(f[:]), now)
	return ok
}

func (a *AnsweredRequests) initLocked() {
	if a.seen == nil {
		a.seen = &generationMap{lifetime: answeredTTL, maxKeys: maxAnswered}
	}
}
