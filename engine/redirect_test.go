// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against a request that ran and counts as not sent, since its endpoint responded with a redirect to an address at which
// the second request could not be written in time, and against requests that the caller did not send.
func TestRedirectThatCannotBeFollowedInTimeWasSent(t *testing.T) {
	c := quicktest.New(t)
	var other, first atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { other.Add(1) }))
	defer target.Close()
	for _, late := range []bool{false, true} {
		sendBy := time.Now().Add(time.Minute)
		if late {
			sendBy = time.Now().Add(time.Second)
		}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			first.Add(1)
			if late {
				time.Sleep(time.Until(sendBy) + time.Millisecond)
			}
			http.Redirect(w, r, target.URL, http.StatusSeeOther)
		}))
		req, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader("{}"))
		c.Assert(err, quicktest.IsNil)
		resp, err := Call(newClient(), req, sendBy)
		c.Assert(err, quicktest.IsNil, quicktest.Commentf("late: %v", late))
		c.Check(resp.StatusCode, quicktest.Equals, http.StatusSeeOther)
		c.Check(resp.Header.Get("Location"), quicktest.Equals, target.URL)
		c.Check(resp.Body.Close(), quicktest.IsNil)
		s.Close()
	}
	c.Check(first.Load(), quicktest.Equals, int64(2))
	c.Check(other.Load(), quicktest.Equals, int64(0))
}

// Guards against an order that counts as carried out, since its response is no error.
func TestOrderThatIsRedirectedMayHaveBeenCarriedOut(t *testing.T) {
	c := quicktest.New(t)
	for _, status := range []int{http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusNotModified} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		}))
		client := &Client{Address: s.Listener.Addr().String(), HTTP: newClient()}
		err := client.Load(context.Background(), Lease{Fence: NewFence(1, "a")}, "x@1", "p")
		var refused *RefusedError
		c.Check(errors.As(err, &refused) && !refused.NotExecuted(), quicktest.IsTrue, quicktest.Commentf("%d: %v", status, err))
		s.Close()
	}
}
