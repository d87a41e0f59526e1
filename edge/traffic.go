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

// What messages between boxes are for, as they are counted.
const (
	kindHeartbeat = "heartbeat"      // with some news of members
	kindWholeView = "whole_view"     // a heartbeat with every member
	kindFollow    = "follow"         // asks for a stream of facts
	kindBeat      = "beat"           // of a stream that has nothing new
	kindConfig    = "facts_config"   // the configuration, with whatever else came at the time
	kindEndpoints = "facts_endpoint" // lives of endpoints, with what they hold
	kindSlots     = "facts_slots"    // what endpoints hold, alone
	kindVersions  = "facts_version"  // versions of adapters alone
	kindUse       = "use_change"     // changes of use
	kindWholeUse  = "use_whole"      // all of a box's use
	kindLevel     = "level"          // the answer to either
	kindAsk       = "ask"            // for a load, and the answer
	kindResign    = "resign"         // and the answer
	kindSettle    = "settle"         // draws from quotas, and the answer
	kindLend      = "lend"           // moves a part of the quotas between data centres, and the answer
	kindEnded     = "ended"          // endpoints that ended while they ran requests, and the answer
	kindTake      = "take"           // of the requests that an endpoint takes which names a limit
	kindLimits    = "limits"         // what endpoints say of their limits
	kindUnknown   = "other"          // of a newer version
)

// messageKind names what a message is for.
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
	}
	return kindUnknown
}

// factsKind names a message of facts by the largest kind among them.
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

// Why the source is called, as the calls are counted.
const (
	readFirst       = "first_list"   // of a box that has just started
	readLeads       = "leads"        // others rely on it
	readNotTold     = "not_told"     // the word of the box that is followed is missing or too old
	readForgotten   = "forgotten"    // a list, since the source forgot its history
	readAfterOutage = "after_outage" // a list, since endpoints may have lapsed in an outage
)

// calls counts the calls to the source by their reason.
type calls struct {
	mu       sync.Mutex
	byReason map[string]int64
}

func (c *calls) count(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = make(map[string]int64)
	}
	c.byReason[reason]++
}

func (c *calls) counts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byReason)
}

// trafficPause is between two lines about messages: a day's course shows in them, and a line
// of some 2 KB costs nothing beside what it counts.
const trafficPause = 10 * time.Second

// logTraffic logs, at the level of debugging, what passed so far, until ctx ends.
func (n *Node) logTraffic(ctx context.Context) error {
	for {
		sleep(ctx, trafficPause)
		if ctx.Err() != nil {
			return nil
		}
		n.Log.V(1).Info("Messages were counted", "messages", n.messages.Counts(),
			"source_calls", n.calls.counts(), "processor_ms", processorTime().Milliseconds(), "leads", n.leads())
	}
}

// processorTime returns how much processor time this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // a system without it: the figure is missing, nothing else
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
