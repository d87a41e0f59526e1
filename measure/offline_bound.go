// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"cairnwick.example/logging"
	"github.com/pkg/errors"
)

// OfflineBound computes, from the debug logs of all boxes, a bound that no online placement policy
// can beat on the same requests. The bound comes from an offline policy that knows all future
// requests: it loads each adapter just before it is needed, no faster than the store allows,
// and evicts the adapter whose next request is furthest away.
type OfflineBound struct {
	Logs  []string      // paths of the logs; empty: standard input
	Slots int           // adapter slots of all endpoints together
	Rate  float64       // loads per second that the store allows
	Lead  time.Duration // how long before the first request loads may start
}

// adapterRequest is one request for an adapter.
type adapterRequest struct {
	at      time.Time
	adapter string
}

// Run prints the bound and, for comparison, what the boxes did.
func (f OfflineBound) Run(out io.Writer) error {
	if f.Slots <= 0 || f.Rate <= 0 {
		return errors.New("measure: --slots and --rate must be above zero")
	}
	log, err := readLogs(f.Logs)
	if err != nil {
		return err
	}
	requests, loads, refused := collectRequests(log)
	if len(requests) == 0 {
		return errors.New("measure: the logs contain no adapter requests: run the boxes with --debug")
	}
	sequence := make([]string, len(requests))
	distinct := make(map[string]bool)
	for i, n := range requests {
		sequence[i] = n.adapter
		distinct[n.adapter] = true
	}
	late := f.minLate(requests, optimalMisses(sequence, f.Slots))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests for adapters\t%d\n", len(requests))
	fmt.Fprintf(w, "adapters\t%d\n", len(distinct))
	fmt.Fprintf(w, "minimum loads\t%d\n", minLoads(sequence, f.Slots, 0))
	fmt.Fprintf(w, "loads started from the store\t%d\n", loads)
	fmt.Fprintf(w, "minimum requests that wait for a load\t%d\n", late)
	fmt.Fprintf(w, "share that need not wait\t%.3f\n", 1-float64(late)/float64(len(requests)))
	fmt.Fprintf(w, "refused because not loaded\t%d\n", refused)
	return errors.Wrap(w.Flush(), "measure")
}

// collectRequests returns the requests for adapters in order of time, the number of loads started from
// the store and the number of requests refused because their adapter was not loaded.
func collectRequests(log *logging.Log) (requests []adapterRequest, loads, refused int) {
	for _, l := range log.Lines() {
		switch l.Message() {
		case "Adapter is needed":
			requests = append(requests, adapterRequest{at: l.Time(), adapter: l.Text("adapter")})
		case "Load begins":
			if l.Text("from_store") == "true" {
				loads++
			}
		case "Request failed":
			if l.Text("reason") == "adapter_not_loaded" {
				refused++
			}
		}
	}
	return requests, loads, refused
}

// minLate returns a lower bound of the loads that cannot complete before they are needed,
// given that the store never exceeds its rate.
func (f OfflineBound) minLate(requests []adapterRequest, misses []bool) int {
	start := requests[0].at.Add(-f.Lead)
	loads, late := 0, 0
	for i, n := range requests {
		if !misses[i] {
			continue
		}
		loads++
		loaded := int(n.at.Sub(start).Seconds() * f.Rate)
		late = max(late, loads-loaded)
	}
	return late
}
