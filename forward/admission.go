// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/clock"
)

// Admission knows what holds for organisations over all boxes.
type Admission interface {
	// KeysUsable tells whether what this box knows of keys is recent enough to serve by: a key that
	// was taken away since may not be served for long.
	KeysUsable(now time.Time) bool
	// KeysCurrent tells whether it is recent enough to say that a key stands for nobody: one that was
	// put in since does.
	KeysCurrent(now time.Time) bool
	// Charge takes units from an organisation's quota. It waits as long as p says.
	Charge(ctx context.Context, o *access.Organisation, units float64, p QuotaTimeouts) ChargeResult
	// ChargeUnchecked takes units that are used in any case.
	ChargeUnchecked(o *access.Organisation, units float64)
	// Refund gives back units of a request that did not run.
	Refund(o *access.Organisation, units float64)
}

// QuotaTimeouts is how long a request waits for a quota.
type QuotaTimeouts struct {
	Exceeded    time.Duration // where the quota is used up and known to have room again within it
	Unavailable time.Duration // for somebody who counts the quota
}

// ChargeResult is what became of a request for units of a quota.
type ChargeResult struct {
	OK         bool
	Exceeded   bool          // not OK: the quota is used up; else nobody who counts it answers
	RetryAfter time.Duration // not OK: when it is likely granted
}

// quotaWaitFraction is the part of a route's target that a request waits for a quota that is used up: what is
// beyond a quota is told so at once, and a wait that others of the same organisation may use up is not
// worth more of the time in which it must be answered.
const quotaWaitFraction = 0.125

// authenticate finds whose request it is, by the configuration that is in force now. It is asked
// before each send: a key may have been taken away, and this box may have stood still, since the
// request came.
func (g *Gateway) authenticate(q *request, now time.Time) *Refusal {
	d := g.View.Config().Callers()
	if d == nil || q.route.Public() {
		q.organisation = nil
		return nil
	}
	c := q.call.Credential
	if !c.Given() {
		return &Refusal{Code: CodeKeyUnknown, Detail: "the caller shows no key, or several"}
	}
	if !g.Admission.KeysUsable(now) {
		return &Refusal{Code: CodeKeysStale, RetryAfter: unavailableRetryAfter, Detail: "a key that was taken away may not be known here"}
	}
	o := d.Find(c)
	if o != nil {
		q.organisation = o
		return nil
	}
	if !g.Admission.KeysCurrent(now) {
		return &Refusal{Code: CodeKeysStale, RetryAfter: unavailableRetryAfter, Detail: "a key that was put in may not be known here"}
	}
	return &Refusal{Code: CodeKeyUnknown, Detail: "no organisation has the key"}
}

// organisationName returns the name of the organisation whose request it is; empty for nobody's.
func (q *request) organisationName() string {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name()
}

// hasQuota tells whether the request counts against a quota.
func (q *request) hasQuota() bool { return q.organisation != nil && q.organisation.Quota().Limits() }

// quotaCost returns what one run of the request counts.
func (q *request) quotaCost() float64 {
	return q.organisation.Quota().Cost(q.call.PromptTokens+q.call.MaxOutputTokens, q.call.TokensStated)
}

// chargeQuota takes a run of the request from its organisation's quota, before anything else is used
// for it: what is beyond a quota costs the others no slot, load or retry.
func (g *Gateway) chargeQuota(ctx context.Context, q *request) *Refusal {
	if !q.hasQuota() {
		return nil
	}
	s := g.Admission.Charge(ctx, q.organisation, q.quotaCost(), QuotaTimeouts{
		Exceeded:    time.Duration(quotaWaitFraction * float64(q.route.Target())),
		Unavailable: q.usefulTime(clock.Now()) - g.predictFirstToken(q.call.PromptTokens), // boxes agree anew within a second on who counts
	})
	switch {
	case s.OK:
		q.charged = q.quotaCost()
		return nil
	case s.Exceeded:
		return &Refusal{Code: CodeQuotaExceeded, RetryAfter: s.RetryAfter, Detail: "the organisation asks more than its quota"}
	}
	return &Refusal{Code: CodeQuotaUnknown, RetryAfter: s.RetryAfter, Detail: "nobody who counts the organisation's quota answers"}
}

// rechargeQuota takes one more run from the quota where the one before began.
func (g *Gateway) rechargeQuota(q *request) {
	if !q.hasQuota() || q.charged > 0 {
		return
	}
	q.charged = q.quotaCost()
	g.Admission.ChargeUnchecked(q.organisation, q.charged)
}

// refundQuota returns what was spent for a run that never began.
func (g *Gateway) refundQuota(q *request) {
	if q.charged > 0 && q.organisation != nil {
		g.Admission.Refund(q.organisation, q.charged)
		q.charged = 0
	}
}
