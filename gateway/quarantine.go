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
	reportTimeout  = time.Second // for a report to another gateway, which normally takes a millisecond
	maxPendingEnds = 256         // reports pending; more are not sent, and count only at this gateway

	// terminationCheckTimeout limits the check whether an engine ended, which opens a few connections and
	// observes each for a fraction of a second.
	terminationCheckTimeout = 3 * time.Second
)

// Peers calls other daemons.
type Peers interface {
	// ReportEnded reports endpoints that ended, and the requests that they ran then, to the daemon at an address.
	ReportEnded(ctx context.Context, address string, q *wire.EndedRequest) error
}

// newWatcher returns the detector of endpoints that end under requests of this gateway.
func (g *Gateway) newWatcher() *quarantine.Monitor {
	return &quarantine.Monitor{
		IsTerminated: func(ctx context.Context, address string) bool {
			ctx, cancel := context.WithTimeout(ctx, terminationCheckTimeout)
			defer cancel()
			return engine.HasEnded(ctx, g.DialEngine, address)
		},
		OnTermination: g.endpointEnded,
	}
}

// endpointEnded records the end of an endpoint and queues a report to the other gateways; suspects are the
// requests that may have caused it.
func (g *Gateway) endpointEnded(endpoint string, suspects []quarantine.Fingerprint) {
	g.Log.Info("Endpoint ended under requests", "endpoint", endpoint, "contents", quarantine.Strings(suspects))
	if len(suspects) == 0 {
		return
	}
	g.recordEnd(endpoint, suspects, time.Now())
	select {
	case g.pendingEnds <- &wire.EndpointEnd{Endpoint: endpoint, Contents: quarantine.Encode(suspects)}:
	default:
		g.Log.Info("Report of an endpoint's end dropped: too many reports pending", "endpoint", endpoint)
	}
}

// ReceiveEnded records the reports of another gateway of the data centre. Each data centre counts for itself, so
// a request can end three endpoints in each before it is quarantined there.
func (g *Gateway) ReceiveEnded(q *wire.EndedRequest) {
	for _, e := range q.GetEnds() {
		g.recordEnd(e.GetEndpoint(), quarantine.Decode(e.GetContents()), time.Now())
	}
}

// recordEnd counts the end of an endpoint against the requests that it ran, and quarantines those that have
// reached the limit.
func (g *Gateway) recordEnd(endpoint string, contents []quarantine.Fingerprint, now time.Time) {
	for _, c := range g.tracker.RecordTermination(endpoint, contents, now) {
		until := now.Add(quarantine.Duration)
		g.tracker.List().Add(c, until)
		g.Log.Info("Request is kept from endpoints", "content", c.String(), "until", until.UTC().Format(time.RFC3339))
	}
}

// checkQuarantine returns the failure of a quarantined request; nil: it may be sent.
func (g *Gateway) checkQuarantine(c quarantine.Fingerprint) *Failure {
	remaining, kept := g.tracker.List().Remaining(c, time.Now())
	if !kept {
		return nil
	}
	return &Failure{Code: CodeQuarantined, Ran: NotRun, Message: "endpoints ended while they ran requests with this content", RetryAfter: remaining}
}

// expireInterval is the time between two checks for quarantines that have ended.
const expireInterval = 10 * time.Second

// runQuarantine sends pending reports to the other gateways and removes quarantines that have ended, until ctx
// ends.
func (g *Gateway) runQuarantine(ctx context.Context) error {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			for _, c := range g.tracker.List().Expire(time.Now()) {
				g.Log.Info("Request may reach endpoints again", "content", c.String())
			}
		case e := <-g.pendingEnds:
			g.reportToPeers(ctx, &wire.EndedRequest{Box: g.Name, Ends: []*wire.EndpointEnd{e}})
		}
	}
}

// reportToPeers sends a report to all other gateways of the data centre, without retries: one that it does not
// reach still counts the ends that it detects itself.
func (g *Gateway) reportToPeers(ctx context.Context, q *wire.EndedRequest) {
	finished := make(chan struct{})
	pending := 0
	for _, m := range g.Members.Members() {
		if m.Role() != member.Gateway || m.Name() == g.Name || !m.Serving() {
			continue
		}
		pending++
		go func() {
			g.reportToPeer(ctx, m, q)
			finished <- struct{}{}
		}()
	}
	for range pending {
		<-finished
	}
}

func (g *Gateway) reportToPeer(ctx context.Context, m member.Member, q *wire.EndedRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := g.Peers.ReportEnded(ctx, m.Address(), q); err != nil {
		g.Log.Info("Report of an endpoint's end could not be sent", "member", m.Name(), "err", err.Error())
	}
}

// incarnationOf identifies the incarnation of an endpoint that a grant is for: the owner increments the
// fencing token when the endpoint has restarted.
func incarnationOf(h heldGrant) string {
	return fmt.Sprintf("%s under %s", h.endpoint, h.grant.GetFence())
}
