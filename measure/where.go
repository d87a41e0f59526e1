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

// Where tells from the boxes' debug logs where the time of requests went: by route, and
// with Seconds by second, how many were answered in time, and what the others lost most
// of their time on or ended with.
type Where struct {
	Logs    []string // paths; none: standard input
	Seconds bool     // by second of the first line too
}

// The parts of a request's time, and its ends without an answer by the log's reasons.
const (
	lostNothing = "in time"
	lostSlot    = "late: waited for a slot"
	lostLoad    = "late: waited for a load"
	lostOther   = "late: placed late otherwise"
	lostPrompt  = "late: until the first token"
	lostRetry   = "late: tried again"
)

// tally counts requests by what they lost their time on.
type tally map[string]int

// Run prints the tables.
func (w Where) Run(out io.Writer) error {
	log, err := readLogs(w.Logs)
	if err != nil {
		return err
	}
	routes, seconds, requests := make(map[string]tally), make(map[string]tally), 0
	var begun time.Time
	for _, l := range log.Lines() {
		if begun.IsZero() {
			begun = l.Time()
		}
		cause, ok := causeOf(l)
		if !ok {
			continue
		}
		requests++
		add(routes, l.Text("route"), cause)
		add(seconds, fmt.Sprintf("%4d", int(l.Time().Sub(begun).Seconds())), cause)
	}
	if requests == 0 {
		return errors.New("measure: no line tells of a request")
	}
	fmt.Fprintf(out, "%d requests; %d lines were not read\n\n", requests, log.Unparsed())
	if err := printTallies(out, "route", routes); err != nil || !w.Seconds {
		return err
	}
	fmt.Fprintln(out)
	return printTallies(out, "second", seconds)
}

func add(t map[string]tally, key, cause string) {
	if t[key] == nil {
		t[key] = make(tally)
	}
	t[key][cause]++
}

// causeOf tells what a request lost its time on; false where the line ends none.
func causeOf(l logging.Line) (string, bool) {
	switch l.Message() {
	case "Request failed":
		if l.Text("reason") == "no_route" {
			return "", false
		}
		return "not served: " + l.Text("reason"), true
	case "Request was answered":
		return lateFor(l), true
	}
	return "", false
}

// lateFor tells what an answered request spent the most time on, if it was late.
func lateFor(l logging.Line) string {
	first, target := milliseconds(l, "first_ms"), milliseconds(l, "target_ms")
	if target <= 0 || first <= target {
		return lostNothing
	}
	if milliseconds(l, "attempts") > 1 {
		return lostRetry
	}
	queued, waited, sent := milliseconds(l, "queued_ms"), milliseconds(l, "waited_ms"), milliseconds(l, "sent_ms")
	parts := map[string]int{lostSlot: queued, lostLoad: waited - queued, lostOther: sent - waited, lostPrompt: first - sent}
	most := lostPrompt
	for _, p := range slices.Sorted(maps.Keys(parts)) {
		if parts[p] > parts[most] {
			most = p
		}
	}
	return most
}

// milliseconds reads a field; zero where the line has none.
func milliseconds(l logging.Line, field string) int {
	n, err := strconv.Atoi(l.Text(field))
	if err != nil {
		return 0
	}
	return n
}

// printTallies prints a row for each key and a column for each cause, the commonest first.
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
