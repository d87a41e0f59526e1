// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"encoding/json"
	"net"
	"path"
	"sync"

	"google.golang.org/grpc/stats"
)

// MessageCounter counts the gRPC messages between this daemon and the others. Set the exported
// fields before the first connection. It is safe for concurrent use.
type MessageCounter struct {
	// Kind classifies a message of a method. There should be no more than a dozen or so kinds.
	Kind func(method string, message any) string
	// Near reports whether the daemon at an IP address is in the own data centre; known is
	// false if there is no known daemon at the address.
	Near func(ip string) (near, known bool)

	mu     sync.Mutex
	counts map[messageKey]MessageCount
}

// messageKey identifies a counter.
type messageKey struct {
	kind string
	sent bool // false: received
	far  bool // to or from another data centre
}

// MessageCount is the number and size of the messages of one kind and direction.
type MessageCount struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"` // encoded, without headers
}

// The directions: near is the own data centre, far any other.
const (
	sentNear     = "sent_near"
	sentFar      = "sent_far"
	receivedNear = "received_near"
	receivedFar  = "received_far"
)

func (k messageKey) direction() string {
	switch {
	case k.sent && k.far:
		return sentFar
	case k.sent:
		return sentNear
	case k.far:
		return receivedFar
	}
	return receivedNear
}

func (m *MessageCounter) count(k messageKey, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = make(map[messageKey]MessageCount)
	}
	c := m.counts[k]
	c.Messages++
	c.Bytes += int64(bytes)
	m.counts[k] = c
}

// Counts returns the counts so far, by kind and then by direction.
func (m *MessageCounter) Counts() map[string]map[string]MessageCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]map[string]MessageCount)
	for k, c := range m.counts {
		if counts[k.kind] == nil {
			counts[k.kind] = make(map[string]MessageCount)
		}
		counts[k.kind][k.direction()] = c
	}
	return counts
}

// String returns the counts as JSON, for expvar.
func (m *MessageCounter) String() string {
	raw, err := json.Marshal(m.Counts())
	if err != nil {
		return "{}" // impossible: the counts are strings and numbers
	}
	return string(raw)
}

// connStats counts the messages of one connection. It implements stats.Handler.
type connStats struct {
	counter *MessageCounter
	ip      string // of the other daemon

	mu    sync.Mutex
	known bool
	near  bool
}

// newConnStats returns the handler for the connection to the daemon at an address, IP:port.
func (m *MessageCounter) newConnStats(address string) *connStats {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		ip = address
	}
	return &connStats{counter: m, ip: ip}
}

// isNear reports whether the other daemon is in the own data centre. It remembers the result
// once the daemon is known.
func (p *connStats) isNear() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		p.near, p.known = p.counter.Near(p.ip)
	}
	return p.near
}

// TagRPC implements stats.Handler.
func (*connStats) TagRPC(ctx context.Context, t *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, path.Base(t.FullMethodName))
}

// HandleRPC implements stats.Handler.
func (p *connStats) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch s := s.(type) {
	case *stats.InPayload:
		p.counter.count(messageKey{kind: p.counter.Kind(method, s.Payload), far: !p.isNear()}, s.WireLength)
	case *stats.OutPayload:
		p.counter.count(messageKey{kind: p.counter.Kind(method, s.Payload), sent: true, far: !p.isNear()}, s.WireLength)
	}
}

// TagConn implements stats.Handler.
func (*connStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*connStats) HandleConn(context.Context, stats.ConnStats) {}

type (
	methodKey    struct{} // of the method's name in a call's context
	connStatsKey struct{} // of the connection's *connStats in a call's context
)

// serverStats counts the messages of all connections to a server. It implements stats.Handler.
type serverStats struct{ counter *MessageCounter }

// TagConn implements stats.Handler.
func (s serverStats) TagConn(ctx context.Context, t *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connStatsKey{}, s.counter.newConnStats(t.RemoteAddr.String()))
}

// HandleConn implements stats.Handler.
func (serverStats) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (serverStats) TagRPC(ctx context.Context, t *stats.RPCTagInfo) context.Context {
	return (*connStats)(nil).TagRPC(ctx, t)
}

// HandleRPC implements stats.Handler.
func (serverStats) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if p, ok := ctx.Value(connStatsKey{}).(*connStats); ok {
		p.HandleRPC(ctx, s)
	}
}

var (
	_ stats.Handler = (*connStats)(nil)
	_ stats.Handler = serverStats{}
)
