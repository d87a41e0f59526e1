// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/engine"
	"cairnwick.example/member"
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
)

const (
	reportTimeout     = time.Second // for a report to another gateway, which normally takes a millisecond
	maxPendingReports = 256         // reports pending; more are not sent, and count only at this gateway

	// terminationCheckTimeout limits the check whether an engine ended, which opens a few connections and
	// observes each for a fraction of a second.
	terminationCheckTimeout = 3 * time.Second
)

// modelService names all endpoints that run models, for the quarantine of parts of prompts.
const modelService = "models"

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
			return engine.HasExited(ctx, g.DialEngine, address)
		},
		OnTermination: g.endpointEnded,
	}
}

// endpointEnded records the end of an endpoint and queues a report to the other gateways; suspects are the
// requests that may have caused it.
func (g *Gateway) endpointEnded(endpoint string, suspects []quarantine.Suspect) {
	g.Log.Info("Endpoint ended under requests", "endpoint", endpoint, "contents", quarantine.Strings(quarantine.Contents(suspects)),
		"parts", quarantine.PartIDs(quarantine.SuspectParts(suspects)))
	if len(suspects) == 0 {
		return
	}
	now := time.Now()
	t := g.tracker.NewTermination(endpoint, suspects, now)
	g.recordEnd(t, now)
	g.queueReport(&wire.EndedRequest{Box: g.Name, Ends: []*wire.EndpointEnd{daemon.EncodeTermination(t)}})
}

// queueReport queues a report to the other gateways.
func (g *Gateway) queueReport(q *wire.EndedRequest) {
	select {
	case g.pendingReports <- q:
	default:
		g.Log.Info("Report on requests that end endpoints dropped: too many reports pending", "ends", len(q.GetEnds()), "begun", len(q.GetBegun()))
	}
}

// responseBegan records that an endpoint began to respond to a request: no part of its prompt ends endpoints.
func (g *Gateway) responseBegan(q *request) {
	if q.responseBegan {
		return
	}
	q.responseBegan = true
	now := time.Now()
	wrong := g.tracker.RecordBegun(modelService, q.parts, now)
	if len(wrong) == 0 {
		return
	}
	g.lift(wrong, now)
	g.queueReport(&wire.EndedRequest{Box: g.Name, Begun: quarantine.Encode(wrong)})
}

// lift ends the quarantine of parts to which an endpoint began to respond.
func (g *Gateway) lift(parts []quarantine.Fingerprint, now time.Time) {
	for _, c := range parts {
		if g.tracker.Lift(c, now.Add(quarantine.Duration+quarantine.LiftedTime), now) {
			g.Log.Info("Quarantine is lifted: an endpoint began to respond to a request with this part", "content", c.String())
		}
	}
}

// ReceiveEnded records the reports of another gateway of the data centre. Each data centre counts for itself, so
// a request can end three endpoints in each before it is quarantined there.
func (g *Gateway) ReceiveEnded(q *wire.EndedRequest) {
	now := time.Now()
	for _, e := range q.GetEnds() {
		t := daemon.DecodeTermination(e)
		if begun := g.tracker.Begun(t, now); len(begun) > 0 {
			g.queueReport(&wire.EndedRequest{Box: g.Name, Begun: quarantine.Encode(begun)})
		}
		g.recordEnd(t, now)
	}
	g.lift(quarantine.Decode(q.GetBegun()), now)
}

// recordEnd counts the end of an endpoint against what it ran, and quarantines the requests and parts that have
// reached the limit.
func (g *Gateway) recordEnd(t quarantine.Termination, now time.Time) {
	g.quarantine(g.tracker.RecordTermination(t, now).Found, now)
}

func (g *Gateway) quarantine(found []quarantine.Fingerprint, now time.Time) {
	for _, c := range found {
		until := now.Add(quarantine.Duration)
		g.tracker.List().Add(c, until)
		g.Log.Info("Request is kept from endpoints", "content", c.String(), "until", until.UTC().Format(time.RFC3339))
	}
}

// checkQuarantine returns the failure of a quarantined request; nil: it may be sent.
func (g *Gateway) checkQuarantine(c quarantine.Fingerprint, parts []quarantine.Part) *Failure {
	now := time.Now()
	message := "endpoints ended while they ran requests with this content"
	remaining, kept := g.tracker.List().Remaining(c, now)
	for i := 0; i < len(parts) && !kept; i++ {
		message = "endpoints ended while they ran requests with " + parts[i].ID()
		remaining, kept = g.tracker.List().Remaining(parts[i].Own(), now)
	}
	if !kept {
		return nil
	}
	return &Failure{Code: CodeQuarantined, Ran: NotRun, Message: message, RetryAfter: remaining}
}

// expireInterval is the time between two checks for quarantines that have ended.
const expireInterval = 10 * time.Second

// runQuarantine sends pending reports to the other gateways and removes quarantines that have ended, until ctx
// ends.
func (g *Gateway) runQuarantine(ctx context.Context) error {
	expire, due := time.NewTicker(expireInterval), time.NewTicker(quarantine.ObjectionTime)
	defer expire.Stop()
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			for _, c := range g.tracker.List().Expire(time.Now()) {
				g.Log.Info("Request may reach endpoints again", "content", c.String())
			}
		case <-due.C:
			now := time.Now()
			found, _ := g.tracker.Due(now)
			g.quarantine(found, now)
		case q := <-g.pendingReports:
			g.reportToPeers(ctx, q)
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
