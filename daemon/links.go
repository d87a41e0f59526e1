// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/clock"
	"cairnwick.example/daemon/tunnel"
	"cairnwick.example/engine"
	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
)

const (
	// linkCheckInterval is the time between two checks of the links to the endpoints.
	linkCheckInterval = 500 * time.Millisecond
	// linkIdleTime is how long nothing may come from the endpoints until one is probed: with 380 boxes and 920 endpoints an
	// endpoint gets one probe a second if no daemon has any other traffic.
	linkIdleTime = time.Second
	// linkProbeTimeout is the timeout of a probe, which takes an endpoint a millisecond.
	linkProbeTimeout = 400 * time.Millisecond
	// linkProbes is how many endpoints are probed before this box takes itself for cut off, of different data centres if possible.
	linkProbes = 3
	// maxLinkHelpers is how many other boxes one connection tries.
	maxLinkHelpers = 3
	// linkTunnelTimeout is the timeout of a connection through one box.
	linkTunnelTimeout = 500 * time.Millisecond
	// linkTunnelWindow bounds the bytes in flight of one connection through another box.
	linkTunnelWindow = 64 << 10
	// maxTunnels bounds the connections that a daemon opens for others.
	maxTunnels = 256
)

// links is this daemon's way to the endpoints. While no endpoint answers over the box's own link and one answers through another
// box, this box is cut off: requests then go through other boxes.
type links struct {
	node    *Node
	dialer  *Dialer         // of tunnels, apart from other calls: a connection may be silent for long
	probes  *http.Transport // over this box's own link, with a new connection for each: open ones may be dead alone
	relayed *http.Transport // through other boxes, with a new connection for each request
	tunnels atomic.Int64    // connections open for other daemons

	mu         sync.Mutex
	answeredAt time.Time // when data last came over this box's own link
	cutOff     bool
	abandon    map[int]func() // ends requests that may be abandoned
	nextKey    int            // of abandon
	counts     linkCounts
}

// linkCounts is the entry of the metrics.
type linkCounts struct {
	CutOff      bool  `json:"cut_off"`
	CutOffTimes int64 `json:"cut_off_times"`
	Relayed     int64 `json:"relayed"`      // connections opened through other boxes
	RelayFailed int64 `json:"relay_failed"` // connections that could not be opened through other boxes
}

func newLinks(n *Node, d *Dialer) *links {
	l := &links{node: n, dialer: d, abandon: make(map[int]func())}
	l.probes, l.relayed = engine.NewTransport(n.EndpointDial(), 0), engine.NewTransport(l.dialRelay, 0)
	l.probes.DisableKeepAlives, l.relayed.DisableKeepAlives = true, true
	return l
}

// String implements expvar.Var.
func (l *links) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	counts.CutOff = l.cutOff
	text, err := json.Marshal(counts)
	if err != nil {
		return "null" // counts can always be encoded
	}
	return string(text)
}

// run checks the links until ctx ends.
func (l *links) run(ctx context.Context) error {
	tick := time.NewTicker(linkCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.dialer.Close()
			return nil
		case <-tick.C:
			if l.checkIsDue(clock.Now()) {
				l.check(ctx)
			}
		}
	}
}

// checkIsDue reports whether the endpoints have to be probed.
func (l *links) checkIsDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutOff || now.Sub(l.answeredAt) >= linkIdleTime
}

// check probes endpoints, and determines whether this box is cut off from them.
func (l *links) check(ctx context.Context) {
	sample := l.sample()
	if len(sample) == 0 {
		return
	}
	wasCutOff := l.isCutOff()
	if !wasCutOff && l.anyAnswers(ctx, l.probes, sample[:1]) {
		return
	}
	switch {
	case l.anyAnswers(ctx, l.probes, sample):
		l.setCutOff(false)
	case !wasCutOff && l.anyAnswers(ctx, l.relayed, sample): // otherwise the endpoints themselves may have ended
		l.setCutOff(true)
	}
}

// sample returns endpoints to probe, in random order, those of different data centres first.
func (l *links) sample() []catalog.Endpoint {
	c := l.node.Keeper.Catalog()
	if c == nil {
		return nil
	}
	names := c.Endpoints()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	seen := make(map[string]bool)
	var first, rest []catalog.Endpoint
	for _, n := range names {
		e, known := c.Endpoint(n)
		switch {
		case !known:
		case seen[e.DataCentre()]:
			rest = append(rest, e)
		default:
			seen[e.DataCentre()] = true
			first = append(first, e)
		}
	}
	sample := append(first, rest...)
	return sample[:min(len(sample), linkProbes)]
}

// anyAnswers probes endpoints, all at the same time, and reports whether one answers.
func (l *links) anyAnswers(ctx context.Context, t *http.Transport, sample []catalog.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, linkProbeTimeout)
	defer cancel()
	answers := make(chan bool, len(sample))
	for _, e := range sample {
		go func() {
			probe := engine.Client{Address: e.Address(), HTTP: &http.Client{Transport: t}}
			_, err := probe.ReadState(ctx)
			answers <- err == nil
		}()
	}
	for range sample {
		if <-answers {
			return true
		}
	}
	return false
}

