// SPDX-License-Identifier: Apache-2.0

// Package measure implements the benchmarks, fault-injection runs and log analyses of the
// cairn-measure command. Benchmarks run real processes on loopback and compare variants
// within one run; the subcommands where and future analyse logs of boxes, and scarce is a
// simulation.
package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/member"
	"cairnwick.example/metrics"
	"github.com/pkg/errors"
)

// Path compares the latency of requests through one gateway and one scheduler with that of
// requests sent directly to the engine. The variants alternate within one run. Set the fields
// before Run.
type Path struct {
	Bin    string
	Dir    string
	Rate   int           // requests per second
	Each   time.Duration // duration of one phase
	Rounds int           // phases of each variant
}

// pathSide is one variant of the path to the engine.
type pathSide struct {
	url   string
	model string
	times *metrics.Histogram
	lost  atomic.Int64
}

// Run runs the comparison and writes the results to w.
func (p Path) Run(ctx context.Context, w io.Writer) error {
	f := fleet.New(fleet.Spec{
		Bin: p.Bin, Dir: p.Dir,
		Centres: 1, Boxes: 1, Engines: 1, Adapters: 1, Slots: 2, Batch: 512,
		EngineArgs: []string{"--step", "500us", "--queue", "4096"},
	})
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	model := fleet.AdapterName(1)
	through := &pathSide{url: "http://" + f.CallersAddress(1, 1), model: model, times: metrics.NewHistogram()}
	straight := &pathSide{url: "http://" + f.EngineAddress(1, 1), model: model + "@2", times: metrics.NewHistogram()}
	hop := httptest.NewServer(bareHop(straight.url))
	defer hop.Close()
	bare := &pathSide{url: hop.URL, model: straight.model, times: metrics.NewHistogram()}
	if err := warm(ctx, through, straight, bare); err != nil {
		return err
	}
	for range p.Rounds {
		for _, s := range []*pathSide{straight, bare, through} {
			p.turn(ctx, s)
		}
	}
	if err := p.print(w, straight, bare, through); err != nil {
		return err
	}
	return printUsage(w, f, through.times.Count())
}

// printUsage prints the processor time per request and the memory of each daemon.
func printUsage(w io.Writer, f *fleet.Fleet, requests int64) error {
	for _, role := range []string{member.Gateway, member.Scheduler} {
		u, err := f.Usage(fleet.DaemonName(1, 1, role))
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s: %.0f us of processor time a request, %.1f MB\n", role,
			float64(u.CPU.Microseconds())/float64(requests), float64(u.Memory)/(1<<20))
	}
	return nil
}

// warm sends one request through each variant, so that the adapter is loaded, and resets the
// measurements.
func warm(ctx context.Context, sides ...*pathSide) error {
	for _, s := range sides {
		if !s.ask(ctx, http.DefaultClient) {
			return errors.Errorf("measure: warm-up request to %s failed", s.url)
		}
		s.times = metrics.NewHistogram()
	}
	return nil
}

// turn runs one phase: it sends requests at the configured rate.
func (p Path) turn(ctx context.Context, s *pathSide) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: 30 * time.Second}
	defer c.CloseIdleConnections()
	var all sync.WaitGroup
	begun := time.Now()
	for i := range int(p.Each.Seconds() * float64(p.Rate)) {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(p.Rate))))
		all.Go(func() {
			if !s.ask(ctx, c) {
				s.lost.Add(1)
			}
		})
	}
	all.Wait()
}

// ask sends one request, records its latency and reports whether it succeeded.
func (s *pathSide) ask(ctx context.Context, c *http.Client) bool {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"prompt":"x"}`, s.model)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	begun := time.Now()
	a, err := c.Do(r)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	s.times.Observe(time.Since(begun))
	return err == nil && a.StatusCode == http.StatusOK
}

// bareHop returns a proxy that only forwards requests. It measures the minimum cost of any
// process between callers and engines on this machine.
func bareHop(url string) http.Handler {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := http.NewRequestWithContext(r.Context(), r.Method, url+r.URL.Path, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		a, err := c.Do(q)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer a.Body.Close()
		w.WriteHeader(a.StatusCode)
		_, _ = io.Copy(w, a.Body) // a broken stream is counted by the client as a lost request
	})
}

func (p Path) print(w io.Writer, straight, bare, through *pathSide) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "path\trequests\tlost\tp50 ms\tp95 ms\tp99 ms\t\n")
	for _, s := range []struct {
		name string
		side *pathSide
	}{{"directly to the engine", straight}, {"through a bare proxy", bare}, {"through cairnwick", through}} {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n", s.name, s.side.times.Count(), s.side.lost.Load(),
			millis(s.side.times.Quantile(50)), millis(s.side.times.Quantile(95)), millis(s.side.times.Quantile(99)))
	}
	added := func(s *pathSide, q float64) float64 { return millis(s.times.Quantile(q) - straight.times.Quantile(q)) }
	fmt.Fprintf(t, "added by a bare proxy\t\t\t%.2f\t%.2f\t%.2f\t\n", added(bare, 50), added(bare, 95), added(bare, 99))
	fmt.Fprintf(t, "added by cairnwick\t\t\t%.2f\t%.2f\t%.2f\t\n", added(through, 50), added(through, 95), added(through, 99))
	return t.Flush()
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
