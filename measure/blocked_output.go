// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/metrics"
	"cairnwick.example/platform/platformtest"
	"github.com/pkg/errors"
)

// BlockedOutput compares request latency at one box while the process reading its standard output
// keeps reading with latency while that process is blocked. Both phases alternate within one
// run. Set the fields before Run.
type BlockedOutput struct {
	Bin           string
	Dir           string
	Rate          int           // requests per second; every second one is refused
	PhaseDuration time.Duration // duration of one phase
	Rounds        int           // phases of each kind
}

const (
	// floodRequests is how many requests are sent before each phase. Each is refused and
	// writes a log line, which fills the pipe (64 KB) and the log queue (2,048 lines) when
	// the reader is blocked.
	floodRequests  = 3072
	floodWorkers   = 16
	requestTimeout = 10 * time.Second       // timeout of one request; responses take up to about 50 ms
	logSettleTime  = 300 * time.Millisecond // time for the log lines of a phase to arrive
)

// blockedPhase holds the measurements of all phases of one kind: reader reading or blocked.
type blockedPhase struct {
	name            string
	served, refused *metrics.Histogram
	unexpected      atomic.Int64
	lines, bytes    int64 // read during the phases
	dropped         int64 // dropped log lines, including those of the floods
	duration        time.Duration
}

func newBlockedPhase(name string) *blockedPhase {
	return &blockedPhase{name: name, served: metrics.NewHistogram(), refused: metrics.NewHistogram()}
}

// gatedReader reads a pipe and counts lines and bytes. Holding the gate blocks it.
type gatedReader struct {
	gate         sync.Mutex
	lines, bytes atomic.Int64
}

// run reads until the pipe is closed.
func (r *gatedReader) run(from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.gate.Lock()
		r.lines.Add(int64(bytes.Count(buffer[:n], []byte{'\n'})))
		r.bytes.Add(int64(n))
		r.gate.Unlock()
		if err != nil {
			return
		}
	}
}

// Run runs the comparison and writes the results to w.
func (b BlockedOutput) Run(ctx context.Context, w io.Writer) error {
	f := fleet.New(fleet.Spec{Bin: b.Bin, Dir: b.Dir, Centres: 1, Engines: 1, Slots: 4, BatchSize: 64})
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	if err := f.PublishEdge(ctx); err != nil {
		return err
	}
	from, to, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "measure: pipe")
	}
	r := &gatedReader{}
	ended := make(chan struct{})
	go func() {
		r.run(from)
		close(ended)
	}()
	err = f.StartEdge(ctx, 1, 1, fleet.EdgeSettings, to)
	to.Close()
	if err == nil {
		err = b.compare(ctx, w, f, r)
	}
	f.Stop()
	<-ended
	from.Close()
	return err
}

// compare runs the alternating phases and prints the results.
func (b BlockedOutput) compare(ctx context.Context, w io.Writer, f *fleet.Fleet, r *gatedReader) error {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: requestTimeout}
	defer c.CloseIdleConnections()
	u := &blockedRun{BlockedOutput: b, fleet: f, client: c, reader: r}
	if err := u.warmUp(ctx); err != nil {
		return err
	}
	reading, blocked := newBlockedPhase("reading"), newBlockedPhase("blocked")
	for range b.Rounds {
		if err := u.runPhase(ctx, reading); err != nil {
			return err
		}
		r.gate.Lock()
		err := u.runPhase(ctx, blocked)
		r.gate.Unlock()
		if err != nil {
			return err
		}
		time.Sleep(logSettleTime)
	}
	return printBlocked(w, reading, blocked)
}

// blockedRun holds the state of one run of BlockedOutput.
type blockedRun struct {
	BlockedOutput

	fleet  *fleet.Fleet
	client *http.Client
	reader *gatedReader
}