func (l *links) isCutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutOff
}

// setCutOff changes whether this box is cut off. Requests that may be executed again or resumed don't wait for the link.
func (l *links) setCutOff(cutOff bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutOff == cutOff {
		return
	}
	l.cutOff = cutOff
	if !cutOff {
		l.node.Log.Info("Endpoints answer over this box's own link again")
		return
	}
	l.counts.CutOffTimes++
	l.node.Log.Info("Endpoints answer through another box only; requests go through others", "abandoned", len(l.abandon))
	for _, end := range l.abandon {
		end()
	}
}

// recordAnswer records data that came over this box's own link.
func (l *links) recordAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt = clock.Now()
}

// track has a request ended when this box is cut off, if it may be abandoned, until done is called.
func (l *links) track(ctx context.Context) (tracked context.Context, done func()) {
	if !engine.MayAbandon(ctx) {
		return ctx, func() {}
	}
	tracked, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	key := l.nextKey
	l.nextKey++
	l.abandon[key] = cancel
	return tracked, func() {
		cancel()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.abandon, key)
	}
}

// endpointAt returns the endpoint with an address.
func (l *links) endpointAt(address string) (catalog.Endpoint, bool) {
	c := l.node.Keeper.Catalog()
	if c == nil {
		return catalog.Endpoint{}, false
	}
	for _, n := range c.Endpoints() {
		if e, _ := c.Endpoint(n); e.Address() == address {
			return e, true
		}
	}
	return catalog.Endpoint{}, false
}

// dialRelay opens a connection to an endpoint through another box.
func (l *links) dialRelay(ctx context.Context, _, address string) (net.Conn, error) {
	e, known := l.endpointAt(address)
	if !known {
		return nil, errors.Errorf("daemon: no endpoint is published at %s", address)
	}
	if l.node.Role == member.Scheduler && !e.ChecksFences() {
		return nil, errors.New("daemon: the endpoint checks no fences, and another box may deliver an order late")
	}
	err := errors.New("daemon: no other box serves")
	for _, m := range l.helpers() {
		var c net.Conn
		if c, err = l.dialThrough(ctx, m, e); err == nil {
			l.countRelay(true)
			return c, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	l.countRelay(false)
	return nil, errors.Wrap(err, "daemon: connect through another box")
}

func (l *links) countRelay(opened bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if opened {
		l.counts.Relayed++
		return
	}
	l.counts.RelayFailed++
}

// helpers returns daemons of other boxes to connect through, by an order of this daemon's own.
func (l *links) helpers() []member.Member {
	byName := make(map[string]member.Member)
	var names []string
	for _, m := range l.node.Table.Members() {
		box, _, _ := strings.Cut(m.Name(), "/")
		if m.Role() == l.node.Role && m.Serving() && box != l.node.box {
			byName[m.Name()] = m
			names = append(names, m.Name())
		}
	}
	var list []member.Member
	for _, n := range policy.Rank(l.node.Name(), names)[:min(len(names), maxLinkHelpers)] {
		list = append(list, byName[n])
	}
	return list
}

// dialThrough opens a connection through one daemon.
func (l *links) dialThrough(ctx context.Context, m member.Member, e catalog.Endpoint) (net.Conn, error) {
	open := func(ctx context.Context) (tunnel.Client, error) {
		return wire.NewPeerClient(l.dialer.Conn(m.Address())).Tunnel(ctx)
	}
	stream, _, cancel, err := tunnel.Open(ctx, linkTunnelTimeout, open, &wire.TunnelRequest{Box: l.node.Name(), Endpoint: e.Name()})
	if err != nil {
		return nil, err
	}
	return l.node.traffic.Endpoints.WrapConn(tunnel.NewConn(stream, cancel, e.Address(), func() {})), nil
}

// linkTransport sends requests over this box's own link, or through other boxes while it is cut off.
type linkTransport struct {
	links  *links
	direct *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *linkTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.links.isCutOff() {
		if _, known := t.links.endpointAt(r.URL.Host); known {
			return t.links.relayed.RoundTrip(r)
		}
	}
	ctx, done := t.links.track(r.Context())
	resp, err := t.direct.RoundTrip(r.WithContext(ctx))
	if err != nil {
		done()
		return nil, err
	}
	t.links.recordAnswer()
	resp.Body = &linkBody{ReadCloser: resp.Body, links: t.links, done: done}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of http.Client.CloseIdleConnections.
func (t *linkTransport) CloseIdleConnections() { t.direct.CloseIdleConnections() }

// linkBody is the body of a response over this box's own link.
type linkBody struct {
	io.ReadCloser

	links *links
	done  func()
}

// Read implements io.Reader.
func (b *linkBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.links.recordAnswer()
	}
	return n, err
}

// Close implements io.Closer.
func (b *linkBody) Close() error {
	b.done()
	return b.ReadCloser.Close()
}
