// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"cairnwick.example/logging"
	"github.com/pkg/errors"
)

// LatencyBreakdown analyses the latency of requests from the boxes' debug logs. By route, and by second if
// Seconds is set, it counts the requests answered in time, the late ones by the phase that took
// longest, and the failed ones by reason.
type LatencyBreakdown struct {
	Logs    []string // paths of the logs; empty: standard input
	Seconds bool     // also print a table by second since the first line
}

// The causes of late answers. Failed requests are counted under the reason that the log gives.
const (
	causeInTime = "in time"
	causeSlot   = "late: waited for a slot"
	causeLoad   = "late: waited for a load"
	causeOther  = "late: other delay before it was sent"
	causePrompt = "late: until the first token"
	causeRetry  = "late: retried"
)

// tally counts requests by cause.
type tally map[string]int

// Run prints the tables.
func (w LatencyBreakdown) Run(out io.Writer) error {
	log, err := readLogs(w.Logs)
	if err != nil {
		return err
	}
	routes, seconds, requests := make(map[string]tally), make(map[string]tally), 0
	var start time.Time
	for _, l := range log.Lines() {
		if start.IsZero() {
			start = l.Time()
		}
		cause, ok := requestCause(l)
		if !ok {
			continue
		}
		requests++
		increment(routes, l.Text("route"), cause)
		increment(seconds, fmt.Sprintf("%4d", int(l.Time().Sub(start).Seconds())), cause)
	}
	if requests == 0 {
		return errors.New("measure: the logs contain no requests")
	}
	fmt.Fprintf(out, "%d requests; %d lines skipped\n\n", requests, log.Unparsed())
	if err := printTallies(out, "route", routes); err != nil || !w.Seconds {
		return err
	}
	fmt.Fprintln(out)
	return printTallies(out, "second", seconds)
}

func increment(t map[string]tally, key, cause string) {
	if t[key] == nil {
		t[key] = make(tally)
	}
	t[key][cause]++
}

// requestCause returns the cause to count a request under; false if the line is not the end of a
// request, or if no route was found for it.
func requestCause(l logging.Line) (string, bool) {
	switch l.Message() {
	case "Request failed":
		if l.Text("reason") == "no_route" {
			return "", false
		}
		return "not served: " + l.Text("reason"), true
	case "Request was answered":
		return latenessCause(l), true
	}
	return "", false
}

// latenessCause returns the phase that took the longest in an answered request, or causeInTime if its
// first token came within the target. A request with several attempts counts as retried.
func latenessCause(l logging.Line) string {
	first, target := milliseconds(l, "first_ms"), milliseconds(l, "target_ms")
	if target <= 0 || first <= target {
		return causeInTime
	}
	if milliseconds(l, "attempts") > 1 {
		return causeRetry
	}
	queued, waited, sent := milliseconds(l, "queued_ms"), milliseconds(l, "waited_ms"), milliseconds(l, "sent_ms")
	phases := map[string]int{causeSlot: queued, causeLoad: waited - queued, causeOther: sent - waited, causePrompt: first - sent}
	longest := causePrompt
	for _, p := range slices.Sorted(maps.Keys(phases)) {
		if phases[p] > phases[longest] {
			longest = p
		}
	}
	return longest
}

// milliseconds reads a numeric field; zero if the line lacks it.
func milliseconds(l logging.Line, field string) int {
	n, err := strconv.Atoi(l.Text(field))
	if err != nil {
		return 0
	}
	return n
}

// printTallies prints a numbered list of the causes, most frequent first, and a table with a row
// for each key and a column for each cause.
func printTallies(out io.Writer, title string, rows map[string]tally) error {
	all := make(tally)
	for _, t := range rows {
		for c, n := range t {
			all[c] += n
		}
	}
	causes := slices.Collect(maps.Keys(all))
	slices.SortFunc(causes, func(a, b string) int { return cmp.Or(cmp.Compare(all[b], all[a]), cmp.Compare(a, b)) })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\t", title)
	for i, c := range causes {
		fmt.Fprintf(w, "%d\t", i+1)
		fmt.Fprintf(out, "%2d %s: %d\n", i+1, c, all[c])
	}
	fmt.Fprintln(w)
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		fmt.Fprintf(w, "%s\t", k)
		for _, c := range causes {
			fmt.Fprintf(w, "%d\t", rows[k][c])
		}
		fmt.Fprintln(w)
	}
	return errors.Wrap(w.Flush(), "measure")
}
