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
	Bases       []BaseSpec       `json:"bases,omitempty"`
	Classes     []ClassSpec      `json:"classes,omitempty"`
	Callers     []CallerSpec     `json:"callers,omitempty"`
	DataCentres []DataCentreSpec `json:"data_centres,omitempty"`
	Endpoints   []EndpointSpec   `json:"endpoints,omitempty"`
	Services    []ServiceSpec    `json:"services,omitempty"`
	Adapters    []AdapterSpec    `json:"adapters,omitempty"`
}

// BaseSpec is a base model as published.
type BaseSpec struct {
	Name string `json:"name"`
}

// ClassSpec is a class as published.
type ClassSpec struct {
	Name     string   `json:"name"`
	Priority int      `json:"priority,omitempty"`
	MayWait  Duration `json:"may_wait,omitempty"`
	Deadline Duration `json:"deadline"`
	Default  bool     `json:"default,omitempty"`
}

// CallerSpec is a caller as published.
type CallerSpec struct {
	Name  string `json:"name"`
	Queue int    `json:"queue"`
}

// DataCentreSpec is a data centre's state as published.
type DataCentreSpec struct {
	Name   string `json:"name"`
	State  State  `json:"state,omitempty"`
	Region string `json:"region,omitempty"`
}

// EndpointSpec is an endpoint as published.
type EndpointSpec struct {
	Name         string   `json:"name"`
	DataCentre   string   `json:"data_centre"`
	Base         string   `json:"base"`
	Address      string   `json:"address"`
	Slots        int      `json:"slots"`
	Running      int      `json:"running"`
	ChecksFences bool     `json:"checks_fences,omitempty"`
	ReportLag    Duration `json:"report_lag,omitempty"`
	State        State    `json:"state,omitempty"`
}

// ServiceSpec is a plain service as published.
type ServiceSpec struct {
	Name          string   `json:"name"`
	Addresses     []string `json:"addresses"`
	NotRepeatable []string `json:"not_repeatable,omitempty"`
}

// AdapterSpec is an adapter as published.
type AdapterSpec struct {
	Name     string            `json:"name"`
	Base     string            `json:"base"`
	Priority int               `json:"priority,omitempty"`
	Versions map[string]string `json:"versions"`
	Aliases  map[string]string `json:"aliases,omitempty"`
}

// Duration is a duration written as text, such as "250ms".
type Duration time.Duration

// UnmarshalJSON reads the text form.
func (s *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Errorf(`%s: write a duration, such as "250ms"`, raw)
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return errors.Errorf(`%q: write a duration, such as "250ms"`, text)
	}
	*s = Duration(d)
	return nil
}

// MarshalJSON writes the text form.
func (s Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(s).String()) }

// hasOnlyAdapters tells whether the shard holds adapters and nothing else.
func (s Shard) hasOnlyAdapters() bool {
	others := len(s.Bases) + len(s.Classes) + len(s.Callers) + len(s.DataCentres) + len(s.Endpoints) + len(s.Services)
	return others == 0 && len(s.Adapters) > 0
}

// ParseShard reads one shard's document.
func ParseShard(raw []byte) (Shard, error) {
	var s Shard
	err := decode(raw, &s)
	return s, errors.Wrap(err, "catalog: shard")
}
