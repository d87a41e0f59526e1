// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/http"
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// keyedGateway returns a gateway whose engine completes every request, and its scheduler.
func keyedGateway(c *quicktest.C) (*Gateway, *fakeScheduler, func() int64) {
	address, requests := refusingEngine(c, http.StatusOK, "", `{"choices":[]}`)
	g := newSendingGateway(c)
	s := &fakeScheduler{acquire: func(int, string) *wire.AcquireReply { return grantAt(address) }}
	g.schedule(s)
	return g, s, requests.Load
}

// Guards against a request that runs although its claim may belong to an attempt that is still on its way, or that says that it did
// not run for ever: the home keeps a claim whose reply was lost.
func TestLostReplyToAClaimRunsNothing(t *testing.T) {
	c := quicktest.New(t)
	g, s, requests := keyedGateway(c)
	s.lostBegins = 1
	f := failureOf(c, g.serveOnce(http.MethodPost, modelsPath, modelBody, false))
	c.Check(f.Code, quicktest.Equals, CodeKeyInProgress)
	c.Check(f.Ran, quicktest.Equals, MayHaveRun)
	c.Check(requests(), quicktest.Equals, int64(0))
}

// A home that does not reply lets nothing run, and the attempt that asked it has not run.
func TestKeyWithoutAHomeRunsNothing(t *testing.T) {
	c := quicktest.New(t)
	g, s, requests := keyedGateway(c)
	g.Timeouts.KeyClaim = 40 * time.Millisecond
	s.lostBegins = 1 << 20
	f := failureOf(c, g.serveOnce(http.MethodPost, modelsPath, modelBody, false))
	c.Check(f.Code, quicktest.Equals, CodeKeyHomeUnreachable)
	c.Check(f.Ran, quicktest.Equals, NotRun)
	c.Check(requests(), quicktest.Equals, int64(0))
	c.Check(s.ended, quicktest.HasLen, 0)
}

// Guards against a second execution with a key whose outcome did not reach its home.
func TestKeyStaysClaimedIfItsOutcomeIsLost(t *testing.T) {
	c := quicktest.New(t)
	g, s, requests := keyedGateway(c)
	s.losesEnds = true
	key := newKey()
	c.Check(g.serveWithKey(http.MethodPost, modelsPath, modelBody, key).Code, quicktest.Equals, http.StatusOK)
	f := failureOf(c, g.serveWithKey(http.MethodPost, modelsPath, modelBody, key))
	c.Check(f.Code, quicktest.Equals, CodeKeyInProgress)
	c.Check(f.Ran, quicktest.Equals, MayHaveRun)
	c.Check(requests(), quicktest.Equals, int64(1))
}

// Only an attempt that has provably not run releases its key.
func TestOutcomeOfAKey(t *testing.T) {
	c := quicktest.New(t)
	c.Check(keyOutcome(NotRun), quicktest.Equals, wire.KeyState_KEY_STATE_CLAIMED)
	c.Check(keyOutcome(MayHaveRun), quicktest.Equals, wire.KeyState_KEY_STATE_UNKNOWN)
	c.Check(keyOutcome(HasRun), quicktest.Equals, wire.KeyState_KEY_STATE_RAN)
	c.Check(keyOutcome(""), quicktest.Equals, wire.KeyState_KEY_STATE_UNKNOWN)
}

// Guards against states of a key that a gateway does not know and takes for a claim.
func TestOnlyAClaimLetsARequestRun(t *testing.T) {
	c := quicktest.New(t)
	for state := wire.KeyState(0); state < 10; state++ {
		f := keyFailure(state, false, time.Second)
		c.Check(f == nil, quicktest.Equals, state == wire.KeyState_KEY_STATE_CLAIMED)
		c.Check(f == nil || f.Ran != NotRun, quicktest.IsTrue)
	}
}
