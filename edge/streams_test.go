// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

const (
	streamLength   = 12                    // events
	streamInterval = 10 * time.Millisecond // between two events
)

// streamService is a source with endpoints of several software versions, alternately in two data centres. The events of
// their streams name the software; a stream goes on after the event in Last-Event-Id, whatever software began it.
type streamService struct {
	mu        sync.Mutex
	software  []string // by endpoint; empty: removed
	addresses []string
	revision  uint64
	changed   chan struct{}
}

func newStreamService(c *quicktest.C, software ...string) *streamService {
	s := &streamService{changed: make(chan struct{}), revision: 1}
	for _, name := range software {
		s.add(c, name)
	}
	return s
}

// add starts an endpoint.
func (s *streamService) add(c *quicktest.C, software string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := &http.Server{Handler: streamHandler(software)}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	c.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.software, s.addresses = append(s.software, software), append(s.addresses, l.Addr().String())
}

// remove removes the entries of all endpoints with a software version.
func (s *streamService) remove(software string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, name := range s.software {
		if name == software {
			s.software[i] = ""
		}
	}
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// lateEventPath is the path of streams that begin late.
const lateEventPath = "/late"

func streamHandler(software string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero: from the start
		if last == 0 && r.URL.Path == lateEventPath {
			time.Sleep(leaveNoticeTime + 300*time.Millisecond)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := last + 1; i <= streamLength && r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, software)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(streamInterval)
		}
	})
}

// List implements Source.
func (s *streamService) List(_ context.Context, c Collection) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == Configuration {
		return Batch{Revision: rev(s.revision), Facts: []Fact{{Key: "config", Revision: rev(1), Value: []byte("v")}}}, nil
	}
	b := Batch{Revision: rev(s.revision)}
	for i, software := range s.software {
		if software != "" {
			value := fmt.Sprintf("dc-%d/%s/%s", i%2, s.addresses[i], software)
			b.Facts = append(b.Facts, Fact{Key: fmt.Sprintf("e/%d", i), Revision: rev(1), Value: []byte(value)})
		}
	}
	return b, nil
}

// Watch implements Source.
func (s *streamService) Watch(ctx context.Context, c Collection, after Revision, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	revision, changed := rev(s.revision), s.changed
	s.mu.Unlock()
	if after < revision {
		b := Batch{Revision: revision}
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, software := range s.software {
			if software == "" && c == Endpoints {
				b.Facts = append(b.Facts, Fact{Key: fmt.Sprintf("e/%d", i), Revision: revision, Removed: true})
			}
		}
		return b, nil
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(wait):
	}
	return Batch{Revision: after}, nil
}

// streamDecoder decodes endpoints from values of the form "data centre/address/software".
type streamDecoder struct{ serviceDecoder }

// Endpoint implements Decoder.
func (streamDecoder) Endpoint(key string, value []byte) (*topology.Endpoint, error) {
	parts := strings.SplitN(string(value), "/", 3)
	return topology.NewEndpoint(topology.EndpointSpec{ID: key, Service: "s", DataCentre: parts[0], Address: parts[1], Software: parts[2], Slots: 64}), nil
}

// Config implements Decoder.
func (streamDecoder) Config([]byte) (*topology.Config, error) {
	r := topology.NewRoute(topology.RouteSpec{
		Name: "r", Host: "h", Prefix: "/", Kind: topology.Streaming, Timeout: 5 * time.Second, LatencyTarget: time.Second,
		Services: []topology.WeightedService{{Name: "s", Weight: 1}}, MaxAttempts: 2, Resumable: true,
	})
	s := topology.NewService(topology.ServiceSpec{Name: "s"})
	return topology.NewConfig(1, []*topology.Route{r}, []*topology.Service{s}, topology.RequestLimits{MaxBodyBytes: 1 << 10}), nil
}

// streamProtocol also reads and sets the headers of resumed streams.
type streamProtocol struct{ plainProtocol }

// ParseCall implements forward.Protocol.
func (streamProtocol) ParseCall(h http.Header) (forward.Call, error) {
	return forward.Call{ID: h.Get("Id"), LastEventID: h.Get("Last-Event-Id"), Resumes: h.Get("Test-Resumes")}, nil
}

// SetDirectives implements forward.Protocol.
func (streamProtocol) SetDirectives(h http.Header, d forward.Directives) {
	if d.LastEventID != "" {
		h.Set("Last-Event-Id", d.LastEventID)
	}
}

// streamResult is what a caller got of a stream.
type streamResult struct {
	status   int
	events   int
	software map[string]bool
}

// receive reads events until the response ends, or until it has as many as the caller wants.
func (r *streamResult) receive(resp *http.Response, want int) {
	in := bufio.NewScanner(resp.Body)
	for r.events < want && in.Scan() {
		if name, ok := strings.CutPrefix(in.Text(), "data: "); ok {
			r.events++
			r.software[name] = true
		}
	}
}

// openStream sends one attempt of a stream, and reads its events until the caller has as many as it wants.
func openStream(n *Node, id, resumes string, r *streamResult, want int) {
	openStreamAt(n, "/x", id, resumes, r, want)
}

