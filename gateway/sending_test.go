// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net"
	"net/http"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/policy"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// newSendingGateway returns a gateway that sends requests to endpoints on the transport of the daemons.
func newSendingGateway(c *quicktest.C) *Gateway {
	g := newGateway(c, ScopeDataCentre)
	g.EngineClient = &http.Client{Transport: engine.NewTransport((&net.Dialer{}).DialContext, 4)}
	g.Log = logr.Discard()
	g.Timeouts = Timeouts{Failover: time.Second, KeyClaim: time.Minute, Resume: time.Second, Idle: 5 * time.Second}
	g.RetryBudget = policy.NewRetryBudget(1, 100)
	return g
}
