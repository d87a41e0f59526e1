// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

const leaderMetrics = `{"edge_held": 3, "edge_balance": {
	"endpoints": {"e2": {"slowdown": 2.345, "unread_tokens": 4000, "memory_tokens": 90000, "grants": 2}, "e1": {"slowdown": 1}},
	"slots": {"dc-1/llm": {"free": 4, "needed": 7.5, "released": 6, "reserved": 5.25}},
	"decisions": {"in time": 120}}}`

// printBalance returns the output for boxes with the given metrics, their addresses replaced by leader-0 and so on.
func printBalance(c *quicktest.C, metrics ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	args, names := []string{"balance"}, []string{}
	for i, text := range metrics {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }))
		c.Cleanup(s.Close)
		address := s.Listener.Addr().String()
		args, names = append(args, address), append(names, address, fmt.Sprintf("leader-%d", i))
	}
	code = run(args, &stdout, &stderr)
	r := strings.NewReplacer(names...)
	return code, r.Replace(stdout.String()), r.Replace(stderr.String())
}

func TestBalanceShowsEndpointsSlotsAndDecisions(t *testing.T) {
	c := quicktest.New(t)
	code, out, errs := printBalance(c, leaderMetrics, `{"edge_balance": {"endpoints": {}, "slots": {}, "decisions": {}}}`)
	c.Assert(code, quicktest.Equals, exitDone, quicktest.Commentf("%s", errs))
	var rows []string
	for _, line := range strings.Split(out, "\n") {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	c.Assert(rows, quicktest.DeepEquals, []string{
		"ENDPOINT LEADER SLOWDOWN UNREAD TOKENS MEMORY TOKENS GRANTS",
		"e1 leader-0 1.00 0 0 0",
		"e2 leader-0 2.35 4000 90000 2",
		"",
		"ADAPTER SLOTS OF LEADER FREE RESERVED NEEDED A SECOND RELEASED A SECOND",
		"dc-1/llm leader-0 4 5.2 7.5 6.0",
		"",
		"DECISION LEADER REQUESTS",
		"in time leader-0 120",
		"",
	})
}

// Guards against one silent or foreign address that hides what the others answered.
func TestBalanceReportsAddressesWithoutMetrics(t *testing.T) {
	c := quicktest.New(t)
	code, out, errs := printBalance(c, "not JSON", leaderMetrics)
	c.Assert(code, quicktest.Equals, exitUnreachable)
	c.Assert(out, quicktest.Contains, "e2")
	c.Assert(errs, quicktest.Contains, "no metrics from leader-0: not the metrics of a box")
	var stderr bytes.Buffer
	c.Assert(run([]string{"balance"}, &bytes.Buffer{}, &stderr), quicktest.Equals, exitUsage)
}
