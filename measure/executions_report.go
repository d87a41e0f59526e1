// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"cairnwick.example/platform/platformtest"
)

// shownCases bounds the requests that a report shows in full.
const shownCases = 6

// byService counts requests of streams and of the plain service.
type byService struct{ streams, plain int }

func (n *byService) add(k executionKind) {
	if k.streams {
		n.streams++
	} else {
		n.plain++
	}
}

// executionsReport is the result of a run.
type executionsReport struct {
	spec     Executions
	requests int            // attempts of callers
	statuses map[string]int // attempts by what callers got
	refused  byService      // promised not to be executed, and executed
	twice    byService      // executed more than once, though at most once is allowed
	first    int            // refused ones that their first endpoint executed; the others were rejected there
	unproven int            // refused ones that an endpoint executed and refused without a proof
	foreign  int            // responses that belong to another request
	mixed    int            // responses that look complete, and are not what an endpoint meant to send
	counts   platformtest.WitnessCounts
	cases    []string
}

func (r *executionsRun) report() executionsReport {
	n := executionsReport{spec: r.Executions, requests: len(r.callers.calls), statuses: make(map[string]int), counts: r.witness.Counts()}
	var begun time.Time
	for i, c := range r.callers.calls {
		if i == 0 {
			begun = c.at
		}
		n.statuses[c.outcome()]++
		if c.foreign {
			n.foreign++
		}
		if c.mixed {
			n.mixed++
			if len(n.cases) < shownCases {
				n.cases = append(n.cases, describeCase("MIXED", c, r.witness.Attempts(c.id), begun))
			}
		}
		n.judge(c, r.witness.Attempts(c.id), begun)
	}
	return n
}

// outcome names what the caller got.
func (c *executionCall) outcome() string {
	switch {
	case c.status == 0:
		return "none"
	case c.broken:
		return "broken"
	}
	return fmt.Sprint(c.status)
}

// judge compares what the caller got with what the endpoints executed.
func (n *executionsReport) judge(c *executionCall, attempts []platformtest.Attempt, begun time.Time) {
	executed := 0
	for _, a := range attempts {
		if a.Executed {
			executed++
		}
	}
	refused := slices.Contains(promises, c.status) && executed > 0
	if !c.kind.atMostOnce || (!refused && executed < 2) {
		return
	}
	var broken []string
	if refused {
		n.refused.add(c.kind)
		if attempts[0].Executed {
			n.first++
		}
		if slices.ContainsFunc(attempts, func(a platformtest.Attempt) bool { return a.Executed && slices.Contains(promises, a.Status) }) {
			n.unproven++
		}
		broken = append(broken, "REFUSED")
	}
	if executed > 1 {
		n.twice.add(c.kind)
		broken = append(broken, "TWICE")
	}
	if len(n.cases) < shownCases {
		n.cases = append(n.cases, describeCase(strings.Join(broken, ", "), c, attempts, begun))
	}
}

func describeCase(broken string, c *executionCall, attempts []platformtest.Attempt, begun time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %s: %s %s at box %s, %.3f s: caller got %s %s\n", broken, c.kind.name, c.id, c.box, c.at.Sub(begun).Seconds(), c.outcome(), c.excerpt)
	for _, a := range attempts {
		fmt.Fprintf(&b, "    endpoint %s, %.3f s: executed=%t status=%d %s\n", a.Endpoint, a.At.Sub(begun).Seconds(), a.Executed, a.Status, a.Fault)
	}
	return b.String()
}

func (n executionsReport) breached() bool {
	return n.refused != byService{} || n.twice != byService{} || n.foreign > 0 || n.mixed > 0
}

// write writes the line of the run, and the first cases.
func (n executionsReport) write(w io.Writer) {
	var names []string
	for s := range n.statuses {
		names = append(names, s)
	}
	slices.Sort(names)
	var shares []string
	for _, s := range names {
		shares = append(shares, fmt.Sprintf("%s=%d (%.1f%%)", s, n.statuses[s], 100*float64(n.statuses[s])/float64(n.requests)))
	}
	fmt.Fprintf(w, "seed=%d boxes=%d endpoints=%d adapters=%d requests=%d %s foreign=%d MIXED=%d REFUSED=%d (streams %d, plain %d; first attempt executed %d, refusal by an endpoint without a proof %d) TWICE=%d (streams %d, plain %d)",
		n.spec.Seed, n.spec.Boxes, n.spec.Endpoints, n.spec.Adapters, n.requests, strings.Join(shares, " "), n.foreign, n.mixed,
		n.refused.streams+n.refused.plain, n.refused.streams, n.refused.plain, n.first, n.unproven, n.twice.streams+n.twice.plain, n.twice.streams, n.twice.plain)
	fmt.Fprintf(w, " attempts=%d executed=%d copies=%d rejections=%d (421: %d) unproven=%d broken_connections=%d crashes=%d orders=%d\n",
		n.counts.Attempts, n.counts.Executed, n.counts.Copies, n.counts.Rejected, n.counts.Misplaced, n.counts.Unproven, n.counts.Broken, n.counts.Crashes, n.counts.OrdersDone)
	for _, c := range n.cases {
		fmt.Fprint(w, c)
	}
}
