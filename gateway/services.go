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

// serviceCall is a caller's call to a plain service. Its body is in memory, so that it can be retried
// if that is allowed.
type serviceCall struct {
	id         string
	key        string
	service    catalog.Service
	method     string
	path       string // including the query
	headers    http.Header
	body       []byte
	content    quarantine.Fingerprint
	repeatable bool
	status     int // of the response that was relayed
}

// ran says whether the call was executed, after f or the response that was relayed. A service states no proof that it did not run
// a call, whatever its status is, and only a success shows that it did.
func (c *serviceCall) ran(f *Failure) Ran {
	if f == nil && (c.status < http.StatusOK || c.status >= http.StatusMultipleChoices) {
		return MayHaveRun
	}
	return f.ran()
}

// serveService serves a call to a plain service.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w.Header().Set(RequestHeader, id)
	startedAt := clock.Now()
	c, f := g.parseServiceCall(w, r, id)
	out := &callerResponse{writer: w, id: id}
	if f == nil {
		f = g.runWithKey(r.Context(), c.key, id, func() (Ran, *Failure) {
			f := g.callService(r.Context(), c, out)
			return c.ran(f), f
		})
	}
	if f != nil {
		g.finishWithFailure(out, nil, id, startedAt, f)
		return
	}
	g.stats.CodeDuration.Observe("ok", clock.Since(startedAt))
}

// parseServiceCall parses a call to a plain service.
func (g *Gateway) parseServiceCall(w http.ResponseWriter, r *http.Request, id string) (*serviceCall, *Failure) {
	config := g.Catalog()
	if config == nil {
		return nil, noConfiguration()
	}
	s, ok := config.Service(r.PathValue("service"))
	if !ok {
		return nil, &Failure{Code: CodeUnknownService, Ran: NotRun, Message: "no service " + strconv.Quote(r.PathValue("service"))}
	}
	c := &serviceCall{id: id, service: s, method: r.Method, path: "/" + r.PathValue("path"), headers: r.Header}
	c.repeatable = !s.IsNonIdempotent(r.Method, c.path) && r.Header.Get(RepeatableHeader) != "no"
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if !c.repeatable {
		key, f := idempotencyKey(r)
		if f != nil {
			return nil, f
		}
		c.key = key
	}
	var f *Failure
	c.body, f = readLimited(w, r, g.MaxBody)
	if f != nil {
		return nil, f
	}
	c.content = quarantine.NewFingerprint(r.Method, s.Name(), c.path, "", c.body)
	return c, nil
}

// callService tries the addresses of a service in random order, as long as the call has provably not
// been executed or is repeatable, and the retry budget allows it. A single address is tried twice, since the service may have
// closed an idle connection just before it was used.
func (g *Gateway) callService(ctx context.Context, c *serviceCall, out *callerResponse) *Failure {
	addresses := c.service.Addresses()
	var last *Failure
	mayHaveRun := false // an earlier attempt may have been executed
	order := rand.Perm(len(addresses))
	if len(order) == 1 {
		order = append(order, order[0])
	}
	for n, i := range order {
		if n > 0 && !g.RetryBudget.Take() {
			return last
		}
		last = g.checkQuarantine(c.content, nil)
		if last == nil {
			last = g.sendServiceCall(ctx, c, out, addresses[i])
		}
		if last != nil && mayHaveRun {
			last.Ran = MayHaveRun
		}
		if last == nil || last.Code == CodeQuarantined || ctx.Err() != nil || out.started() {
			return last
		}
		if last.Ran != NotRun && !c.repeatable {
			return last
		}
		mayHaveRun = last.Ran != NotRun
	}
	return last
}

// sendServiceCall sends a call to one address and relays the response.
func (g *Gateway) sendServiceCall(ctx context.Context, c *serviceCall, out *callerResponse, address string) *Failure {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return badRequest("call: %v", err)
	}
	copyEndToEndHeaders(req.Header, c.headers)
	req.Header.Set(engine.RequestIDHeader, c.id)
	if c.key != "" {
		req.Header.Set(engine.KeyHeader, c.key)
	}
	resp, err := engine.Call(g.EngineClient, req, clock.Now().Add(g.Timeouts.KeyClaim))
	if err != nil {
		return g.serviceCallFailure(ctx, c, address, err)
	}
	defer resp.Body.Close()
	held := g.beginResponse(out, resp.Response)
	defer held.End()
	body, complete := readComplete(held, resp.Response, func(body []byte) bool { return len(body) > 0 })
	if !complete {
		g.reportBrokenCall(ctx, c, address)
		return &Failure{Code: CodeNoResponse, Ran: MayHaveRun, Message: "the response of " + c.service.Name() + " was truncated or too large", RetryAfter: g.RetryAfter}
	}
	g.RetryBudget.RecordSuccess()
	g.watcher.RecordResponse(c.content, clock.Now())
	c.status = resp.StatusCode
	copyEndToEndHeaders(out.Header(), resp.Header)
	out.Header().Set(RequestHeader, c.id)
	out.Header().Set(RanHeader, string(c.ran(nil)))
	out.writeComplete(resp.StatusCode, body)
	return nil
}

// reportBrokenCall has the termination detector check an address that broke off a response. Incarnations of a
// service at one address cannot be distinguished, so each call that breaks off counts as one of its own.
func (g *Gateway) reportBrokenCall(ctx context.Context, c *serviceCall, address string) {
	if ctx.Err() == nil {
		g.watcher.RecordInterruption(address+" under "+c.id, address, quarantine.Suspect{Content: c.content, Service: c.service.Name()})
	}
}

// serviceCallFailure returns the failure of a call that got no response.
func (g *Gateway) serviceCallFailure(ctx context.Context, c *serviceCall, address string, err error) *Failure {
	ran := MayHaveRun
	var lost *engine.NoResponseError
	if errors.As(err, &lost) && !lost.Sent {
		ran = NotRun
	} else {
		g.reportBrokenCall(ctx, c, address)
	}
	return &Failure{Code: CodeNoResponse, Ran: ran, Message: c.service.Name() + " sent no response", RetryAfter: g.RetryAfter}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	KeyHeader: true, // with it, net/http and other clients retry a request by themselves
}

func copyEndToEndHeaders(to, from http.Header) {
	for n, v := range from {
		if !hopByHopHeaders[n] {
			to[n] = v
		}
	}
}