func openStreamAt(n *Node, path, id, resumes string, r *streamResult, want int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Settings.Callers+path, strings.NewReader("prompt"))
	if err != nil {
		return
	}
	q.Host = "h"
	q.Header.Set("Id", id)
	if r.events > 0 {
		q.Header.Set("Last-Event-Id", strconv.Itoa(r.events))
		q.Header.Set("Test-Resumes", resumes)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		r.status = 0
		return
	}
	defer resp.Body.Close()
	if r.status = resp.StatusCode; r.status == http.StatusOK {
		r.receive(resp, want)
	}
}

// takeUpStreams begins streams at some boxes, breaks each off after some events, and takes it up at another box. between is
// called once all have been broken off.
func takeUpStreams(begin, resume []*Node, count int, between func()) []streamResult {
	results := make([]streamResult, count)
	id := func(attempt, i int) string { return fmt.Sprintf("%s-%d-%d", begin[0].Settings.Callers, attempt, i) }
	inParallel(count, func(i int) {
		results[i].software = make(map[string]bool)
		openStream(begin[i%len(begin)], id(0, i), "", &results[i], 1+i%(streamLength-2))
	})
	between()
	inParallel(count, func(i int) {
		if results[i].events > 0 {
			openStream(resume[(i+1+i/len(resume))%len(resume)], id(1, i), id(0, i), &results[i], streamLength+1)
		}
	})
	return results
}

// inParallel calls f with each index below count, and returns once all calls have.
func inParallel(count int, f func(i int)) {
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() { f(i) })
	}
	all.Wait()
}

// countStreams returns how many streams are complete, and how many hold events of several software versions.
func countStreams(results []streamResult) (complete, mixed int) {
	for _, r := range results {
		if r.events == streamLength {
			complete++
		}
		if len(r.software) > 1 {
			mixed++
		}
	}
	return complete, mixed
}

func startStreamFleet(c *quicktest.C, s Source, boxes int) (nodes []*Node, end func(box int)) {
	return startFleet(c, s, streamDecoder{}, boxes, func(n *Node) { n.Protocol = streamProtocol{} })
}

// Guards against callers that get the rest of a stream from another software version than the one that began it.
func TestStreamTakenUpAtAnotherBoxGoesOnAtItsSoftware(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const count = 120
	nodes, _ := startStreamFleet(c, newStreamService(c, "v1", "v1", "v1", "v1.1", "v1.1", "v1.1"), 6)
	complete, mixed := countStreams(takeUpStreams(nodes, nodes, count, func() {}))
	c.Check(mixed, quicktest.Equals, 0)
	c.Check(complete >= 0.95*count, quicktest.IsTrue, quicktest.Commentf("%d of %d streams are complete", complete, count))
}

// Guards against streams that can't be resumed since the box that began them has ended.
func TestStreamsOfEndedBoxesAreTakenUp(t *testing.T) {
	t.Parallel()
	for _, ended := range []int{1, 3} {
		t.Run(strconv.Itoa(ended), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			const count = 120
			nodes, end := startStreamFleet(c, newStreamService(c, "v1", "v1", "v1", "v1.1", "v1.1", "v1.1"), 6)
			results := takeUpStreams(nodes[:ended], nodes[ended:], count, func() {
				inParallel(ended, end)
			})
			complete, mixed := countStreams(results)
			c.Check(mixed, quicktest.Equals, 0)
			c.Check(complete >= 0.9*count, quicktest.IsTrue, quicktest.Commentf("%d of %d streams are complete", complete, count))
		})
	}
}

// Guards against streams that go on at other software once no endpoint runs the software that began them.
func TestStreamWhoseSoftwareIsGoneIsRefused(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const count = 40
	s := newStreamService(c, "v1", "v1", "v1.1", "v1.1")
	nodes, _ := startStreamFleet(c, s, 2)
	results := takeUpStreams(nodes, nodes, count, func() {
		s.remove("v1")
		for _, n := range nodes {
			for len(n.view.All()) != 2 {
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
	refused := 0
	for _, r := range results {
		if r.status == http.StatusServiceUnavailable {
			refused++
			c.Check(r.software["v1.1"], quicktest.IsFalse)
		}
	}
	complete, mixed := countStreams(results)
	c.Check(mixed, quicktest.Equals, 0)
	c.Check(refused > 0, quicktest.IsTrue)
	c.Check(complete+refused, quicktest.Equals, count)
}

// Guards against a stream that goes on although nobody knows what began it.
func TestUnknownStreamIsRefused(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	nodes, _ := startStreamFleet(c, newStreamService(c, "v1", "v1"), 2)
	for _, resumes := range []string{"", "nobody", "self", strings.Repeat("x", 4000)} {
		r := &streamResult{events: 3, software: make(map[string]bool)}
		openStream(nodes[0], "self", resumes, r, streamLength)
		c.Check(r.status, quicktest.Equals, http.StatusServiceUnavailable)
		c.Check(r.events, quicktest.Equals, 3)
	}
	c.Check(nodes[0].origins.notFound.Load(), quicktest.Equals, int64(4))
}
