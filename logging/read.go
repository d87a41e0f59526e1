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

// Line is one parsed line of a daemon's log.
type Line struct {
	time    time.Time
	message string
	fields  map[string]any // all fields, including time and msg
	raw     string
}

// Time returns the time of the line, by the clock of its box.
func (l Line) Time() time.Time { return l.time }

// Message returns the value of msg.
func (l Line) Message() string { return l.message }

// Text returns the value of a field as text: a string as it is, any other value as JSON, and
// "" if the field is missing or null.
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

// FieldNames returns the sorted names of the fields other than time, level and msg.
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

// Log collects the lines of the logs of any number of daemons. The zero value is ready to use.
type Log struct {
	lines      []Line
	seen       map[string]bool
	unparsed   int
	duplicates int
}

// Lines returns the lines in the order of their times.
func (g *Log) Lines() []Line {
	slices.SortStableFunc(g.lines, func(a, b Line) int { return a.time.Compare(b.time) })
	return g.lines
}

// Unparsed returns the number of lines that were not complete lines of a daemon's log.
func (g *Log) Unparsed() int { return g.unparsed }

// Duplicates returns the number of lines that repeated an earlier one.
func (g *Log) Duplicates() int { return g.duplicates }

// maxLineBytes is the maximum length of a line. A longer one counts as unparsed.
const maxLineBytes = 1 << 20

// Read adds the lines of r. A prefix that a log collector put before the JSON object of a line
// is ignored.
func (g *Log) Read(r io.Reader) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		raw, err := in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			g.unparsed++
		}
		for err == bufio.ErrBufferFull { // skips the rest of the long line
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

// linePrefix is the start of every line of a daemon's log. It cannot occur within a line,
// where its quotes would be escaped.
var linePrefix = []byte(`{"time":`)

// add parses one line of text. A process that is killed while it writes leaves a truncated
// line without a newline, and the next line is then appended to it: the part from the last
// linePrefix on is parsed too.
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

// parse parses a line from its first brace on. It fails without a valid time and a message.
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
