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

// around is how long before and after a request's lines every change of belief that
// concerns it is told; of what was before and came after, the nearest of each kind.
const around = 2 * time.Second

// requestStory is what the lines of several boxes tell of one request.
type requestStory struct {
	request     string
	names       map[string]bool // endpoints and adapters that its lines name
	boxes       map[string]bool // that wrote them
	first, last time.Time
	own         int // lines of its own
}

// storyOf finds a request's own lines.
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

// loaders adds the endpoints that were ordered to load or unload the request's adapter
// around it: a request that was refused names none.
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

// concerns tells whether a line tells a change about the endpoints and adapters of the
// request, or about its box: one that names neither, nor another request, is about what
// the box itself believes.
func (s *requestStory) concerns(l logging.Line) bool {
	endpoint, adapter := l.Text("endpoint"), l.Text("adapter")
	switch {
	case l.Message() == logging.LinesDroppedMessage:
		return true // the story may have a gap there, whichever box it is
	case l.Text("request") != "":
		return false
	case endpoint+adapter != "":
		return s.names[endpoint] || s.names[adapter]
	}
	return s.boxes[l.Text("box")]
}

// kind is what a line tells about what, by whom.
func kind(l logging.Line) string {
	return strings.Join([]string{l.Message(), l.Text("box"), l.Text("endpoint"), l.Text("adapter"), l.Text("collection"), l.Text("led_data_centre")}, "\n")
}

// chosen returns which lines the story tells.
func (s *requestStory) chosen(lines []logging.Line) []logging.Line {
	before := make(map[string]int) // the last of each kind before the request
	after := make(map[string]int)  // and the first after it
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

// news names a change of the store; empty where the line is none. Each box tells it as it
// hears it.
func news(l logging.Line) string {
	if l.Text("revision") == "" {
		return ""
	}
	return strings.Join([]string{l.Message(), l.Text("endpoint"), l.Text("adapter"), l.Text("revision")}, "\n")
}

// tellRequest prints the request's own lines, and between them what changed about the
// endpoints and adapters that they name and what its boxes believed. What other boxes heard
// of the same change is told once. It returns how many lines are the request's.
func tellRequest(out io.Writer, lines []logging.Line, request string) int {
	s := storyOf(lines, request)
	if s.own == 0 {
		return 0
	}
	list := s.chosen(lines)
	others := make(map[string][]time.Time) // when other boxes heard of a change
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

// clock is how times are told.
const clock = "15:04:05.000"

// also tells how many more boxes heard of a change, and until when.
func also(heard []time.Time) string {
	if len(heard) < 2 {
		return ""
	}
	return fmt.Sprintf("  (and at %d more boxes until %s)", len(heard)-1, heard[len(heard)-1].Format(clock))
}

// sentence is a line in one line of text.
func sentence(l logging.Line) string {
	var b strings.Builder
	b.WriteString(l.Message())
	for _, n := range l.FieldNames() {
		if v := l.Text(n); v != "" && n != "role" && n != "request" {
			fmt.Fprintf(&b, "  %s=%s", n, v)
		}
	}
	return b.String()
}
