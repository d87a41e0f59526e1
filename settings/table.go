// SPDX-License-Identifier: Apache-2.0

// Package settings reads the settings of a daemon from JSON with comments, and validates
// them against a table of options. All problems of a file are reported at once.
package settings

import "time"

// Kind is the type of the values of an option.
type Kind int

// The kinds of options.
const (
	Text     Kind = iota // any string
	Address              // host:port, where host is an IP address
	URL                  // http or https URL
	Duration             // a Go duration such as "250ms"
	Count                // a whole number, zero or more
	Number               // a number, zero or more
	Bool                 // true or false
)

// String returns the name of the kind in error messages and in the reference page.
func (k Kind) String() string {
	return [...]string{"text", "IP:port", "URL", "duration", "whole number", "number", "true or false"}[k]
}

// Option describes one setting. Name is its key in the file. Default is used if the file
// does not contain the key; a Required option has no default.
type Option struct {
	Name     string
	Kind     Kind
	Default  any // string, time.Duration, int, float64 or bool, depending on Kind
	Required bool
	Min      any    // minimum of a Duration, Count or Number; same type as Default
	Help     string // one line, for printed settings and the reference page
}

// Table lists all options of one daemon.
type Table []Option

// Find returns the option with the name.
func (t Table) Find(name string) (Option, bool) {
	for _, o := range t {
		if o.Name == name {
			return o, true
		}
	}
	return Option{}, false
}

// Values holds validated settings. Every option of the table has a value.
type Values struct {
	values map[string]any // by option name, of the type of its kind
}

// Text returns the value of a Text, Address or URL option.
func (v Values) Text(name string) string { return v.values[name].(string) }

// Duration returns the value of a Duration option.
func (v Values) Duration(name string) time.Duration { return v.values[name].(time.Duration) }

// Count returns the value of a Count option.
func (v Values) Count(name string) int { return v.values[name].(int) }

// Number returns the value of a Number option.
func (v Values) Number(name string) float64 { return v.values[name].(float64) }

// Bool returns the value of a Bool option.
func (v Values) Bool(name string) bool { return v.values[name].(bool) }
