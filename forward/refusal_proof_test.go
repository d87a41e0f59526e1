// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"cairnwick.example/forward/origin"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// promises are the statuses that say that a request was not executed.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// proofs are the attempts that have a proof that they were not executed.
var proofs = []string{"rejected", "misdirected", "not-loaded", "unreachable"}

// heldBound is a bound of the memory for responses, in bytes; zero is none.
const heldBound = 64 << 10

// refusalEnd is a line of testdata/refusals.txt that says how a request ends.
type refusalEnd struct {
	name       string
	status     int  // if all attempts have a proof
	retryAfter bool // the same
}

// refusalCases are the lines of testdata/refusals.txt.
type refusalCases struct {
	attempts [][]string
	ends     []refusalEnd
	during   []string
}

func readRefusalCases(c *quicktest.C) (k refusalCases) {
	raw, err := os.ReadFile("testdata/refusals.txt")
	c.Assert(err, quicktest.IsNil)
	for line := range strings.Lines(string(raw)) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		switch words[0] {
		case "attempts":
			k.attempts = append(k.attempts, words[1:])
		case "during":
			k.during = append(k.during, words[1])
		case "end":
			e := refusalEnd{name: words[1], retryAfter: words[3] == "retry"}
			_, err = fmt.Sscan(words[2], &e.status)
			c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", line))
			k.ends = append(k.ends, e)
		default:
			c.Fatalf("unknown line: %s", line)
		}
	}
	return k
}

// readHead reads the head of a response; nil if the connection ends before.
func readHead(conn net.Conn) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body) // it may be cut off
	return resp
}

// proofRoutes returns routes of all kinds. The number of attempts that a route allows is no reason to execute a request twice that may
// run once.
func proofRoutes(timeout time.Duration) []topology.RouteSpec {
	once, stream, resumable, repeatable := onceRoute(timeout), resumableRoute(timeout), resumableRoute(timeout), repeatableRoute(timeout)
	stream.Name, stream.Resumable = "stream", false
	routes := []topology.RouteSpec{once, stream, resumable, repeatable}
	for i := range routes {
		routes[i].MaxAttempts = 3
	}
	return routes
}

// Guards against refusals that promise that a request was not executed after an attempt that may have been, and against requests that
// get no such promise although each of their attempts has a proof.
func TestPromisesFollowFromProofsOnly(t *testing.T) {
	k := readRefusalCases(quicktest.New(t))
	for _, attempts := range k.attempts {
		for _, end := range k.ends {
			timeout, bounds := testTimeout, []int64{heldBound}
			switch end.name {
			case "deadline":
				timeout = 300 * time.Millisecond // each takes that long
			case "owner-fails":
				timeout = unavailableRetryAfter // or the request waits for an owner that may come back in time
			case "limit", "shutdown", "caller-leaves":
				bounds = append(bounds, 0)
			}
			for _, r := range proofRoutes(timeout) {
				t.Run(fmt.Sprintf("%s/%s/%s", r.Name, strings.Join(attempts, "-"), end.name), func(t *testing.T) {
					t.Parallel()
					for _, held := range bounds {
						x := newRefusalScript(t, r, attempts, held)
						x.end = end.name
						if end.name == "no-retries" {
							x.site.gateway.RetryLimits = func() RetryLimits { return RetryLimits{Window: time.Second} }
						}
						x.check(x.ask(t, ""), end)
					}
				})
			}
		}
	}
}

// check checks the response to a request against the proofs of its attempts.
func (x *refusalScript) check(resp *http.Response, end refusalEnd) {
	c := x.site.c
	made, extra := x.taken()
	comment := quicktest.Commentf("attempts %v, response %v", made, resp)
	unproven := slices.IndexFunc(made, func(a string) bool { return !slices.Contains(proofs, a) })
	route := x.site.gateway.View.Config().Route("site.example", "/")
	if unproven >= 0 {
		c.Check(resp != nil && slices.Contains(promises, resp.StatusCode), quicktest.IsFalse, comment)
		if !route.IsReexecutable() {
			c.Check(unproven, quicktest.Equals, len(made)-1, comment)
			c.Check(extra, quicktest.Equals, 0, comment)
		}
		return
	}
	if end.name != "no-retries" { // one of an attempt that was not sent needs none, and is rejected
		c.Check(extra, quicktest.Equals, 0, comment)
	}
	c.Assert(resp, quicktest.IsNotNil, comment)
	c.Check(resp.StatusCode, quicktest.Equals, end.status, comment)
	c.Check(resp.Header.Get("Test-Retry-After") != "", quicktest.Equals, end.retryAfter, comment)
	if end.status != http.StatusBadGateway { // that is a panic's
		c.Check(x.admits.refunded, quicktest.Equals, 1.0, comment)
	}
}

// Guards against a promise to a caller who continues a stream, if the software that began it is gone after an attempt without a proof.
func TestStreamThatCanNoLongerGoOnGetsNoPromiseAfterAnAttempt(t *testing.T) {
	for _, k := range []struct {
		attempts []string
		status   int
	}{
		{attempts: []string{"rejected"}, status: http.StatusServiceUnavailable},
		{attempts: []string{"dropped"}, status: http.StatusBadGateway},
		{attempts: []string{"dropped", "rejected"}, status: http.StatusBadGateway},
		{attempts: []string{"rejected", "stream-cut"}, status: http.StatusBadGateway},
	} {
		x := newRefusalScript(t, proofRoutes(testTimeout)[2], k.attempts, heldBound)
		x.end = "software-gone"
		began := origin.Of(x.site.gateway.View.Endpoint("e1"))
		x.site.gateway.Origins.StreamBegan(origin.Key{}, began, time.Minute) // known without a key
		resp := x.ask(t, "Test-Last-Event-Id: 2\r\n")
		made, _ := x.taken()
		x.site.c.Check(made, quicktest.DeepEquals, k.attempts)
		x.site.c.Assert(resp, quicktest.IsNotNil)
		x.site.c.Check(resp.StatusCode, quicktest.Equals, k.status)
		x.site.c.Check(resp.Header.Get("Test-Retry-After"), quicktest.Equals, "") // no time is known at which it could go on
	}
}

// Guards against a promise to a request that ended while an endpoint had it, or a moment after it was sent.
func TestRequestThatEndsDuringAnAttemptGetsNoPromise(t *testing.T) {
	k := readRefusalCases(quicktest.New(t))
	for _, end := range k.during {
		for _, r := range proofRoutes(300 * time.Millisecond) {
			for _, attempts := range [][]string{{"no-response"}, {"rejected", "no-response"}, {"not-loaded", "no-response"}, {"unreachable", "no-response"}} {
				t.Run(fmt.Sprintf("%s/%s/%s", r.Name, strings.Join(attempts, "-"), end), func(t *testing.T) {
					t.Parallel()
					for _, held := range []int64{0, heldBound} {
						x := newRefusalScript(t, r, attempts, held)
						x.during = end
						x.check(x.ask(t, ""), refusalEnd{})
						made, _ := x.taken()
						x.site.c.Check(made, quicktest.DeepEquals, attempts)
					}
				})
			}
		}
	}
}
