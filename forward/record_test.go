// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"
)

// logLines collects a gateway's log lines.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) add(_, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// containing returns the lines that contain text.
func (l *logLines) containing(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var some []string
	for _, k := range l.lines {
		if strings.Contains(k, text) {
			some = append(some, k)
		}
	}
	return some
}

// A request was refused for overload, and no log line had its ID.
func TestEarlyRefusalIsLoggedWithRequestID(t *testing.T) {
	for _, k := range []struct {
		name  string
		site  *testSite
		held  int
		cause string
	}{
		{"overload", newSite(t, onceRoute(time.Second)), 0, "overloaded"},
		{"no configuration", newSite(t), 100, "no_configuration"},
	} {
		t.Run(k.name, func(t *testing.T) {
			var l logLines
			k.site.gateway.Log = funcr.New(l.add, funcr.Options{})
			k.site.gateway.MaxInFlight = k.held
			resp, _, err := k.site.ask("/")
			c := quicktest.New(t)
			c.Assert(err, quicktest.IsNil)
			c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
			failed := l.containing("Request failed")
			c.Assert(failed, quicktest.HasLen, 1)
			c.Assert(failed[0], quicktest.Contains, `"request"="call-1"`)
			c.Assert(failed[0], quicktest.Contains, k.cause)
		})
	}
}

// failingPlacer returns an error, as if no leader answered.
type failingPlacer struct{}

// Place implements Placer.
func (failingPlacer) Place(context.Context, AdapterRequest) (PlacementResult, error) {
	return PlacementResult{}, errors.New("no leader answers")
}

// While a leader changed each waiting request logged the same line ten times a second.
func TestMissingOwnerIsLoggedOnce(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	var l logLines
	s.gateway.Log = funcr.New(l.add, funcr.Options{})
	s.gateway.Placer = failingPlacer{}
	e := topology.NewEndpoint(topology.EndpointSpec{ID: "e1", DataCentre: "dc", Slots: 1})
	q := &request{config: s.gateway.View.Config(), call: Call{ID: "call-1", Adapter: topology.Adapter{Model: "m", Name: "a"}}, received: time.Now(),
		deadline: time.Now().Add(time.Second), route: topology.NewRoute(onceRoute(time.Second))}
	for range 3 {
		_, _, settling := s.gateway.requestPlacement(context.Background(), q, []*topology.Endpoint{e})
		s.c.Assert(settling, quicktest.IsTrue)
	}
	s.c.Assert(l.containing("No leader answered"), quicktest.HasLen, 1)
}
