// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The metrics that endpoints export, under the names that common engines use.
const (
	RunningMetric  = "vllm:num_requests_running"
	WaitingMetric  = "vllm:num_requests_waiting"
	AdaptersMetric = "vllm:lora_requests_info" // labels list the adapters in use
	runningLabel   = "running_lora_adapters"
	waitingLabel   = "waiting_lora_adapters"
)

// Report is an endpoint's load. It is as old as the endpoint's published reporting lag.
type Report struct {
	running int
	waiting int
	inUse   []string // adapters with running or waiting requests
	state   State
}

// NewReport returns a report in which the given adapters are in use.
func NewReport(s State, inUse []string) Report { return Report{inUse: inUse, state: s} }

// Running returns the number of requests in the engine's batch.
func (r Report) Running() int { return r.running }

// Waiting returns the number of requests in the engine's queue.
func (r Report) Waiting() int { return r.waiting }

// InUse reports whether the adapter had running or waiting requests.
func (r Report) InUse(name string) bool { return slices.Contains(r.inUse, name) }

// State returns the state in the response's headers; unlike the metrics it is current.
func (r Report) State() State { return r.state }

func parseReport(r io.Reader) (Report, error) {
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(r)
	if err != nil {
		return Report{}, errors.Wrap(err, "engine: parse metrics")
	}
	if families[RunningMetric] == nil || families[AdaptersMetric] == nil {
		return Report{}, errors.Errorf("engine: metrics lack %s or %s", RunningMetric, AdaptersMetric)
	}
	return Report{
		running: int(gauge(families[RunningMetric])),
		waiting: int(gauge(families[WaitingMetric])),
		inUse:   adaptersInUse(families[AdaptersMetric]),
	}, nil
}

// gauge returns the sum of a gauge over all label values; f may be nil.
func gauge(f *dto.MetricFamily) float64 {
	var sum float64
	for _, m := range f.GetMetric() {
		sum += m.GetGauge().GetValue()
	}
	return sum
}

func adaptersInUse(f *dto.MetricFamily) []string {
	var names []string
	for _, m := range f.GetMetric() {
		for _, l := range m.GetLabel() {
			if (l.GetName() == runningLabel || l.GetName() == waitingLabel) && l.GetValue() != "" {
				names = append(names, strings.Split(l.GetValue(), ",")...)
			}
		}
	}
	return names
}
