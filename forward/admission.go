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

// overPart is the part of a route's target that a request waits for a quota that is used up: what is
// beyond a quota is told so at once, and a wait that others of the same organisation may use up is not
// worth more of the time in which it must be answered.
const overPart = 0.125

// identify finds whose request it is, by the configuration that is in force now. It is asked
// before each send: a key may have been taken away, and this box may have stood still, since the
// request came.
func (g *Gateway) identify(q *request, now time.Time) *Refusal {
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
		return &Refusal{Code: CodeKeysStale, RetryAfter: noneRetry, Detail: "a key that was taken away may not be known here"}
	}
	o := d.Find(c)
	if o != nil {
		q.organisation = o
		return nil
	}
	if !g.Admission.KeysCurrent(now) {
		return &Refusal{Code: CodeKeysStale, RetryAfter: noneRetry, Detail: "a key that was put in may not be known here"}
	}
	return &Refusal{Code: CodeKeyUnknown, Detail: "no organisation has the key"}
}

// payer returns the name of the organisation whose request it is; empty for nobody's.
func (q *request) payer() string {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name()
}

// limited tells whether the request counts against a quota.
func (q *request) limited() bool { return q.organisation != nil && q.organisation.Quota().Limits() }

// cost returns what one run of the request counts.
func (q *request) cost() float64 {
	return q.organisation.Quota().Cost(q.call.PromptTokens+q.call.MaxOutputTokens, q.call.TokensStated)
}

// spend takes a run of the request from its organisation's quota, before anything else is used
// for it: what is beyond a quota costs the others no slot, load or retry.
func (g *Gateway) spend(ctx context.Context, q *request) *Refusal {
	if !q.limited() {
		return nil
	}
	s := g.Admission.Charge(ctx, q.organisation, q.cost(), QuotaTimeouts{
		Exceeded:    time.Duration(overPart * float64(q.route.Target())),
		Unavailable: q.useful(clock.Now()) - g.predict(q.call.PromptTokens), // boxes agree anew within a second on who counts
	})
	switch {
	case s.OK:
		q.spent = q.cost()
		return nil
	case s.Exceeded:
		return &Refusal{Code: CodeQuotaExceeded, RetryAfter: s.RetryAfter, Detail: "the organisation asks more than its quota"}
	}
	return &Refusal{Code: CodeQuotaUnknown, RetryAfter: s.RetryAfter, Detail: "nobody who counts the organisation's quota answers"}
}

// spendAgain takes one more run from the quota where the one before began.
func (g *Gateway) spendAgain(q *request) {
	if !q.limited() || q.spent > 0 {
		return
	}
	q.spent = q.cost()
	g.Admission.ChargeUnchecked(q.organisation, q.spent)
}

// giveBack returns what was spent for a run that never began.
func (g *Gateway) giveBack(q *request) {
	if q.spent > 0 && q.organisation != nil {
		g.Admission.Refund(q.organisation, q.spent)
		q.spent = 0
	}
}
