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
	w := Observations{Ran: make(map[string]bool)}
	keys := make(map[string]int)
	for c := 1; c <= f.Spec.Centres; c++ {
		for e := 1; e <= f.Spec.Engines; e++ {
			if f.PID(EndpointName(c, e)) == 0 {
				continue
			}
			if err := w.addEngine(ctx, "http://"+f.EngineAddress(c, e), keys); err != nil {
				return w, err
			}
		}
	}
	for i := 1; i <= f.Spec.Services; i++ {
		if err := addKeys(ctx, keys, "http://"+f.ServiceAddress(i)); err != nil {
			return w, err
		}
	}
	for _, n := range keys {
		if n > 1 {
			w.RepeatedKeys++
		}
	}
	return w, nil
}

func (w *Observations) addEngine(ctx context.Context, url string, keys map[string]int) error {
	var n standin.Counts
	if err := getJSON(ctx, url+"/control/counts", &n); err != nil {
		return err
	}
	w.Counts = w.Counts.Add(n)
	if err := addKeys(ctx, keys, url); err != nil {
		return err
	}
	var runs []string
	if err := getJSON(ctx, url+"/control/runs", &runs); err != nil {
		return err
	}
	for _, r := range runs {
		id, _, _ := strings.Cut(r, ".") // the ID of a run is REQUEST.ATTEMPT
		w.Ran[id] = true
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
func (w Observations) FalseNotRun(notRun []string) int {
	n := 0
	for _, id := range notRun {
		if w.Ran[id] {
			n++
		}
	}
	return n
}

// Violations returns the number of invariant violations, including those counted by Lied.
func (w Observations) Violations(notRun []string) int {
	return w.Counts.UnloadRunning + w.Counts.WrongVersion + w.Counts.NewAfterLeaving + w.RepeatedKeys + w.FalseNotRun(notRun)
}

// Summary formats the counts on a single line.
func (w Observations) Summary(notRun []string) string {
	return fmt.Sprintf("runs=%d loads=%d unloads=%d stale_orders=%d unload_running=%d wrong_version=%d key_twice=%d new_after_leaving=%d not_run=%d lied=%d",
		w.Counts.Runs, w.Counts.Loads, w.Counts.Unloads, w.Counts.StaleOrders, w.Counts.UnloadRunning, w.Counts.WrongVersion,
		w.RepeatedKeys, w.Counts.NewAfterLeaving, len(notRun), w.FalseNotRun(notRun))
}
