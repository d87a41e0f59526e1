// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Problem is one invalid field of a settings file.
type Problem struct {
	Field string // option name
	Value string // as written in the file
	Fix   string // what to write instead
}

// Error reports all problems of a settings file.
type Error struct {
	Source   string // path of the file
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: %s has %d problem(s)", e.Source, len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %s: %s: %s", p.Field, p.Value, p.Fix)
	}
	return b.String()
}

// ReadFile reads the file at path and validates it against the table. The overrides, by
// option name, come from flags and take precedence over the file. It returns an *Error if
// the file can be parsed but is invalid.
func ReadFile(path string, t Table, overrides map[string]string) (Values, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Values{}, errors.Wrap(err, "settings: read file")
	}
	return Read(path, raw, t, overrides)
}

// Read parses raw, the text of a settings file, and validates it against the table.
func Read(source string, raw []byte, t Table, overrides map[string]string) (Values, error) {
	fields, err := parse(source, raw)
	if err != nil {
		return Values{}, err
	}
	if err := applyOverrides(fields, t, overrides); err != nil {
		return Values{}, err
	}
	v := Values{values: make(map[string]any, len(t))}
	problems := unknownFields(fields, t)
	for _, o := range t {
		value, problem := o.value(fields)
		if problem != nil {
			problems = append(problems, *problem)
			continue
		}
		v.values[o.Name] = value
	}
	if len(problems) > 0 {
		return Values{}, &Error{Source: source, Problems: problems}
	}
	return v, nil
}

func parse(source string, raw []byte) (map[string]json.RawMessage, error) {
	plain, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, errors.Wrapf(err, "settings: %s is not JSON with comments", source)
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(plain, &fields); err != nil {
		return nil, errors.Wrapf(err, "settings: %s must hold one JSON object", source)
	}
	return fields, nil
}

// applyOverrides sets the fields that flags override. A flag's value becomes a JSON string
// for Text, Address, URL and Duration options, and is taken as JSON for other kinds.
func applyOverrides(fields map[string]json.RawMessage, t Table, overrides map[string]string) error {
	for name, value := range overrides {
		o, ok := t.Find(name)
		if !ok {
			return &Error{Source: "command line", Problems: []Problem{unknownField(name, value, t)}}
		}
		raw := []byte(value)
		if o.Kind <= Duration {
			raw, _ = json.Marshal(value)
		}
		fields[name] = raw
	}
	return nil
}

func unknownFields(fields map[string]json.RawMessage, t Table) []Problem {
	var problems []Problem
	for name, raw := range fields {
		if _, ok := t.Find(name); !ok {
			problems = append(problems, unknownField(name, string(raw), t))
		}
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Field < problems[j].Field })
	return problems
}

func unknownField(name, value string, t Table) Problem {
	names := make([]string, 0, len(t))
	for _, o := range t {
		names = append(names, o.Name)
	}
	return Problem{Field: name, Value: value, Fix: "unknown field; remove it or use one of " + strings.Join(names, ", ")}
}
