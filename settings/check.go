// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// value returns the value of the option from the fields of a file, or its default.
func (o Option) value(fields map[string]json.RawMessage) (any, *Problem) {
	raw, ok := fields[o.Name]
	if !ok && o.Required {
		return nil, &Problem{Field: o.Name, Value: "missing", Fix: "give a value of kind " + o.Kind.String()}
	}
	if !ok {
		return o.Default, nil
	}
	value, fix := o.parse(raw)
	if fix != "" {
		return nil, &Problem{Field: o.Name, Value: string(raw), Fix: fix}
	}
	return value, nil
}

// parse returns the typed value, or a non-empty hint on how to fix the field.
func (o Option) parse(raw json.RawMessage) (any, string) {
	switch o.Kind {
	case Text, Address, URL:
		return o.parseText(raw)
	case Duration:
		return o.parseDuration(raw)
	case Count:
		return o.parseCount(raw)
	case Number:
		return o.parseNumber(raw)
	}
	var b bool
	if json.Unmarshal(raw, &b) != nil {
		return nil, "write true or false"
	}
	return b, ""
}

func (o Option) parseText(raw json.RawMessage) (any, string) {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return nil, "write a string"
	}
	if s == "" && !o.Required {
		return s, ""
	}
	if s == "" {
		return nil, "write a string that is not empty"
	}
	if o.Kind == Address {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, `write an IP address and a port, such as "10.0.0.1:8080"`
		}
	}
	if o.Kind == URL {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, `write a URL, such as "http://10.0.0.1:8500"`
		}
	}
	return s, ""
}

func (o Option) parseDuration(raw json.RawMessage) (any, string) {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return nil, `write a duration as a string, such as "250ms"`
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return nil, `write a duration, such as "250ms"`
	}
	if minimum, ok := o.Min.(time.Duration); ok && d < minimum {
		return nil, fmt.Sprintf("write %v or more", minimum)
	}
	return d, ""
}

func (o Option) parseCount(raw json.RawMessage) (any, string) {
	var n int
	if json.Unmarshal(raw, &n) != nil || n < 0 {
		return nil, "write a whole number, zero or more"
	}
	if minimum, ok := o.Min.(int); ok && n < minimum {
		return nil, fmt.Sprintf("write %d or more", minimum)
	}
	return n, ""
}

func (o Option) parseNumber(raw json.RawMessage) (any, string) {
	var f float64
	if json.Unmarshal(raw, &f) != nil || f < 0 {
		return nil, "write a number, zero or more"
	}
	if minimum, ok := o.Min.(float64); ok && f < minimum {
		return nil, fmt.Sprintf("write %g or more", minimum)
	}
	return f, ""
}
