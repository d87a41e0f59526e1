// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"maps"
	"strings"
	"time"

	"cairnwick.example/logging"
)

// contextWindow limits the context of a request: related lines within this time before and after its
// own lines are all printed. Outside the window, only the nearest line of each kind is.
const contextWindow = 2 * time.Second

// requestTimeline collects what the logs of several boxes say about one request.
type requestTimeline struct {
	request     string
	names       map[string]bool // endpoints and adapters related to the request
	boxes       map[string]bool // boxes that logged the request's own lines
	first, last time.Time       // times of the first and the last own line
	ownLines    int             // number of own lines
}

// newTimeline collects a request's own lines and the endpoints, adapters and boxes related to it.
func newTimeline(lines []logging.Line, request string) *requestTimeline {
	timeline := &requestTimeline{request: request, names: make(map[string]bool), boxes: make(map[string]bool)}
	for _, l := range lines {
		if l.Text("request") != request {
			continue
		}
		if timeline.ownLines++; timeline.ownLines == 1 {
			timeline.first = l.Time()
		}
		timeline.last = l.Time()
		timeline.names[l.Text("endpoint")] = true
		timeline.names[l.Text("adapter")] = true
		timeline.boxes[l.Text("box")] = true
	}
	timeline.addLoadEndpoints(lines)
	delete(timeline.names, "")
	delete(timeline.boxes, "")
	return timeline
}

// addLoadEndpoints adds the endpoints that loaded or unloaded the request's adapter within the context
// window, since the lines of a refused request name no endpoint.
func (s *requestTimeline) addLoadEndpoints(lines []logging.Line) {
	adapters := maps.Clone(s.names)
	for _, l := range lines {
		a := l.Text("adapter")
		inWindow := !l.Time().Before(s.first.Add(-contextWindow)) && !l.Time().After(s.last.Add(contextWindow))
		if a != "" && adapters[a] && inWindow && l.Text("request") == "" {
			s.names[l.Text("endpoint")] = true
		}
	}
}

// related reports whether a line is related to the request: whether it names one of its
// endpoints or adapters, or is about the state of one of its boxes. A line that names no
// endpoint, adapter or request is about the box itself.
func (s *requestTimeline) related(l logging.Line) bool {
	endpoint, adapter := l.Text("endpoint"), l.Text("adapter")
	switch {
	case l.Message() == logging.LinesDroppedMessage:
		return true // lines about the request may be missing there, whichever box dropped them
	case l.Text("request") != "":
		return false
	case endpoint+adapter != "":
		return s.names[endpoint] || s.names[adapter]
	}
	return s.boxes[l.Text("box")]
}

// lineKey returns a key that is equal for lines with the same message about the same things by the
// same box.
func lineKey(l logging.Line) string {
	return strings.Join([]string{l.Message(), l.Text("box"), l.Text("endpoint"), l.Text("adapter"), l.Text("collection"), l.Text("led_data_centre")}, "\n")
}

// selectLines returns the lines to print, in order.
func (s *requestTimeline) selectLines(lines []logging.Line) []logging.Line {
	before := make(map[string]int) // index of the last line of each kind before the window
	after := make(map[string]int)  // index of the first line of each kind after the window
	from, to := s.first.Add(-contextWindow), s.last.Add(contextWindow)
	for i, l := range lines {
		switch {
		case !s.related(l):
		case l.Time().Before(from):
			before[lineKey(l)] = i
		case l.Time().After(to) && after[lineKey(l)] == 0:
			after[lineKey(l)] = i
		}
	}
	var selected []logging.Line
	for i, l := range lines {
		inWindow := !l.Time().Before(from) && !l.Time().After(to)
		switch {
		case l.Text("request") == s.request,
			s.related(l) && (inWindow || before[lineKey(l)] == i || after[lineKey(l)] == i):
			selected = append(selected, l)
		}
	}
	return selected
}

// changeKey returns a key of the store change that a line reports; empty if it reports none. Every
// box logs a change when it learns of it, and these lines have the same key.
func changeKey(l logging.Line) string {
	if l.Text("revision") == "" {
		return ""
	}
	return strings.Join([]string{l.Message(), l.Text("endpoint"), l.Text("adapter"), l.Text("revision")}, "\n")
}

// printRequest prints the request's own lines, marked ">", and between them the changes of its
// endpoints and adapters and of the state of its boxes. A change that several other boxes
// logged is printed once. It returns the number of the request's own lines.
func printRequest(out io.Writer, lines []logging.Line, request string) int {
	timeline := newTimeline(lines, request)
	if timeline.ownLines == 0 {
		return 0
	}
	selected := timeline.selectLines(lines)
	others := make(map[string][]time.Time) // store change -> times when other boxes logged it
	for _, l := range selected {
		if key := changeKey(l); key != "" && !timeline.boxes[l.Text("box")] {
			others[key] = append(others[key], l.Time())
		}
	}
	printed := make(map[string]bool)
	for _, l := range selected {
		prefix, note := "    ", ""
		key := changeKey(l)
		switch {
		case l.Text("request") == request:
			prefix = "  > "
		case key == "" || timeline.boxes[l.Text("box")]:
		case printed[key]:
			continue
		default:
			printed[key] = true
			note = otherBoxesNote(others[key])
		}
		fmt.Fprintf(out, "%s%s %s%s\n", prefix, l.Time().Format(timeFormat), formatLine(l), note)
	}
	return timeline.ownLines
}

// timeFormat is the format of times.
const timeFormat = "15:04:05.000"

// otherBoxesNote returns a note of how many more boxes logged a change, and until when.
func otherBoxesNote(times []time.Time) string {
	if len(times) < 2 {
		return ""
	}
	return fmt.Sprintf("  (and at %d more boxes until %s)", len(times)-1, times[len(times)-1].Format(timeFormat))
}

// formatLine formats a line as its message and fields.
func formatLine(l logging.Line) string {
	var b strings.Builder
	b.WriteString(l.Message())
	for _, n := range l.FieldNames() {
		if v := l.Text(n); v != "" && n != "role" && n != "request" {
			fmt.Fprintf(&b, "  %s=%s", n, v)
		}
	}
	return b.String()
}
