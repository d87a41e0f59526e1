// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/http"
	"sync"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
)

// limits is what endpoints said to this gateway of how many requests they take from all gateways together.
// Each call for a grant tells it to the endpoint's owner, who counts. It is safe for concurrent use; the
// zero value knows nothing.
type limits struct {
	mu    sync.Mutex
	words map[string]ratelimit.Word // by endpoint; of those that named a limit once, or that are limited
}

// hear takes in what an answer says of a limit, whose request was sent at sent. It tells whether the limit
// is another one than before. Of an endpoint that names none and never did nothing is kept, unless its
// owner limits it, by the word of another gateway.
func (l *limits) hear(endpoint string, said ratelimit.Limit, limited bool, sent, now time.Time) bool {
	w := ratelimit.NewWord(said, sent, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.words[endpoint]
	if (!known && !limited && !said.Named()) || !w.At.After(before.At) {
		return false
	}
	if l.words == nil {
		l.words = make(map[string]ratelimit.Word)
	}
	l.words[endpoint] = w
	return before.Limit != said
}

// of returns what is known of an endpoint's limit, for its owner; nil: it never named one.
func (l *limits) of(endpoint string, now time.Time) *wire.LimitWord {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, known := l.words[endpoint]
	if !known {
		return nil
	}
	return wire.NewLimitWord(endpoint, w, now)
}

// hearLimit takes in what the head of an answer says, which a grant brought.
func (g *Gateway) hearLimit(held heldGrant, h http.Header, sent, now time.Time) {
	l, err := ratelimit.Parse(h.Values(engine.RateLimitHeader))
	if err != nil {
		g.Log.V(1).Info("Endpoint's limit can't be read; what was known before stays", "endpoint", held.endpoint, "err", err.Error())
		return
	}
	if g.limits.hear(held.endpoint, l, held.grant.GetLimited(), sent, now) {
		g.Log.V(1).Info("Endpoint names another limit than before", "endpoint", held.endpoint, "named", l.Named(), "a_second", l.Rate())
	}
}
