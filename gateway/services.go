// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"

	"cairnwick.example/catalog"
	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/quarantine"
	"github.com/pkg/errors"
)

// call is one caller's call of a plain service, with its body in memory so
// that it can be sent again where that is allowed.
type call struct {
	id         string
	key        string
	service    catalog.Service
	method     string
	path       string // with its query
	header     http.Header
	body       []byte
	content    quarantine.Content
	repeatable bool
}

// serveService routes a call to a plain service.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w.Header().Set(RequestHeader, id)
	begun := clock.Now()
	c, f := g.readCall(w, r, id)
	out := &answer{writer: w, id: id}
	if f == nil {
		f = g.runKeyed(r.Context(), c.key, id, func() *Failure { return g.callService(r.Context(), c, out) })
	}
	if f != nil {
		g.finish(out, nil, id, begun, f)
		return
	}
	g.stats.Codes.Observe("ok", clock.Since(begun))
}

func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, id string) (*call, *Failure) {
	k := g.Catalog()
	if k == nil {
		return nil, noConfiguration()
	}
	s, ok := k.Service(r.PathValue("service"))
	if !ok {
		return nil, &Failure{Code: CodeUnknownService, Ran: NotRun, Message: "no service " + strconv.Quote(r.PathValue("service"))}
	}
	c := &call{id: id, service: s, method: r.Method, path: "/" + r.PathValue("path"), header: r.Header}
	c.repeatable = !s.NotRepeatable(r.Method, c.path) && r.Header.Get(RepeatableHeader) != "no"
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if !c.repeatable {
		key, f := keyOf(r)
		if f != nil {
			return nil, f
		}
		c.key = key
	}
	var f *Failure
	c.body, f = readBounded(w, r, g.MaxBody)
	if f != nil {
		return nil, f
	}
	c.content = quarantine.ContentOf(r.Method, s.Name(), c.path, r.Header.Get(CallerHeader), c.body)
	return c, nil
}

// callService sends a call to one address after another, as long as it provably
// did not run or may run again.
func (g *Gateway) callService(ctx context.Context, c *call, out *answer) *Failure {
	addresses := c.service.Addresses()
	var last *Failure
	unsure := false // an earlier attempt may have run
	for n, i := range rand.Perm(len(addresses)) {
		if n > 0 && !g.Retries.Take() {
			return last
		}
		last = g.quarantined(c.content)
		if last == nil {
			last = g.callAt(ctx, c, out, addresses[i])
		}
		if last != nil && unsure {
			last.Ran = Unknown
		}
		if last == nil || last.Code == CodeQuarantined || ctx.Err() != nil || !out.untouched() {
			return last
		}
		if last.Ran != NotRun && !c.repeatable {
			return last
		}
		unsure = last.Ran != NotRun
	}
	return last
}

func (g *Gateway) callAt(ctx context.Context, c *call, out *answer, address string) *Failure {
	e, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return badRequest("call: %v", err)
	}
	copyHeader(e.Header, c.header)
	e.Header.Set(engine.RequestIDHeader, c.id)
	if c.key != "" {
		e.Header.Set(engine.KeyHeader, c.key)
	}
	a, err := engine.Send(g.Engines, e, clock.Now().Add(g.Spans.Key))
	if err != nil {
		return g.lostCall(ctx, c, address, err)
	}
	defer a.Body.Close()
	body, whole := readWhole(a)
	if !whole {
		g.watchCall(ctx, c, address)
		return &Failure{Code: CodeLost, Ran: Unknown, Message: "the answer of " + c.service.Name() + " broke off", Retry: g.Spans.Retry}
	}
	g.Retries.Success()
	g.watch.Answered(c.content, clock.Now())
	copyHeader(out.Header(), a.Header)
	out.give(a.StatusCode, body)
	return nil
}

// watchCall has the address looked at that broke off an answer. Nothing tells the lives of a service
// apart that start at one address, so each call that is cut off stands for one.
func (g *Gateway) watchCall(ctx context.Context, c *call, address string) {
	if ctx.Err() == nil {
		g.watch.Cut(address+" under "+c.id, address, c.content)
	}
}

func (g *Gateway) lostCall(ctx context.Context, c *call, address string, err error) *Failure {
	ran := Unknown
	var l *engine.NoResponseError
	if errors.As(err, &l) && !l.Sent {
		ran = NotRun
	} else {
		g.watchCall(ctx, c, address)
	}
	return &Failure{Code: CodeLost, Ran: ran, Message: c.service.Name() + " gave no answer", Retry: g.Spans.Retry}
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	KeyHeader: true, // would let an HTTP client on the way send again by itself
}

func copyHeader(to, from http.Header) {
	for n, v := range from {
		if !hopHeaders[n] {
			to[n] = v
		}
	}
}
