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

// Future computes, from the debug logs of all boxes, a bound that no online placement policy
// can beat on the same requests. The bound comes from an offline policy that knows all future
// requests: it loads each adapter just before it is needed, no faster than the store allows,
// and evicts the adapter whose next request is furthest away.
type Future struct {
	Logs  []string      // paths of the logs; empty: standard input
	Slots int           // adapter slots of all endpoints together
	Rate  float64       // loads per second that the store allows
	Lead  time.Duration // how long before the first request loads may start
}

// need is one request for an adapter.
type need struct {
	at      time.Time
	adapter string
}

// Run prints the bound and, for comparison, what the boxes did.
func (f Future) Run(out io.Writer) error {
	if f.Slots <= 0 || f.Rate <= 0 {
		return errors.New("measure: --slots and --rate must be above zero")
	}
	log, err := readLogs(f.Logs)
	if err != nil {
		return err
	}
	needs, loads, refused := gather(log)
	if len(needs) == 0 {
		return errors.New("measure: the logs contain no adapter requests: run the boxes with --debug")
	}
	asked := make([]string, len(needs))
	kinds := make(map[string]bool)
	for i, n := range needs {
		asked[i] = n.adapter
		kinds[n.adapter] = true
	}
	late := f.lateAtLeast(needs, missed(asked, f.Slots))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests for adapters\t%d\n", len(needs))
	fmt.Fprintf(w, "adapters\t%d\n", len(kinds))
	fmt.Fprintf(w, "loads at least\t%d\n", fewestLoads(asked, f.Slots, 0))
	fmt.Fprintf(w, "loads begun, from the store\t%d\n", loads)
	fmt.Fprintf(w, "requests that wait for a load at least\t%d\n", late)
	fmt.Fprintf(w, "share that need not wait\t%.3f\n", 1-float64(late)/float64(len(needs)))
	fmt.Fprintf(w, "refused for a load\t%d\n", refused)
	return errors.Wrap(w.Flush(), "measure")
}

// gather returns the requests for adapters in order of time, the number of loads started from
// the store and the number of requests refused because their adapter was not loaded.
func gather(log *logging.Log) (needs []need, loads, refused int) {
	for _, l := range log.Lines() {
		switch l.Message() {
		case "Adapter is needed":
			needs = append(needs, need{at: l.Time(), adapter: l.Text("adapter")})
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
	return needs, loads, refused
}

// lateAtLeast returns a lower bound of the loads that cannot complete before they are needed,
// given that the store never exceeds its rate.
func (f Future) lateAtLeast(needs []need, missed []bool) int {
	begun := needs[0].at.Add(-f.Lead)
	loads, late := 0, 0
	for i, n := range needs {
		if !missed[i] {
			continue
		}
		loads++
		given := int(n.at.Sub(begun).Seconds() * f.Rate)
		late = max(late, loads-given)
	}
	return late
}
