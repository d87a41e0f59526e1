// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"net/http"
	"time"

	"cairnwick.example/clock"
)

const (
	headerTime = 5 * time.Second         // for the head of a request
	idleTime   = 90 * time.Second        // callers use connections again that rested for less
	noticeFor  = 2800 * time.Millisecond // the balancer asks each second and believes the second miss
	endMargin  = 300 * time.Millisecond  // of the grace that is kept for the end itself
	leavePause = 100 * time.Millisecond  // between two looks whether noticeFor is over
	// answerTime is the last of what the held requests have: those that are still held are
	// told then, and their answers written, in place of connections that are closed. An
	// answer is a few hundred bytes to a caller some ms away, for up to a thousand of them.
	answerTime = 300 * time.Millisecond
)

// leave ends the box's work in order: the balancer and the boxes are told first,
// then connections are closed as they rest, and what is held goes on to its end. The box
// orders until the next leader takes its endpoints over.
func (n *Node) leave() {
	n.Log.Info("Box leaves", "held", n.gateway.Held())
	begun := clock.Now()
	n.leaving.Store(true)
	n.gateway.Leave()
	n.loader.Leave(begun) // before its own view says that another box leads
	n.peers.table.Leave()
	for clock.Since(begun) < noticeFor {
		time.Sleep(leavePause)
	}
	n.Log.Info("Box has left", "held", n.gateway.Held(), "took_ms", clock.Since(begun).Milliseconds())
}

// isReady tells whether the box can serve callers.
func (n *Node) isReady() bool {
	return !n.leaving.Load() && n.view.Config() != nil && len(n.view.All()) > 0 && n.keysStayCurrent(clock.Now())
}

func (n *Node) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
