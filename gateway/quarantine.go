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
	endedTimeout = time.Second     // for another gateway's answer, which takes a millisecond
	lookTimeout  = 3 * time.Second // for a look whether an engine ended: some connections, each watched for a part of a second
	endsBuffer   = 256             // ends that wait to be told; more are counted here alone
)

// Peers tells other daemons.
type Peers interface {
	// TellEnded tells the daemon at an address under which requests endpoints ended.
	TellEnded(ctx context.Context, address string, q *wire.EndedRequest) error
}

// newWatch returns what finds out which endpoints ended under requests of this gateway.
func (g *Gateway) newWatch() *quarantine.Watch {
	return &quarantine.Watch{
		HasEnded: func(ctx context.Context, address string) bool {
			ctx, cancel := context.WithTimeout(ctx, lookTimeout)
			defer cancel()
			return engine.HasExited(ctx, g.Dial, address)
		},
		Ended: g.endpointEnded,
	}
}

// endpointEnded takes in what this gateway saw, and has the other gateways told.
func (g *Gateway) endpointEnded(endpoint string, suspects []quarantine.Content) {
	g.Log.Info("Endpoint ended under requests", "endpoint", endpoint, "contents", quarantine.Texts(suspects))
	if len(suspects) == 0 {
		return
	}
	g.count(endpoint, suspects, time.Now())
	select {
	case g.ends <- &wire.EndpointEnd{Endpoint: endpoint, Contents: quarantine.Encode(suspects)}:
	default:
		g.Log.Info("End of an endpoint is not told to others: too many wait", "endpoint", endpoint)
	}
}

// Ended takes in what another gateway of the data centre saw. Each counts by itself, so the first
// three endpoints of a data centre are what a request can end there.
func (g *Gateway) Ended(q *wire.EndedRequest) {
	for _, e := range q.GetEnds() {
		g.count(e.GetEndpoint(), quarantine.Decode(e.GetContents()), time.Now())
	}
}

func (g *Gateway) count(endpoint string, contents []quarantine.Content, now time.Time) {
	for _, c := range g.tracker.Note(endpoint, contents, now) {
		until := now.Add(quarantine.KeptFor)
		g.tracker.Kept().Add(c, until)
		g.Log.Info("Request is kept from endpoints", "content", c.String(), "until", until.UTC().Format(time.RFC3339))
	}
}

// quarantined refuses a request under which endpoints ended; nil: it may run.
func (g *Gateway) quarantined(c quarantine.Content) *Failure {
	left, kept := g.tracker.Kept().Left(c, time.Now())
	if !kept {
		return nil
	}
	return &Failure{Code: CodeQuarantined, Ran: NotRun, Message: "endpoints ended while they ran such a request", Retry: left}
}

// expirePause is between two looks for requests that need not be kept away any more.
const expirePause = 10 * time.Second

// tellEnds tells the other gateways which endpoints ended, and forgets requests whose time is over,
// until ctx ends.
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

// tellEnd tells each other gateway once. One that is not reached counts what it sees itself.
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
		g.Log.Info("Gateway was not told under which requests endpoints ended", "member", m.Name(), "err", err.Error())
	}
}

// lifeOf names the life of an endpoint that a grant is for: who owns it raises the fence each time
// that it has started again.
func lifeOf(h heldGrant) string { return fmt.Sprintf("%s under %s", h.endpoint, h.grant.GetFence()) }
