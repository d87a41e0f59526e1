// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"maps"
	"sync"
	"syscall"
	"time"

	"cairnwick.example/wire"
)

// Kinds of messages between boxes, as labels of their counts.
const (
	kindHeartbeat = "heartbeat"      // with changes of some members
	kindWholeView = "whole_view"     // a heartbeat with every member
	kindFollow    = "follow"         // subscribes to a stream of facts
	kindBeat      = "beat"           // keep-alive of a stream without new facts
	kindConfig    = "facts_config"   // the configuration, with any other facts sent along
	kindEndpoints = "facts_endpoint" // endpoints, with their slots
	kindSlots     = "facts_slots"    // slots of endpoints only
	kindVersions  = "facts_version"  // adapter versions only
	kindUse       = "use_change"     // changes of usage
	kindWholeUse  = "use_whole"      // full usage of a box
	kindLevel     = "level"          // the reply to either, with the cost of a load
	kindAsk       = "ask"            // request for an adapter load, and the reply
	kindResign    = "resign"         // handover of an endpoint, and the reply
	kindSettle    = "settle"         // draws from quotas, and the reply
	kindLend      = "lend"           // transfers quota units between data centres, and the reply
	kindEnded     = "ended"          // endpoints that ended while they ran requests or are draining, and the reply
	kindTake      = "take"           // draws from the rate limit of an endpoint, and the reply
	kindLimits    = "limits"         // rate limits that endpoints announced, and the reply
	kindOrigins   = "origins"        // software that began streams, and the reply
	kindFind      = "find_origin"    // asks which software began a stream, and the reply
	kindUnknown   = "other"          // message of a newer version
)

// messageKind returns the kind of a message.
func (n *Node) messageKind(_ string, message any) string {
	switch m := message.(type) {
	case *wire.Heartbeat:
		if m.GetFull() {
			return kindWholeView
		}
		return kindHeartbeat
	case *wire.FollowRequest:
		return kindFollow
	case *wire.Update:
		return n.factsKind(m.GetItems())
	case *wire.UseRequest:
		if m.GetPart() {
			return kindUse
		}
		return kindWholeUse
	case *wire.UseReply:
		return kindLevel
	case *wire.AskRequest, *wire.AskReply:
		return kindAsk
	case *wire.ResignRequest, *wire.ResignReply:
		return kindResign
	case *wire.SettleRequest, *wire.SettleReply:
		return kindSettle
	case *wire.LendRequest, *wire.LendReply:
		return kindLend
	case *wire.EndedRequest, *wire.EndedReply:
		return kindEnded
	case *wire.TakeRequest, *wire.TakeReply:
		return kindTake
	case *wire.LimitsRequest, *wire.LimitsReply:
		return kindLimits
	case *wire.RecordOriginsRequest, *wire.RecordOriginsReply:
		return kindOrigins
	case *wire.FindOriginRequest, *wire.FindOriginReply:
		return kindFind
	}
	return kindUnknown
}

// factsKind returns the kind of a message of facts: that of its most significant fact.
func (n *Node) factsKind(items []*wire.Item) string {
	if len(items) == 0 {
		return kindBeat
	}
	kind := kindVersions
	for _, i := range items {
		switch n.Decoder.Kind(i.GetKey()) {
		case KindConfig:
			return kindConfig
		case KindEndpoint:
			kind = kindEndpoints
		case KindOther:
			if kind == kindVersions {
				kind = kindSlots
			}
		}
	}
	return kind
}

// Reasons of calls to the source, as labels of their counts.
const (
	reasonFirstList   = "first_list"   // the first list after start-up
	reasonLeader      = "leads"        // this box leads, and others rely on its reads
	reasonNoStatus    = "not_told"     // the status of the followed box is missing or too old
	reasonHistoryLost = "forgotten"    // a list, since the source no longer has the change history
	reasonAfterOutage = "after_outage" // a list, since endpoint registrations may have expired during an outage
)

// sourceCalls counts calls to the source by reason.
type sourceCalls struct {
	mu       sync.Mutex
	byReason map[string]int64
}

func (c *sourceCalls) count(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = make(map[string]int64)
	}
	c.byReason[reason]++
}

func (c *sourceCalls) counts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byReason)
}

// trafficLogInterval is the interval of the log lines with message counts. It is short enough to show changes in the
// course of a day, and a line of some 2 KB is negligible beside the traffic that it counts.
const trafficLogInterval = 10 * time.Second

// logTraffic logs the cumulative counts of messages at debug level, until ctx ends.
func (n *Node) logTraffic(ctx context.Context) error {
	for {
		sleep(ctx, trafficLogInterval)
		if ctx.Err() != nil {
			return nil
		}
		n.Log.V(1).Info("Message counts", "messages", n.messages.Counts(),
			"source_calls", n.sourceCalls.counts(), "processor_ms", processorTime().Milliseconds(), "leads", n.leads())
	}
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // not supported here: only this figure is missing
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
