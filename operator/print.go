// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"fmt"
	"io"
	"time"

	"cairnwick.example/wire"
)

// reasonTexts explains the reasons of scheduling decisions.
var reasonTexts = map[wire.Reason]string{
	wire.Reason_REASON_ADAPTER_READY:   "the adapter was loaded and the batch had room",
	wire.Reason_REASON_AFTER_QUEUE:     "it ran after waiting for room in the batch",
	wire.Reason_REASON_AFTER_LOAD:      "it ran after its adapter was loaded",
	wire.Reason_REASON_NOT_OWNER:       "another scheduler owns the endpoint",
	wire.Reason_REASON_DEADLINE:        "the wait would have exceeded the limit of the class or the deadline",
	wire.Reason_REASON_QUEUE_FULL:      "too many requests were waiting",
	wire.Reason_REASON_LEAVING:         "the endpoint or the daemon was leaving",
	wire.Reason_REASON_LOAD_FAILED:     "the adapter could not be loaded",
	wire.Reason_REASON_UNKNOWN_ADAPTER: "the scheduler's configuration did not contain the adapter",
	wire.Reason_REASON_ENDPOINT_DOWN:   "the endpoint had not answered recently",
	wire.Reason_REASON_NOT_READY:       "ownership of the endpoint was not established",
	wire.Reason_REASON_NO_WAIT:         "the class may not wait and the batch had no room",
	wire.Reason_REASON_TRIAL:           "it was expected to be late, and shows whether the endpoint is still slow",
}

// ReasonText returns an explanation of a reason, or "" for an unknown one.
func ReasonText(r wire.Reason) string { return reasonTexts[r] }

// PrintDecisions writes the decisions on one request as text, with times relative to the
// first one.
func PrintDecisions(w io.Writer, list []*wire.Decision) {
	if len(list) == 0 {
		fmt.Fprintln(w, "No daemon has a decision on the request.")
		return
	}
	first := list[0].GetUnixMicros()
	for _, d := range list {
		at := time.Duration(d.GetUnixMicros()-first) * time.Microsecond
		fmt.Fprintf(w, "%9.3f ms  %s\n", float64(at.Microseconds())/1000, describe(d))
		for _, c := range d.GetCandidates() {
			fmt.Fprintf(w, "%14s%s: score %.2f%s\n", "", c.GetEndpoint(), c.GetScore(), describeCandidate(c))
		}
	}
}

func describe(d *wire.Decision) string {
	switch d.GetStep() {
	case "place":
		return fmt.Sprintf("%s used revision %d, resolved the model to %s for class %s and ranked %s first",
			d.GetBox(), d.GetRevision(), d.GetAdapter(), d.GetClass(), d.GetEndpoint())
	case "schedule":
		return fmt.Sprintf("%s decided on %s after %.3f ms: %s [%s]",
			d.GetBox(), d.GetEndpoint(), float64(d.GetWaitedMicros())/1000, ReasonText(d.GetReason()), d.GetReason())
	case "run":
		return fmt.Sprintf("%s attempted it on %s: %s", d.GetBox(), d.GetEndpoint(), d.GetDetail())
	}
	return fmt.Sprintf("%s returned the final response: %s", d.GetBox(), d.GetDetail())
}

func describeCandidate(c *wire.Candidate) string {
	if c.GetNote() == "" {
		return fmt.Sprintf(", state %.1f s old", float64(c.GetAgeMicros())/1e6)
	}
	return ", " + c.GetNote()
}
