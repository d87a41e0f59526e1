// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/member"
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
)

const (
	endedTimeout = time.Second     // for a report to another gateway, which normally takes a millisecond
	lookTimeout  = 3 * time.Second // for the check whether an engine ended: a few connections, each observed for a fraction of a second
	endsBuffer   = 256             // reports pending; more are not sent, and count only at this gateway
)

// Peers calls other daemons.
type Peers interface {
	// TellEnded reports endpoints that ended, and the requests that they ran then, to the daemon at an address.
	TellEnded(ctx context.Context, address string, q *wire.EndedRequest) error
}

// newWatch returns the detector of endpoints that end under requests of this gateway.
func (g *Gateway) newWatch() *quarantine.Watch {
	return &quarantine.Watch{
		HasEnded: func(ctx context.Context, address string) bool {
			ctx, cancel := context.WithTimeout(ctx, lookTimeout)
			defer cancel()
			return engine.HasEnded(ctx, g.Dial, address)
		},
		Ended: g.endpointEnded,
	}
}

// endpointEnded records the end of an endpoint and queues a report to the other gateways; suspects are the
// requests that may have caused it.
func (g *Gateway) endpointEnded(endpoint string, suspects []quarantine.Content) {
	g.Log.Info("Endpoint ended under requests", "endpoint", endpoint, "contents", quarantine.Texts(suspects))
	if len(suspects) == 0 {
		return
	}
	g.count(endpoint, suspects, time.Now())
	select {
	case g.ends <- &wire.EndpointEnd{Endpoint: endpoint, Contents: quarantine.Encode(suspects)}:
	default:
		g.Log.Info("Report of an endpoint's end dropped: too many reports pending", "endpoint", endpoint)
	}
}

// Ended records the reports of another gateway of the data centre. Each data centre counts for itself, so a
// request can end three endpoints in each before it is quarantined there.
func (g *Gateway) Ended(q *wire.EndedRequest) {
	for _, e := range q.GetEnds() {
		g.count(e.GetEndpoint(), quarantine.Decode(e.GetContents()), time.Now())
	}
}

// count counts the end of an endpoint against the requests that it ran, and quarantines those that have
// reached the limit.
func (g *Gateway) count(endpoint string, contents []quarantine.Content, now time.Time) {
	for _, c := range g.tracker.Note(endpoint, contents, now) {
		until := now.Add(quarantine.KeptFor)
		g.tracker.Kept().Add(c, until)
		g.Log.Info("Request is kept from endpoints", "content", c.String(), "until", until.UTC().Format(time.RFC3339))
	}
}

// quarantined returns the failure of a quarantined request; nil: it may be sent.
func (g *Gateway) quarantined(c quarantine.Content) *Failure {
	left, kept := g.tracker.Kept().Left(c, time.Now())
	if !kept {
		return nil
	}
	return &Failure{Code: CodeQuarantined, Ran: NotRun, Message: "endpoints ended while they ran requests with this content", Retry: left}
}

// expirePause is the time between two checks for quarantines that have ended.
const expirePause = 10 * time.Second

// tellEnds sends pending reports to the other gateways and removes quarantines that have ended, until ctx
// ends.
func (g *Gateway) tellEnds(ctx context.Context) error {
	expire := time.NewTicker(expirePause)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			for _, c := range g.tracker.Kept().Expire(time.Now()) {
				g.Log.Info("Request may reach endpoints again", "content", c.String())
			}
		case e := <-g.ends:
			g.tellEnd(ctx, &wire.EndedRequest{Box: g.Name, Ends: []*wire.EndpointEnd{e}})
		}
	}
}

// tellEnd sends a report to all other gateways, without retries: one that it does not reach still counts the
// ends that it detects itself.
func (g *Gateway) tellEnd(ctx context.Context, q *wire.EndedRequest) {
	told := make(chan struct{})
	calls := 0
	for _, m := range g.Members.All() {
		if m.Role() != member.Gateway || m.Name() == g.Name || !m.Serving() {
			continue
		}
		calls++
		go func() {
			g.tellOne(ctx, m, q)
			told <- struct{}{}
		}()
	}
	for range calls {
		<-told
	}
}

func (g *Gateway) tellOne(ctx context.Context, m member.Member, q *wire.EndedRequest) {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	if err := g.Peers.TellEnded(ctx, m.Address(), q); err != nil {
		g.Log.Info("Report of an endpoint's end could not be sent", "member", m.Name(), "err", err.Error())
	}
}

// lifeOf identifies the incarnation of an endpoint that a grant is for: the owner increments the fencing
// token when the endpoint has restarted.
func lifeOf(h heldGrant) string { return fmt.Sprintf("%s under %s", h.endpoint, h.grant.GetFence()) }
