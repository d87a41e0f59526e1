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

// Messages counts the messages between this daemon and the others. Set the exported fields
// before the first connection. It is safe for concurrent use.
type Messages struct {
	// Kind names what a message of a method is for; at most some dozen kinds.
	Kind func(method string, message any) string
	// Near tells whether the daemon at an IP number is of the own data centre; known is
	// false for one that has not been heard of.
	Near func(ip string) (near, known bool)

	mu     sync.Mutex
	counts map[messageKey]MessageCount
}

// messageKey says which messages are counted together.
type messageKey struct {
	kind string
	sent bool // else received
	far  bool // to or from another data centre
}

// MessageCount is how many messages of a kind passed one way.
type MessageCount struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"` // as they were encoded, without headers
}

// Where messages went, or came from.
const (
	sentNear     = "sent_near"
	sentFar      = "sent_far"
	receivedNear = "received_near"
	receivedFar  = "received_far"
)

func (k messageKey) way() string {
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

func (m *Messages) count(k messageKey, bytes int) {
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

// Counts returns what was counted so far, by kind and then by way: near is the own data
// centre, far any other.
func (m *Messages) Counts() map[string]map[string]MessageCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]map[string]MessageCount)
	for k, c := range m.counts {
		if all[k.kind] == nil {
			all[k.kind] = make(map[string]MessageCount)
		}
		all[k.kind][k.way()] = c
	}
	return all
}

// String is the JSON form that expvar publishes.
func (m *Messages) String() string {
	raw, err := json.Marshal(m.Counts())
	if err != nil {
		return "{}" // it holds texts and numbers alone
	}
	return string(raw)
}

// peerMessages counts the messages of one connection. It implements stats.Handler.
type peerMessages struct {
	messages *Messages
	ip       string // of the other daemon

	mu    sync.Mutex
	known bool
	near  bool
}

// forPeer returns what counts the messages with the daemon at an address, IP:port.
func (m *Messages) forPeer(address string) *peerMessages {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		ip = address
	}
	return &peerMessages{messages: m, ip: ip}
}

func (p *peerMessages) isNear() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		p.near, p.known = p.messages.Near(p.ip)
	}
	return p.near
}

// TagRPC implements stats.Handler.
func (*peerMessages) TagRPC(ctx context.Context, t *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, path.Base(t.FullMethodName))
}

// HandleRPC implements stats.Handler.
func (p *peerMessages) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch s := s.(type) {
	case *stats.InPayload:
		p.messages.count(messageKey{kind: p.messages.Kind(method, s.Payload), far: !p.isNear()}, s.WireLength)
	case *stats.OutPayload:
		p.messages.count(messageKey{kind: p.messages.Kind(method, s.Payload), sent: true, far: !p.isNear()}, s.WireLength)
	}
}

// TagConn implements stats.Handler.
func (*peerMessages) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*peerMessages) HandleConn(context.Context, stats.ConnStats) {}

type (
	methodKey struct{} // of the method's name in a call's context
	peerKey   struct{} // of the connection's *peerMessages in a call's context
)

// servedMessages counts the messages of all connections that a server takes. It implements
// stats.Handler.
type servedMessages struct{ messages *Messages }

// TagConn implements stats.Handler.
func (s servedMessages) TagConn(ctx context.Context, t *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, peerKey{}, s.messages.forPeer(t.RemoteAddr.String()))
}

// HandleConn implements stats.Handler.
func (servedMessages) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (servedMessages) TagRPC(ctx context.Context, t *stats.RPCTagInfo) context.Context {
	return (*peerMessages)(nil).TagRPC(ctx, t)
}

// HandleRPC implements stats.Handler.
func (servedMessages) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if p, ok := ctx.Value(peerKey{}).(*peerMessages); ok {
		p.HandleRPC(ctx, s)
	}
}

var (
	_ stats.Handler = (*peerMessages)(nil)
	_ stats.Handler = servedMessages{}
)
