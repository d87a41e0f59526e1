// SPDX-License-Identifier: Apache-2.0

package forward

// hearLimit takes in what the head of an answer says of the endpoint's limit. Any answer of the
// endpoint may name one; that there is none only its own answer to this request tells.
func (g *Gateway) hearLimit(q *request, t target, v Answer) {
	switch {
	case v.Elsewhere: // of another endpoint
	case v.LimitUnread != nil:
		g.Limits.Unread(t.endpoint.ID(), v.LimitUnread)
	case v.Limit.Named() || (v.Own && v.Signed):
		g.Limits.Said(t.endpoint.ID(), v.Limit, q.sentAt)
	}
}
