// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cairnwick.example/platform/platformtest"
	"github.com/pkg/errors"
)

// executionKind is a kind of requests.
type executionKind struct {
	name       string
	path       string
	streams    bool
	atMostOnce bool
	weight     int // in all requests
	deadline   time.Duration
}

// executionKinds has the weights of a deployment whose most frequent kind is a stream that may not be resumed.
var executionKinds = []executionKind{
	{name: "once", path: "/once/x", streams: true, atMostOnce: true, weight: 297, deadline: 5 * time.Second},
	{name: "resume", path: "/resume/x", streams: true, weight: 85, deadline: 5 * time.Second},
	{name: "commit", path: "/commit/x", atMostOnce: true, weight: 95, deadline: time.Second},
	{name: "read", path: "/read/x", weight: 38, deadline: time.Second},
}

const (
	maxExecutionBody  = 14 << 10
	longBody          = 6 << 20     // more than the buffers of a connection hold
	longShare         = 0.01        // of requests to the plain service
	deadlineAllowance = time.Second // that a caller waits beyond the deadline
	crashingPart      = "bad7"
	crashingShare     = 0.002 // of streams that may not be resumed
	excerptBytes      = 160   // of the body of a failure
	maxDials          = 3     // at boxes that accept no connection
)

// promises are the statuses that promise that a request was not executed and will not be.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// executionCall is one attempt of a caller, with what the caller got.
type executionCall struct {
	id         string
	kind       executionKind
	box        string
	at         time.Time
	status     int    // zero: no response
	broken     bool   // the response broke off
	foreign    bool   // the response belongs to another request
	mixed      bool   // the response looks complete, and is not what an endpoint meant to send, or has no valid status
	excerpt    string // start of the body of a failure, or the error
	retryAfter time.Duration
}

// executionCallers send requests at a fixed rate.
type executionCallers struct {
	spec     Executions
	balancer *balancer
	http     http.Client

	mu     sync.Mutex
	random *rand.Rand
	next   int
	calls  []*executionCall
}

func newExecutionCallers(s Executions, b *balancer) *executionCallers {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 4 * time.Second, DisableCompression: true}
	return &executionCallers{spec: s, balancer: b, http: http.Client{Transport: transport}, random: rand.New(rand.NewPCG(s.Seed, 3))}
}

// run sends requests for the time of the run and waits for their responses.
func (c *executionCallers) run(ctx context.Context, crashPart string) {
	var running, checks sync.WaitGroup
	checking, stop := context.WithCancel(ctx)
	checks.Go(func() { c.balancer.run(checking) })
	defer checks.Wait()
	defer stop()
	begun := time.Now()
	for n := 0; ; n++ {
		due := begun.Add(time.Duration(float64(n) / c.spec.Rate * float64(time.Second)))
		if due.Sub(begun) > c.spec.Time || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		q := c.newRequest(crashPart)
		running.Go(func() { c.send(ctx, q) })
	}
	running.Wait()
	c.http.CloseIdleConnections()
}

// executionRequest is a request, which its caller may send twice, as two calls.
type executionRequest struct {
	kind    executionKind
	adapter string
	body    []byte
	prompt  string // parts
}

func (c *executionCallers) newRequest(crashPart string) executionRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := executionRequest{kind: c.chooseKindLocked(), body: bytes.Repeat([]byte("b"), c.random.IntN(maxExecutionBody))}
	q.adapter = adapterName(c.random.IntN(c.spec.adapterCount()))
	q.prompt = fmt.Sprintf("5c%x:568", c.random.IntN(4))
	if crashPart != "" && q.kind.streams && q.kind.atMostOnce && c.random.Float64() < crashingShare {
		q.prompt += "," + crashPart + ":300"
	}
	q.prompt += fmt.Sprintf(",e%x:1500", c.random.Uint32())
	if !q.kind.streams && c.spec.induces(faultBrokenResponses) && c.random.Float64() < longShare {
		q.body = bytes.Repeat([]byte("b"), longBody)
	}
	return q
}

func (c *executionCallers) chooseKindLocked() executionKind {
	total := 0
	for _, k := range executionKinds {
		total += k.weight
	}
	n := c.random.IntN(total)
	for _, k := range executionKinds {
		if n < k.weight {
			return k
		}
		n -= k.weight
	}
	return executionKinds[0]
}

// send sends a request, and once more after a promise.
func (c *executionCallers) send(ctx context.Context, q executionRequest) {
	first := c.call(ctx, q)
	if !slices.Contains(promises, first.status) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(first.retryAfter, q.kind.deadline/3)):
		c.call(ctx, q)
	}
}

// newCall chooses the ID and the box of an attempt.
func (c *executionCallers) newCall(q executionRequest) *executionCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	one := &executionCall{id: fmt.Sprintf("%016x", uint64(c.next)<<24|uint64(c.random.IntN(1<<24))), kind: q.kind, at: time.Now()}
	c.calls = append(c.calls, one)
	one.box = c.balancer.choose(c.random)
	return one
}

func (c *executionCallers) otherBox() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.choose(c.random)
}

// call sends one attempt. A box that accepts no connection is replaced by another one, as a load balancer does.
func (c *executionCallers) call(ctx context.Context, q executionRequest) *executionCall {
	one := c.newCall(q)
	ctx, cancel := context.WithTimeout(ctx, q.kind.deadline+deadlineAllowance)
	defer cancel()
	for range maxDials {
		resp, err := c.do(ctx, q, one)
		if err == nil {
			c.read(resp, one)
			break
		}
		one.excerpt = err.Error()
		var refused *net.OpError
		if !errors.As(err, &refused) || refused.Op != "dial" {
			break
		}
		one.box = c.otherBox()
	}
	return one
}

func (c *executionCallers) do(ctx context.Context, q executionRequest, one *executionCall) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+one.box+q.kind.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // net/http must not send it again by itself
	r.Host = "h.example"
	platformtest.SetAttemptID(r.Header, one.id)
	platformtest.SetDeadline(r.Header, q.kind.deadline)
	if q.kind.streams {
		platformtest.SetModel(r.Header, modelName+"/"+q.adapter, 2368, 24)
		platformtest.SetPrompt(r.Header, q.prompt)
		r.Header.Set("Accept", "text/event-stream")
	}
	return c.http.Do(r)
}

func (c *executionCallers) read(resp *http.Response, one *executionCall) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	one.status, one.broken = resp.StatusCode, err != nil
	one.foreign = !platformtest.Answers(resp.Header, one.id)
	isWhole := bytes.Equal(body, platformtest.WholeBody(one.kind.streams, one.id))
	one.mixed = resp.StatusCode < http.StatusOK || (resp.StatusCode < http.StatusMultipleChoices && err == nil && !isWhole)
	if resp.StatusCode != http.StatusOK {
		one.excerpt = fmt.Sprintf("%.*q", excerptBytes, body)
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err == nil {
		one.retryAfter = time.Duration(seconds * float64(time.Second))
	}
}
