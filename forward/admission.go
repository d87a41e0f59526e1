// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/clock"
)

// Admission checks keys and quotas, which hold for all boxes together.
type Admission interface {
	// KeysUsable reports whether this box's copy of the keys is recent enough to accept one. A key
	// that was revoked since must soon be rejected.
	KeysUsable(now time.Time) bool
	// KeysCurrent reports whether the copy is recent enough to reject a key. One that was added since
	// is valid.
	KeysCurrent(now time.Time) bool
	// Charge takes units from an organisation's quota. It waits at most as long as p allows.
	Charge(ctx context.Context, o *access.Organisation, units float64, p QuotaTimeouts) ChargeResult
	// ChargeUnchecked takes units whether or not the quota has them.
	ChargeUnchecked(o *access.Organisation, units float64)
	// Refund returns the units of a request that was not executed.
	Refund(o *access.Organisation, units float64)
}

// QuotaTimeouts limits how long a request waits for a quota.
type QuotaTimeouts struct {
	Exceeded    time.Duration // if the quota is used up, and is known to have units again within that time
	Unavailable time.Duration // if no leader that counts the quota answers
}

// ChargeResult is the answer to Admission.Charge.
type ChargeResult struct {
	OK         bool
	Exceeded   bool          // not OK: the quota is used up; otherwise no leader that counts it answered
	RetryAfter time.Duration // not OK: until the units are likely granted
}

// quotaWaitFraction is the part of a route's target latency that a request waits for a quota that is used up.
// Callers over their quota are refused soon. A longer wait is not worth the time that the response needs,
// since other requests of the same organisation may use up the units that become free.
const quotaWaitFraction = 0.125

// authenticate finds the organisation of a request in the current configuration. It is called before each
// attempt: since the request came its key may have been revoked, and this box may have been
// suspended.
func (g *Gateway) authenticate(q *request, now time.Time) *Refusal {
	directory := g.View.Config().Callers()
	if directory == nil || q.route.Public() {
		q.organisation = nil
		return nil
	}
	credential := q.call.Credential
	if !credential.IsSet() {
		return &Refusal{Code: CodeKeyUnknown, Detail: "the request has no key, or several"}
	}
	if !g.Admission.KeysUsable(now) {
		return &Refusal{Code: CodeKeysStale, RetryAfter: unavailableRetryAfter, Detail: "this box's copy of the keys is too old to accept one"}
	}
	o := directory.Find(credential)
	if o != nil {
		q.organisation = o
		return nil
	}
	if !g.Admission.KeysCurrent(now) {
		return &Refusal{Code: CodeKeysStale, RetryAfter: unavailableRetryAfter, Detail: "this box's copy of the keys is too old to reject one"}
	}
	return &Refusal{Code: CodeKeyUnknown, Detail: "no organisation has the key"}
}

// organisationName returns the name of the request's organisation; empty for none.
func (q *request) organisationName() string {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name()
}

// hasQuota reports whether the request counts towards a quota.
func (q *request) hasQuota() bool { return q.organisation != nil && q.organisation.Quota().IsLimited() }

// quotaCost returns the units of one execution of the request.
func (q *request) quotaCost() float64 {
	return q.organisation.Quota().Cost(q.call.PromptTokens+q.call.MaxOutputTokens, q.call.TokensStated)
}

// chargeQuota charges one execution of the request to its organisation's quota. It comes before anything else
// is used, so that requests over a quota cost the other organisations no slots, loads or retries.
func (g *Gateway) chargeQuota(ctx context.Context, q *request) *Refusal {
	if !q.hasQuota() {
		return nil
	}
	result := g.Admission.Charge(ctx, q.organisation, q.quotaCost(), QuotaTimeouts{
		Exceeded:    time.Duration(quotaWaitFraction * float64(q.route.LatencyTarget())),
		Unavailable: q.usefulTime(clock.Now()) - g.predictFirstToken(q.call.PromptTokens), // leaders change within a second
	})
	switch {
	case result.OK:
		q.charged = q.quotaCost()
		return nil
	case result.Exceeded:
		return &Refusal{Code: CodeQuotaExceeded, RetryAfter: result.RetryAfter, Detail: "the organisation's quota is used up"}
	}
	return &Refusal{Code: CodeQuotaUnknown, RetryAfter: result.RetryAfter, Detail: "no leader that counts the organisation's quota answered"}
}

// rechargeQuota charges another execution if the one before has begun.
func (g *Gateway) rechargeQuota(q *request) {
	if !q.hasQuota() || q.charged > 0 {
		return
	}
	q.charged = q.quotaCost()
	g.Admission.ChargeUnchecked(q.organisation, q.charged)
}

// refundQuota returns the units of an execution that never began.
func (g *Gateway) refundQuota(q *request) {
	if q.charged > 0 && q.organisation != nil {
		g.Admission.Refund(q.organisation, q.charged)
		q.charged = 0
	}
}
