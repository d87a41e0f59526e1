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

// Problem is one fault of a settings file.
type Problem struct {
	Field string // the option's name
	Value string // as it stands in the file
	Fix   string // what to write instead
}

// Error says all that is wrong with a settings file at once.
type Error struct {
	Source   string // the file's path
	Problems []Problem
}

// Error lists every problem, one a line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: %s has %d problem(s)", e.Source, len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %s: %s: %s", p.Field, p.Value, p.Fix)
	}
	return b.String()
}

// ReadFile reads the file at path and checks it against the table. The
// overrides, by option name, come from flags and win over the file. It returns
// an *Error when the file can be parsed and does not hold.
func ReadFile(path string, t Table, overrides map[string]string) (Values, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Values{}, errors.Wrap(err, "settings: read file")
	}
	return Read(path, raw, t, overrides)
}

// Read checks raw, the text of a settings file, against the table.
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

// applyOverrides puts the flags' values into fields, as the JSON that the kind asks.
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
