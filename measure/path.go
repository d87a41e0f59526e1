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
	Bin           string
	Dir           string
	Rate          int           // requests per second
	PhaseDuration time.Duration // duration of one phase
	Rounds        int           // phases of each variant
}

// pathVariant is one variant of the path to the engine.
type pathVariant struct {
	url   string
	model string
	times *metrics.Histogram
	lost  atomic.Int64
}

// Run runs the comparison and writes the results to w.
func (p Path) Run(ctx context.Context, w io.Writer) error {
	f := fleet.New(fleet.Spec{
		Bin: p.Bin, Dir: p.Dir,
		Centres: 1, Boxes: 1, Engines: 1, Adapters: 1, Slots: 2, BatchSize: 512,
		EngineArgs: []string{"--step", "500us", "--queue", "4096"},
	})
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	model := fleet.AdapterName(1)
	viaCairnwick := &pathVariant{url: "http://" + f.CallersAddress(1, 1), model: model, times: metrics.NewHistogram()}
	direct := &pathVariant{url: "http://" + f.EngineAddress(1, 1), model: model + "@2", times: metrics.NewHistogram()}
	proxy := httptest.NewServer(bareProxy(direct.url))
	defer proxy.Close()
	viaProxy := &pathVariant{url: proxy.URL, model: direct.model, times: metrics.NewHistogram()}
	if err := warmUp(ctx, viaCairnwick, direct, viaProxy); err != nil {
		return err
	}
	for range p.Rounds {
		for _, s := range []*pathVariant{direct, viaProxy, viaCairnwick} {
			p.runPhase(ctx, s)
		}
	}
	if err := p.printResults(w, direct, viaProxy, viaCairnwick); err != nil {
		return err
	}
	return printUsage(w, f, viaCairnwick.times.Count())
}

// printUsage prints the processor time per request and the memory of each daemon.
func printUsage(w io.Writer, f *fleet.Fleet, requests int64) error {
	for _, role := range []string{member.Gateway, member.Scheduler} {
		u, err := f.Usage(fleet.DaemonName(1, 1, role))
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s: %.0f us of processor time per request, %.1f MB\n", role,
			float64(u.CPU.Microseconds())/float64(requests), float64(u.Memory)/(1<<20))
	}
	return nil
}

// warmUp sends one request through each variant, so that the adapter is loaded, and resets the
// measurements.
func warmUp(ctx context.Context, variants ...*pathVariant) error {
	for _, s := range variants {
		if !s.send(ctx, http.DefaultClient) {
			return errors.Errorf("measure: warm-up request to %s failed", s.url)
		}
		s.times = metrics.NewHistogram()
	}
	return nil
}

// runPhase runs one phase: it sends requests at the configured rate.
func (p Path) runPhase(ctx context.Context, s *pathVariant) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: 30 * time.Second}
	defer c.CloseIdleConnections()
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(p.PhaseDuration.Seconds() * float64(p.Rate)) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(p.Rate))))
		wg.Go(func() {
			if !s.send(ctx, c) {
				s.lost.Add(1)
			}
		})
	}
	wg.Wait()
}

// send sends one request, records its latency and reports whether it succeeded.
func (s *pathVariant) send(ctx context.Context, c *http.Client) bool {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"prompt":"x"}`, s.model)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	start := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	s.times.Observe(time.Since(start))
	return err == nil && resp.StatusCode == http.StatusOK
}

// bareProxy returns a proxy that only forwards requests. It measures the minimum cost of any
// process between callers and engines on this machine.
func bareProxy(url string) http.Handler {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, url+r.URL.Path, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		resp, err := c.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body) // a broken stream is counted by the client as a lost request
	})
}

func (p Path) printResults(w io.Writer, direct, viaProxy, viaCairnwick *pathVariant) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "path\trequests\tlost\tp50 ms\tp95 ms\tp99 ms\t\n")
	for _, s := range []struct {
		name    string
		variant *pathVariant
	}{{"directly to the engine", direct}, {"through a bare proxy", viaProxy}, {"through cairnwick", viaCairnwick}} {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n", s.name, s.variant.times.Count(), s.variant.lost.Load(),
			millis(s.variant.times.Quantile(50)), millis(s.variant.times.Quantile(95)), millis(s.variant.times.Quantile(99)))
	}
	added := func(s *pathVariant, q float64) float64 { return millis(s.times.Quantile(q) - direct.times.Quantile(q)) }
	fmt.Fprintf(t, "added by a bare proxy\t\t\t%.2f\t%.2f\t%.2f\t\n", added(viaProxy, 50), added(viaProxy, 95), added(viaProxy, 99))
	fmt.Fprintf(t, "added by cairnwick\t\t\t%.2f\t%.2f\t%.2f\t\n", added(viaCairnwick, 50), added(viaCairnwick, 95), added(viaCairnwick, 99))
	return t.Flush()
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
