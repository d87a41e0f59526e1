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

// around is the context window: all related lines within this time before and after the
// request's own lines are printed. Outside the window, only the nearest line of each kind is.
const around = 2 * time.Second

// requestStory collects what the logs of several boxes say about one request.
type requestStory struct {
	request     string
	names       map[string]bool // endpoints and adapters related to the request
	boxes       map[string]bool // boxes that logged the request's own lines
	first, last time.Time       // times of the first and the last own line
	own         int             // number of own lines
}

// storyOf collects a request's own lines and the endpoints, adapters and boxes related to it.
func storyOf(lines []logging.Line, request string) *requestStory {
	s := &requestStory{request: request, names: make(map[string]bool), boxes: make(map[string]bool)}
	for _, l := range lines {
		if l.Text("request") != request {
			continue
		}
		if s.own++; s.own == 1 {
			s.first = l.Time()
		}
		s.last = l.Time()
		s.names[l.Text("endpoint")] = true
		s.names[l.Text("adapter")] = true
		s.boxes[l.Text("box")] = true
	}
	s.loaders(lines)
	delete(s.names, "")
	delete(s.boxes, "")
	return s
}

// loaders adds the endpoints that loaded or unloaded the request's adapter within the context
// window, since the lines of a refused request name no endpoint.
func (s *requestStory) loaders(lines []logging.Line) {
	adapters := maps.Clone(s.names)
	for _, l := range lines {
		a := l.Text("adapter")
		near := !l.Time().Before(s.first.Add(-around)) && !l.Time().After(s.last.Add(around))
		if a != "" && adapters[a] && near && l.Text("request") == "" {
			s.names[l.Text("endpoint")] = true
		}
	}
}

// concerns reports whether a line is related to the request: whether it names one of its
// endpoints or adapters, or is about the state of one of its boxes. A line that names no
// endpoint, adapter or request is about the box itself.
func (s *requestStory) concerns(l logging.Line) bool {
	endpoint, adapter := l.Text("endpoint"), l.Text("adapter")
	switch {
	case l.Message() == logging.LeftOut:
		return true // lines about the request may be missing there, whichever box dropped them
	case l.Text("request") != "":
		return false
	case endpoint+adapter != "":
		return s.names[endpoint] || s.names[adapter]
	}
	return s.boxes[l.Text("box")]
}

// kind returns a key that is equal for lines with the same message about the same things by the
// same box.
func kind(l logging.Line) string {
	return strings.Join([]string{l.Message(), l.Text("box"), l.Text("endpoint"), l.Text("adapter"), l.Text("collection"), l.Text("led_data_centre")}, "\n")
}

// chosen returns the lines to print, in order.
func (s *requestStory) chosen(lines []logging.Line) []logging.Line {
	before := make(map[string]int) // index of the last line of each kind before the window
	after := make(map[string]int)  // index of the first line of each kind after the window
	from, to := s.first.Add(-around), s.last.Add(around)
	for i, l := range lines {
		switch {
		case !s.concerns(l):
		case l.Time().Before(from):
			before[kind(l)] = i
		case l.Time().After(to) && after[kind(l)] == 0:
			after[kind(l)] = i
		}
	}
	var list []logging.Line
	for i, l := range lines {
		within := !l.Time().Before(from) && !l.Time().After(to)
		switch {
		case l.Text("request") == s.request,
			s.concerns(l) && (within || before[kind(l)] == i || after[kind(l)] == i):
			list = append(list, l)
		}
	}
	return list
}

// news returns a key of the store change that a line reports; empty if it reports none. Every
// box logs a change when it learns of it, and these lines have the same key.
func news(l logging.Line) string {
	if l.Text("revision") == "" {
		return ""
	}
	return strings.Join([]string{l.Message(), l.Text("endpoint"), l.Text("adapter"), l.Text("revision")}, "\n")
}

// tellRequest prints the request's own lines, marked ">", and between them the changes of its
// endpoints and adapters and of the state of its boxes. A change that several other boxes
// logged is printed once. It returns the number of the request's own lines.
func tellRequest(out io.Writer, lines []logging.Line, request string) int {
	s := storyOf(lines, request)
	if s.own == 0 {
		return 0
	}
	list := s.chosen(lines)
	others := make(map[string][]time.Time) // store change -> times when other boxes logged it
	for _, l := range list {
		if n := news(l); n != "" && !s.boxes[l.Text("box")] {
			others[n] = append(others[n], l.Time())
		}
	}
	told := make(map[string]bool)
	for _, l := range list {
		mark, more := "    ", ""
		n := news(l)
		switch {
		case l.Text("request") == request:
			mark = "  > "
		case n == "" || s.boxes[l.Text("box")]:
		case told[n]:
			continue
		default:
			told[n] = true
			more = also(others[n])
		}
		fmt.Fprintf(out, "%s%s %s%s\n", mark, l.Time().Format(clock), sentence(l), more)
	}
	return s.own
}

// clock is the format of times.
const clock = "15:04:05.000"

// also returns a note of how many more boxes logged a change, and until when.
func also(heard []time.Time) string {
	if len(heard) < 2 {
		return ""
	}
	return fmt.Sprintf("  (and at %d more boxes until %s)", len(heard)-1, heard[len(heard)-1].Format(clock))
}

// sentence formats a line as its message and fields.
func sentence(l logging.Line) string {
	var b strings.Builder
	b.WriteString(l.Message())
	for _, n := range l.Names() {
		if v := l.Text(n); v != "" && n != "role" && n != "request" {
			fmt.Fprintf(&b, "  %s=%s", n, v)
		}
	}
	return b.String()
}
