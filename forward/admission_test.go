// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// fakeAdmission grants the units that are left.
type fakeAdmission struct {
	mu                         sync.Mutex
	keysUnusable, keysOutdated bool
	left                       float64
	charged, refunded          float64
	noLeader                   bool
}

// KeysUsable implements Admission.
func (a *fakeAdmission) KeysUsable(time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.keysUnusable
}

// KeysCurrent implements Admission.
func (a *fakeAdmission) KeysCurrent(time.Time) bool { return !a.keysOutdated }

// Charge implements Admission.
func (a *fakeAdmission) Charge(_ context.Context, _ *access.Organisation, units float64, _ QuotaTimeouts) ChargeResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.noLeader || a.left < units {
		return ChargeResult{Exceeded: !a.noLeader, RetryAfter: 300 * time.Millisecond}
	}
	a.left -= units
	return ChargeResult{OK: true}
}

// ChargeUnchecked implements Admission.
func (a *fakeAdmission) ChargeUnchecked(_ *access.Organisation, units float64) { a.charged += units }

// Refund implements Admission.
func (a *fakeAdmission) Refund(_ *access.Organisation, units float64) { a.refunded += units }

// newKeyedSite returns a site whose callers need keys: organisation "org" has the key "good".
func newKeyedSite(t *testing.T, r topology.RouteSpec, q access.Quota) (*testSite, *fakeAdmission) {
	s := newSite(t, r)
	s.setOrganisations(access.Spec{Name: "org", Keys: []access.Digest{access.KeyDigest("good")}, Quota: q})
	a := &fakeAdmission{left: 1e9}
	s.gateway.Admission = a
	return s, a
}

// setOrganisations applies a configuration with just these organisations.
func (s *testSite) setOrganisations(specs ...access.Spec) {
	d, err := access.NewDirectory(specs)
	s.c.Assert(err, quicktest.IsNil)
	old := s.gateway.View.Config()
	route := old.Route("site.example", "/")
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app"})}
	n := topology.NewConfig(old.Version()+1, []*topology.Route{route}, services, old.Limits())
	s.gateway.View.SetConfig(n.WithCallers(d))
}

// askWithKey sends one request with a key and returns the status and the Retry-After.
func (s *testSite) askWithKey(key string) (status int, back string) {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", strings.NewReader("the body"))
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	r.Header.Set("Id", "call-1")
	if key != "" {
		r.Header.Set("Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	s.c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Test-Retry-After")
}

func TestUnknownKeyIsRejected(t *testing.T) {
	s, _ := newKeyedSite(t, onceRoute(time.Second), access.Quota{})
	var payer string
	calls := s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		payer = r.Header.Get("Test-Organisation")
		answerOK(w, r)
	})
	for _, key := range []string{"", "bad"} {
		status, _ := s.askWithKey(key)
		s.c.Assert(status, quicktest.Equals, http.StatusUnauthorized)
	}
	s.c.Assert(calls.Load(), quicktest.Equals, int64(0))
	status, _ := s.askWithKey("good")
	s.c.Assert(status, quicktest.Equals, http.StatusOK)
	s.c.Assert(payer, quicktest.Equals, "org")
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	r := onceRoute(time.Second)
	r.Public = true
	s, a := newKeyedSite(t, r, access.Quota{Rate: 1})
	a.keysUnusable = true
	var payer string
	s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		payer = r.Header.Get("Test-Organisation")
		answerOK(w, r)
	})
	for _, key := range []string{"", "bad", "good"} {
		status, _ := s.askWithKey(key)
		s.c.Assert(status, quicktest.Equals, http.StatusOK)
		s.c.Assert(payer, quicktest.Equals, "")
	}
}

// A box may miss a revocation if its copy of the keys is too old. It then refuses all requests with keys,
// with a status that says that nothing was executed.
func TestStaleKeysNeitherAcceptNorReject(t *testing.T) {
	s, a := newKeyedSite(t, onceRoute(time.Second), access.Quota{})
	calls := s.endpoint(t, answerOK)
	a.keysUnusable = true
	for _, key := range []string{"good", "bad"} {
		status, back := s.askWithKey(key)
		s.c.Assert(status, quicktest.Equals, http.StatusServiceUnavailable)
		s.c.Assert(back, quicktest.Equals, unavailableRetryAfter.String())
	}
	s.c.Assert(calls.Load(), quicktest.Equals, int64(0))
	a.keysUnusable, a.keysOutdated = false, true // recent enough to accept a key, but not to reject one
	status, _ := s.askWithKey("good")
	s.c.Assert(status, quicktest.Equals, http.StatusOK)
	status, _ = s.askWithKey("new")
	s.c.Assert(status, quicktest.Equals, http.StatusServiceUnavailable)
}

// While a request waited for its adapter its key was revoked, or the box was suspended until its copy of the
// keys was too old. The next attempt did not check the key again.
func TestKeyIsCheckedBeforeEachAttempt(t *testing.T) {
	for name, change := range map[string]func(*testSite, *fakeAdmission){
		"revoked": func(s *testSite, _ *fakeAdmission) { s.setOrganisations(access.Spec{Name: "org"}) },
		"keys too old": func(_ *testSite, a *fakeAdmission) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.keysUnusable = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, a := newKeyedSite(t, repeatableRoute(2*time.Second), access.Quota{Rate: 1})
			first := func(w http.ResponseWriter, r *http.Request) {
				change(s, a)
				refuseNotExecuted(w, r)
			}
			one, two := s.endpoint(t, first), s.endpoint(t, first)
			status, _ := s.askWithKey("good")
			s.c.Assert(status >= 400, quicktest.IsTrue)
			s.c.Assert(one.Load()+two.Load(), quicktest.Equals, int64(1))
			s.c.Assert(a.refunded, quicktest.Equals, 1.0) // it was never executed
		})
	}
}

func TestRequestOverQuotaReachesNoEndpoint(t *testing.T) {
	s, a := newKeyedSite(t, onceRoute(time.Second), access.Quota{Rate: 10})
	calls := s.endpoint(t, answerOK)
	a.left = 2
	for range 2 {
		status, _ := s.askWithKey("good")
		s.c.Assert(status, quicktest.Equals, http.StatusOK)
	}
	status, back := s.askWithKey("good")
	s.c.Assert(status, quicktest.Equals, http.StatusTooManyRequests)
	s.c.Assert(back, quicktest.Equals, "300ms")
	a.noLeader = true
	status, back = s.askWithKey("good")
	s.c.Assert(status, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(back, quicktest.Equals, "300ms")
	s.c.Assert(calls.Load(), quicktest.Equals, int64(2))
	s.c.Assert(a.refunded, quicktest.Equals, 0.0)
}

func TestQuotaChargesExecutionsOnly(t *testing.T) {
	for name, k := range map[string]struct {
		handler        http.HandlerFunc
		again, returns float64
	}{
		"executed":       {answerOK, 0, 0},
		"never executed": {refuseNotExecuted, 0, 1},
		"fails twice":    {dropConnection, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, a := newKeyedSite(t, repeatableRoute(2*time.Second), access.Quota{Rate: 10})
			s.endpoint(t, k.handler)
			s.endpoint(t, k.handler)
			s.askWithKey("good")
			s.c.Assert(a.charged, quicktest.Equals, k.again)
			s.c.Assert(a.refunded, quicktest.Equals, k.returns)
		})
	}
}