// warmUp sends requests until the adapter is loaded.
func (u *blockedRun) warmUp(ctx context.Context) error {
	deadline := time.Now().Add(requestTimeout)
	for {
		status, err := u.send(ctx, true)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("measure: box served no request within %s: status %d, error %v", requestTimeout, status, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// send sends one request: to a configured route if served is true, otherwise to a path
// without a route, which is refused.
func (u *blockedRun) send(ctx context.Context, served bool) (int, error) {
	path := "/no-route/"
	if served {
		path = "/a/"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.fleet.CallersAddress(1, 1)+path, strings.NewReader("{}"))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	platformtest.SetAttemptID(req.Header, "0123456789abcdef")
	platformtest.SetModel(req.Header, fleet.BaseName+"/a1", 100, 4)
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// runPhase runs one phase: it floods the log, then sends requests at the configured rate.
func (u *blockedRun) runPhase(ctx context.Context, s *blockedPhase) error {
	before, err := u.droppedLines(ctx)
	if err != nil {
		return err
	}
	u.flood(ctx, s)
	time.Sleep(logSettleTime)
	lines, size, start := u.reader.lines.Load(), u.reader.bytes.Load(), time.Now()
	u.sendSteady(ctx, s)
	s.duration += time.Since(start)
	time.Sleep(logSettleTime)
	s.lines += u.reader.lines.Load() - lines
	s.bytes += u.reader.bytes.Load() - size
	after, err := u.droppedLines(ctx)
	s.dropped += after - before
	return err
}

// flood sends requests that are refused, each worker sending the next one as soon as the
// previous one is answered.
func (u *blockedRun) flood(ctx context.Context, s *blockedPhase) {
	var wg sync.WaitGroup
	for range floodWorkers {
		wg.Go(func() {
			for range floodRequests / floodWorkers {
				if status, err := u.send(ctx, false); err != nil || status != http.StatusNotFound {
					s.unexpected.Add(1)
				}
			}
		})
	}
	wg.Wait()
}

// sendSteady sends requests at the configured rate; every second one is refused.
func (u *blockedRun) sendSteady(ctx context.Context, s *blockedPhase) {
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(u.PhaseDuration.Seconds() * float64(u.Rate)) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(u.Rate))))
		wg.Go(func() { u.observe(ctx, s, i%2 == 0) })
	}
	wg.Wait()
}

func (u *blockedRun) observe(ctx context.Context, s *blockedPhase, served bool) {
	latency, want := s.refused, http.StatusNotFound
	if served {
		latency, want = s.served, http.StatusOK
	}
	start := time.Now()
	status, err := u.send(ctx, served)
	if err != nil || status != want {
		s.unexpected.Add(1)
		return
	}
	latency.Observe(time.Since(start))
}

// droppedLines reads the number of log lines that the box has dropped so far.
func (u *blockedRun) droppedLines(ctx context.Context) (int64, error) {
	raw, err := fleet.Get(ctx, "http://"+u.fleet.OperatorsAddress(1, 1, "gateway")+"/metrics")
	if err != nil {
		return 0, err
	}
	v := struct {
		LeftOut int64 `json:"edge_log_lines_left_out"`
	}{}
	return v.LeftOut, errors.Wrap(json.Unmarshal(raw, &v), "measure: decode box metrics")
}

// printBlocked prints both kinds of phase and their ratios. It returns an error if any request
// got an unexpected answer, or if no line was dropped, since the reader was then not blocked.
func printBlocked(w io.Writer, reading, blocked *blockedPhase) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "reader\trequests\tserved p50 ms\tp99 ms\trefused p50 ms\tp99 ms\tlines/s\tbytes/s\tdropped\t\n")
	for _, s := range []*blockedPhase{reading, blocked} {
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.0f\t%d\t\n", s.name, s.served.Count()+s.refused.Count(),
			millis(s.served.Quantile(50)), millis(s.served.Quantile(99)), millis(s.refused.Quantile(50)), millis(s.refused.Quantile(99)),
			float64(s.lines)/s.duration.Seconds(), float64(s.bytes)/s.duration.Seconds(), s.dropped)
	}
	ratio := func(a, b *metrics.Histogram, q float64) float64 { return millis(a.Quantile(q)) / millis(b.Quantile(q)) }
	fmt.Fprintf(t, "blocked / reading\t\t%.2f\t%.2f\t%.2f\t%.2f\t\t\t\t\n",
		ratio(blocked.served, reading.served, 50), ratio(blocked.served, reading.served, 99),
		ratio(blocked.refused, reading.refused, 50), ratio(blocked.refused, reading.refused, 99))
	if err := t.Flush(); err != nil {
		return err
	}
	if unexpected := reading.unexpected.Load() + blocked.unexpected.Load(); unexpected > 0 {
		return errors.Errorf("measure: %d requests did not get the expected status", unexpected)
	}
	if blocked.dropped == 0 {
		return errors.New("measure: no log line was dropped while the reader was blocked")
	}
	return nil
}
