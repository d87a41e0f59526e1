// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// balanceCommand shows how leaders balance requests by work. It reads the metrics of boxes, without contacting daemons
// through their peer addresses.
type balanceCommand struct {
	Addresses []string `arg:"positional,required" placeholder:"IP:PORT" help:"metrics addresses of boxes; only leaders own endpoints"`
}

// metricsTimeout is the time in which a box must answer.
const metricsTimeout = 2 * time.Second

// maxMetricsBytes bounds the metrics of one box: some 200 bytes for each of a few thousand endpoints, and the other metrics.
const maxMetricsBytes = 8 << 20

// balanceMetrics are the metrics of a box that the command shows, as docs/OPERATIONS.md describes them.
type balanceMetrics struct {
	Balance struct {
		Endpoints map[string]struct {
			Slowdown     float64 `json:"slowdown"`
			UnreadTokens int     `json:"unread_tokens"`
			MemoryTokens int     `json:"memory_tokens"`
			Grants       int     `json:"grants"`
		} `json:"endpoints"`
		Slots map[string]struct {
			Free     int     `json:"free"`
			Needed   float64 `json:"needed"`
			Released float64 `json:"released"`
			Reserved float64 `json:"reserved"`
		} `json:"slots"`
		Decisions map[string]int64 `json:"decisions"`
	} `json:"edge_balance"`
}

// execute prints the endpoints, adapter slots and decisions of the boxes that answer.
func (b *balanceCommand) execute(ctx context.Context, out, errs io.Writer) int {
	code, answers := exitDone, make(map[string]balanceMetrics)
	for _, a := range b.Addresses {
		m, err := readBalance(ctx, a)
		if err != nil {
			fmt.Fprintf(errs, "no metrics from %s: %v\n", a, err)
			code = exitUnreachable
			continue
		}
		answers[a] = m
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ENDPOINT\tLEADER\tSLOWDOWN\tUNREAD TOKENS\tMEMORY TOKENS\tGRANTS")
	for _, a := range b.Addresses {
		for _, id := range slices.Sorted(maps.Keys(answers[a].Balance.Endpoints)) {
			e := answers[a].Balance.Endpoints[id]
			fmt.Fprintf(t, "%s\t%s\t%.2f\t%d\t%d\t%d\n", id, a, e.Slowdown, e.UnreadTokens, e.MemoryTokens, e.Grants)
		}
	}
	fmt.Fprintln(t, "\nADAPTER SLOTS OF\tLEADER\tFREE\tRESERVED\tNEEDED A SECOND\tRELEASED A SECOND")
	for _, a := range b.Addresses {
		for _, name := range slices.Sorted(maps.Keys(answers[a].Balance.Slots)) {
			s := answers[a].Balance.Slots[name]
			fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\n", name, a, s.Free, s.Reserved, s.Needed, s.Released)
		}
	}
	fmt.Fprintln(t, "\nDECISION\tLEADER\tREQUESTS")
	for _, a := range b.Addresses {
		for _, reason := range slices.Sorted(maps.Keys(answers[a].Balance.Decisions)) {
			fmt.Fprintf(t, "%s\t%s\t%d\n", reason, a, answers[a].Balance.Decisions[reason])
		}
	}
	_ = t.Flush()
	return code
}

// readBalance reads the metrics of the box at an address.
func readBalance(ctx context.Context, address string) (balanceMetrics, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return balanceMetrics{}, err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return balanceMetrics{}, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return balanceMetrics{}, errors.Errorf("status %s", a.Status)
	}
	var m balanceMetrics
	if err := json.NewDecoder(io.LimitReader(a.Body, maxMetricsBytes)).Decode(&m); err != nil {
		return balanceMetrics{}, errors.Wrap(err, "not the metrics of a box")
	}
	return m, nil
}
