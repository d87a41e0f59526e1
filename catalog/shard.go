// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Shard is one part of the published configuration, as it stands in its
// document. Every list may be left out; docs/CONFIGURATION.md describes the
// fields.
type Shard struct {
	Bases       []BaseFormat     `json:"bases,omitempty"`
	Classes     []ClassFormat    `json:"classes,omitempty"`
	Callers     []CallerFormat   `json:"callers,omitempty"`
	DataCentres []CentreFormat   `json:"data_centres,omitempty"`
	Endpoints   []EndpointFormat `json:"endpoints,omitempty"`
	Services    []ServiceFormat  `json:"services,omitempty"`
	Adapters    []AdapterFormat  `json:"adapters,omitempty"`
}

// BaseFormat is a base model as published.
type BaseFormat struct {
	Name string `json:"name"`
}

// ClassFormat is a class as published.
type ClassFormat struct {
	Name     string `json:"name"`
	Priority int    `json:"priority,omitempty"`
	MayWait  Span   `json:"may_wait,omitempty"`
	Deadline Span   `json:"deadline"`
	Default  bool   `json:"default,omitempty"`
}

// CallerFormat is a caller as published.
type CallerFormat struct {
	Name  string `json:"name"`
	Queue int    `json:"queue"`
}

// CentreFormat is a data centre's state as published.
type CentreFormat struct {
	Name   string `json:"name"`
	State  State  `json:"state,omitempty"`
	Region string `json:"region,omitempty"`
}

// EndpointFormat is an endpoint as published.
type EndpointFormat struct {
	Name         string `json:"name"`
	DataCentre   string `json:"data_centre"`
	Base         string `json:"base"`
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	Running      int    `json:"running"`
	ChecksFences bool   `json:"checks_fences,omitempty"`
	ReportLag    Span   `json:"report_lag,omitempty"`
	State        State  `json:"state,omitempty"`
}

// ServiceFormat is a plain service as published.
type ServiceFormat struct {
	Name          string   `json:"name"`
	Addresses     []string `json:"addresses"`
	NotRepeatable []string `json:"not_repeatable,omitempty"`
}

// AdapterFormat is an adapter as published.
type AdapterFormat struct {
	Name     string            `json:"name"`
	Base     string            `json:"base"`
	Priority int               `json:"priority,omitempty"`
	Versions map[string]string `json:"versions"`
	Aliases  map[string]string `json:"aliases,omitempty"`
}

// Span is a duration written as text, such as "250ms".
type Span time.Duration

// UnmarshalJSON reads the text form.
func (s *Span) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Errorf(`%s: write a duration, such as "250ms"`, raw)
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return errors.Errorf(`%q: write a duration, such as "250ms"`, text)
	}
	*s = Span(d)
	return nil
}

// MarshalJSON writes the text form.
func (s Span) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(s).String()) }

// adaptersOnly tells whether the shard holds adapters and nothing else.
func (s Shard) adaptersOnly() bool {
	others := len(s.Bases) + len(s.Classes) + len(s.Callers) + len(s.DataCentres) + len(s.Endpoints) + len(s.Services)
	return others == 0 && len(s.Adapters) > 0
}

// ParseShard reads one shard's document.
func ParseShard(raw []byte) (Shard, error) {
	var s Shard
	err := decode(raw, &s)
	return s, errors.Wrap(err, "catalog: shard")
}
