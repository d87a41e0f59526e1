// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"net/http"
	"time"

	"cairnwick.example/clock"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second        // callers reuse keep-alive connections that were idle for less
	leaveNoticeTime   = 2800 * time.Millisecond // the load balancer probes each second and reacts to the second failed probe
	shutdownMargin    = 300 * time.Millisecond  // part of the grace period that is reserved for the shutdown itself
	leavePollInterval = 100 * time.Millisecond  // between two checks whether leaveNoticeTime is over
	// finalAnswerTime is the last part of the shutdown, reserved for error responses to the requests that are still
	// held, so that their connections are not closed without one. A response has a few hundred bytes, to a caller
	// some milliseconds away, for up to a thousand requests.
	finalAnswerTime = 300 * time.Millisecond
)

// leave announces to the load balancer and to the other boxes that this box shuts down, and waits until they have
// reacted. Idle connections are closed and held requests are completed afterwards. The box goes on deciding about the
// loads of its endpoints until the next leader takes over.
func (n *Node) leave() {
	n.Log.Info("Shutdown announced; waiting for the load balancer and the other boxes", "held", n.gateway.InFlight())
	begun := clock.Now()
	n.leaving.Store(true)
	n.gateway.Drain()
	n.loader.Leave(begun) // before this box's own view shows another leader
	n.peers.table.Leave()
	for clock.Since(begun) < leaveNoticeTime {
		time.Sleep(leavePollInterval)
	}
	n.Log.Info("Shutdown notice period over", "held", n.gateway.InFlight(), "took_ms", clock.Since(begun).Milliseconds())
}

// isReady reports whether the box can serve callers.
func (n *Node) isReady() bool {
	now := clock.Now()
	return !n.leaving.Load() && n.view.Config() != nil && len(n.view.All()) > 0 && n.peers.hasFacts(now) && n.keysStayCurrent(now)
}

func (n *Node) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
