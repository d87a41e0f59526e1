// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"
)

// Line is one line of a daemon's log.
type Line struct {
	time    time.Time
	message string
	fields  map[string]any // all of them, those above too
	raw     string
}

// Time returns when the line was written, by its box's clock.
func (l Line) Time() time.Time { return l.time }

// Message returns the sentence.
func (l Line) Message() string { return l.message }

// Text returns a field as text; empty when there is none.
func (l Line) Text(name string) string {
	switch v := l.fields[name].(type) {
	case string:
		return v
	case nil:
		return ""
	default:
		raw, err := json.Marshal(v)
		if err != nil {
			return "" // decoded JSON always marshals
		}
		return string(raw)
	}
}

// FieldNames returns the names of the fields besides time, level and message, sorted.
func (l Line) FieldNames() []string {
	var names []string
	for n := range l.fields {
		if n != "time" && n != "level" && n != "msg" {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// Log is what was read of some daemons' logs.
type Log struct {
	lines      []Line
	seen       map[string]bool
	unparsed   int
	duplicates int
}

// Lines returns the lines by time.
func (g *Log) Lines() []Line {
	slices.SortStableFunc(g.lines, func(a, b Line) int { return a.time.Compare(b.time) })
	return g.lines
}

// Unparsed returns how many lines were no line of ours, or cut.
func (g *Log) Unparsed() int { return g.unparsed }

// Duplicates returns how many lines came more than once.
func (g *Log) Duplicates() int { return g.duplicates }

// maxLineBytes bounds one line, in bytes; a longer one is foreign.
const maxLineBytes = 1 << 20

// Read adds the lines of r. What a collector put in front of a line is passed over.
func (g *Log) Read(r io.Reader) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		raw, err := in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			g.unparsed++
		}
		for err == bufio.ErrBufferFull { // the rest of a line that is too long
			raw = nil
			_, err = in.ReadSlice('\n')
		}
		if len(bytes.TrimSpace(raw)) > 0 {
			g.add(raw)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// linePrefix is how each line of ours begins. It cannot stand inside one: there its quotes
// would be escaped.
var linePrefix = []byte(`{"time":`)

// add adds one line of text. A process that was killed while it wrote leaves a line
// without an end, and what is written next stands behind it.
func (g *Log) add(raw []byte) {
	l, ok := parse(raw)
	if !ok {
		g.unparsed++
		last := bytes.LastIndex(raw, linePrefix)
		if last < 0 {
			return
		}
		if l, ok = parse(raw[last:]); !ok {
			return
		}
	}
	if g.seen == nil {
		g.seen = make(map[string]bool)
	}
	if g.seen[l.raw] {
		g.duplicates++
		return
	}
	g.seen[l.raw] = true
	g.lines = append(g.lines, l)
}

// parse reads one line from its first brace on.
func parse(raw []byte) (Line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{fields: make(map[string]any), raw: string(bytes.TrimSpace(raw[at:]))}
	if json.Unmarshal([]byte(l.raw), &l.fields) != nil {
		return Line{}, false
	}
	when, err := time.Parse(time.RFC3339Nano, l.Text("time"))
	l.time, l.message = when, l.Text("msg")
	return l, err == nil && l.message != ""
}
