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

// limits holds the rate limits that endpoints announced in responses to this gateway. A limit applies to
// all gateways together, so the endpoint's owner enforces it: each Acquire call passes it on. It is safe for
// concurrent use; the zero value is empty.
type limits struct {
	mu    sync.Mutex
	words map[string]ratelimit.Word // by endpoint, of those that announced a limit or whose owner enforces one
}

// hear records the limit that a response announced, or that it announced none; sent is when its request was
// sent. It reports whether the limit changed. An endpoint that announces no limit gets an entry only if its
// owner enforces one: another gateway received that, and the owner has to be told that it is over.
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

// of returns the last known limit of an endpoint, for its owner; nil: it has no entry.
func (l *limits) of(endpoint string, now time.Time) *wire.LimitWord {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, known := l.words[endpoint]
	if !known {
		return nil
	}
	return wire.NewLimitWord(endpoint, w, now)
}

// hearLimit records the rate limit in the headers of a response to a request sent under a grant.
func (g *Gateway) hearLimit(held heldGrant, h http.Header, sent, now time.Time) {
	l, err := ratelimit.Parse(h.Values(engine.LimitHeader))
	if err != nil {
		g.Log.V(1).Info("Endpoint's rate limit can't be parsed; keeping the last one", "endpoint", held.endpoint, "err", err.Error())
		return
	}
	if g.limits.hear(held.endpoint, l, held.grant.GetLimited(), sent, now) {
		g.Log.V(1).Info("Endpoint's rate limit changed", "endpoint", held.endpoint, "named", l.Named(), "a_second", l.Rate())
	}
}
