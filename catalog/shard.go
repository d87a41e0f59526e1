// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Shard is the document of one part of the published configuration. All lists are
// optional; docs/CONFIGURATION.md describes the fields.
type Shard struct {
	Bases       []BaseSpec       `json:"bases,omitempty"`
	Classes     []ClassSpec      `json:"classes,omitempty"`
	Callers     []CallerSpec     `json:"callers,omitempty"`
	DataCentres []DataCentreSpec `json:"data_centres,omitempty"`
	Endpoints   []EndpointSpec   `json:"endpoints,omitempty"`
	Services    []ServiceSpec    `json:"services,omitempty"`
	Adapters    []AdapterSpec    `json:"adapters,omitempty"`
}

// BaseSpec is the published form of a base model.
type BaseSpec struct {
	Name string `json:"name"`
}

// ClassSpec is the published form of a request class.
type ClassSpec struct {
	Name     string   `json:"name"`
	Priority int      `json:"priority,omitempty"`
	MaxWait  Duration `json:"may_wait,omitempty"`
	Deadline Duration `json:"deadline"`
	Default  bool     `json:"default,omitempty"`
}

// CallerSpec is the published form of a caller.
type CallerSpec struct {
	Name       string `json:"name"`
	QueueLimit int    `json:"queue"`
}

// DataCentreSpec is the published state and region of a data centre.
type DataCentreSpec struct {
	Name   string `json:"name"`
	State  State  `json:"state,omitempty"`
	Region string `json:"region,omitempty"`
}

// EndpointSpec is the published form of an endpoint.
type EndpointSpec struct {
	Name         string   `json:"name"`
	DataCentre   string   `json:"data_centre"`
	Base         string   `json:"base"`
	Address      string   `json:"address"`
	Slots        int      `json:"slots"`
	MaxRunning   int      `json:"running"`
	MemoryTokens int      `json:"memory_tokens,omitempty"`
	ChecksFences bool     `json:"checks_fences,omitempty"`
	ReportLag    Duration `json:"report_lag,omitempty"`
	State        State    `json:"state,omitempty"`
}

// ServiceSpec is the published form of a plain service.
type ServiceSpec struct {
	Name          string   `json:"name"`
	Addresses     []string `json:"addresses"`
	NonIdempotent []string `json:"not_repeatable,omitempty"`
}

// AdapterSpec is the published form of an adapter.
type AdapterSpec struct {
	Name     string            `json:"name"`
	Base     string            `json:"base"`
	Priority int               `json:"priority,omitempty"`
	Versions map[string]string `json:"versions"`
	Aliases  map[string]string `json:"aliases,omitempty"`
}

// Duration is a duration that is encoded as a string, such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Errorf(`%s: must be a duration, such as "250ms"`, raw)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return errors.Errorf(`%q: must be a duration, such as "250ms"`, text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// hasOnlyAdapters reports whether the shard contains adapters and nothing else.
func (s Shard) hasOnlyAdapters() bool {
	others := len(s.Bases) + len(s.Classes) + len(s.Callers) + len(s.DataCentres) + len(s.Endpoints) + len(s.Services)
	return others == 0 && len(s.Adapters) > 0
}

// ParseShard decodes the document of a shard. It does not validate the fields.
func ParseShard(raw []byte) (Shard, error) {
	var s Shard
	err := decode(raw, &s)
	return s, errors.Wrap(err, "catalog: shard")
}
