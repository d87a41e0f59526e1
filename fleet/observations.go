// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"fmt"
	"strings"

	"cairnwick.example/standin"
)

// Observations is what the stand-ins of a fleet observed in total.
type Observations struct {
	Counts       standin.Counts
	RepeatedKeys int             // idempotency keys that ran more than once on all engines and services together
	Ran          map[string]bool // IDs of the requests that ran
}

// Observations collects the counts of the services and of the running engines.
func (f *Fleet) Observations(ctx context.Context) (Observations, error) {
	o := Observations{Ran: make(map[string]bool)}
	keys := make(map[string]int)
	for c := 1; c <= f.Spec.Centres; c++ {
		for e := 1; e <= f.Spec.Engines; e++ {
			if f.PID(EndpointName(c, e)) == 0 {
				continue
			}
			if err := o.addEngine(ctx, "http://"+f.EngineAddress(c, e), keys); err != nil {
				return o, err
			}
		}
	}
	for i := 1; i <= f.Spec.Services; i++ {
		if err := addKeys(ctx, keys, "http://"+f.ServiceAddress(i)); err != nil {
			return o, err
		}
	}
	for _, n := range keys {
		if n > 1 {
			o.RepeatedKeys++
		}
	}
	return o, nil
}

func (o *Observations) addEngine(ctx context.Context, url string, keys map[string]int) error {
	var n standin.Counts
	if err := getJSON(ctx, url+"/control/counts", &n); err != nil {
		return err
	}
	o.Counts = o.Counts.Add(n)
	if err := addKeys(ctx, keys, url); err != nil {
		return err
	}
	var runs []string
	if err := getJSON(ctx, url+"/control/runs", &runs); err != nil {
		return err
	}
	for _, r := range runs {
		id, _, _ := strings.Cut(r, ".") // the ID of a run is REQUEST.ATTEMPT
		o.Ran[id] = true
	}
	return nil
}

func addKeys(ctx context.Context, keys map[string]int, url string) error {
	more := make(map[string]int)
	if err := getJSON(ctx, url+"/control/keys", &more); err != nil {
		return err
	}
	for k, n := range more {
		keys[k] += n
	}
	return nil
}

// FalseNotRun returns how many of the requests that were rejected as not run did run.
func (o Observations) FalseNotRun(notRun []string) int {
	n := 0
	for _, id := range notRun {
		if o.Ran[id] {
			n++
		}
	}
	return n
}

// Violations returns the number of invariant violations, including those counted by FalseNotRun.
func (o Observations) Violations(notRun []string) int {
	return o.Counts.UnloadRunning + o.Counts.WrongVersion + o.Counts.NewAfterLeaving + o.RepeatedKeys + o.FalseNotRun(notRun)
}

// Summary formats the counts on a single line.
func (o Observations) Summary(notRun []string) string {
	return fmt.Sprintf("runs=%d loads=%d unloads=%d stale_orders=%d unload_running=%d wrong_version=%d key_twice=%d new_after_leaving=%d not_run=%d lied=%d",
		o.Counts.Runs, o.Counts.Loads, o.Counts.Unloads, o.Counts.StaleOrders, o.Counts.UnloadRunning, o.Counts.WrongVersion,
		o.RepeatedKeys, o.Counts.NewAfterLeaving, len(notRun), o.FalseNotRun(notRun))
}
