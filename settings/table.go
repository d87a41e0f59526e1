// SPDX-License-Identifier: Apache-2.0

// Package settings reads the settings of a daemon: JSON with comments,
// checked whole against one table of options.
package settings

import "time"

// Kind says what values an option takes.
type Kind int

// The kinds of options.
const (
	Text     Kind = iota // any string
	Address              // host:port, the host an IP number
	URL                  // http or https URL
	Duration             // a Go duration such as "250ms"
	Count                // a whole number, zero or more
	Number               // a number, zero or more
	Bool                 // true or false
)

// String names the kind as it stands in error texts and manuals.
func (k Kind) String() string {
	return [...]string{"text", "IP:port", "URL", "duration", "whole number", "number", "true or false"}[k]
}

// Option describes one setting. Name is its key in the file, Default is used
// when the file does not name it, and Required options have no default.
type Option struct {
	Name     string
	Kind     Kind
	Default  any // string, time.Duration, int, float64 or bool, as Kind asks
	Required bool
	Min      any    // the smallest value allowed, for Duration, Count and Number
	Help     string // one line, for the manual and the reference page
}

// Table is the list of all options of one daemon.
type Table []Option

// Find returns the option called name.
func (t Table) Find(name string) (Option, bool) {
	for _, o := range t {
		if o.Name == name {
			return o, true
		}
	}
	return Option{}, false
}

// Values holds checked settings; every option of the table has a value.
type Values struct {
	values map[string]any // by option name, of the type that its kind asks
}

// Text returns a Text, Address or URL option.
func (v Values) Text(name string) string { return v.values[name].(string) }

// Duration returns a Duration option.
func (v Values) Duration(name string) time.Duration { return v.values[name].(time.Duration) }

// Count returns a Count option.
func (v Values) Count(name string) int { return v.values[name].(int) }

// Number returns a Number option.
func (v Values) Number(name string) float64 { return v.values[name].(float64) }

// Bool returns a Bool option.
func (v Values) Bool(name string) bool { return v.values[name].(bool) }
