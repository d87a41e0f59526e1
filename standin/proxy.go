// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Route maps an address on which the proxy listens to the address that it
// forwards to.
type Route struct {
	Listen string `json:"listen"`
	Target string `json:"target"`
}

// The modes of a Rule.
const (
	ModePass = "pass"
	ModeHold = "hold" // data is held back without a reset, as in a network partition
	ModeCut  = "cut"  // open and new connections are reset
)

// Rule applies a mode to connections from one range of addresses to another. Both
// ranges are inclusive. A rule covers both directions of a connection unless
// OneWay is set, which exempts the responses.
type Rule struct {
	FromLow     netip.Addr    `json:"from_low"`
	FromHigh    netip.Addr    `json:"from_high"`
	ToLow       netip.Addr    `json:"to_low"`
	ToHigh      netip.Addr    `json:"to_high"`
	Mode        string        `json:"mode"`
	OneWay      bool          `json:"one_way,omitempty"`
	Delay       time.Duration `json:"delay,omitempty"`      // before each forwarded chunk of data
	CutAfter    int           `json:"cut_after,omitempty"`  // reset the connection after this many bytes of the request; zero: never
	CutResponse int           `json:"cut_answer,omitempty"` // reset the connection after this many bytes of the response; zero: never
	Times       int           `json:"times,omitempty"`      // how many connections CutAfter and CutReply apply to; zero: all
}

func (r Rule) matches(from, to netip.Addr) bool {
	return inRange(from, r.FromLow, r.FromHigh) && inRange(to, r.ToLow, r.ToHigh)
}

func inRange(a, low, high netip.Addr) bool { return !a.Less(low) && !high.Less(a) }

// Proxy forwards TCP connections and injects faults by rules, of which the last
// matching one applies. Set Routes before calling Run.
type Proxy struct {
	Routes []Route

	mu          sync.Mutex
	rules       []Rule
	connections map[*connection]struct{}
	changed     chan struct{} // closed when the rules change
}

// Handler serves PUT /rules, which replaces the rules with a JSON list.
func (p *Proxy) Handler() http.Handler {
	p.changed = make(chan struct{})
	p.connections = make(map[*connection]struct{})
	m := http.NewServeMux()
	m.HandleFunc("PUT /rules", func(w http.ResponseWriter, q *http.Request) {
		var rules []Rule
		if err := json.NewDecoder(q.Body).Decode(&rules); err != nil {
			http.Error(w, "rules: "+err.Error(), http.StatusBadRequest)
			return
		}
		p.setRules(rules)
	})
	return m
}

func (p *Proxy) setRules(rules []Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = rules
	close(p.changed)
	p.changed = make(chan struct{})
	for k := range p.connections {
		if r := p.ruleLocked(k.from, k.to); r.Mode == ModeCut || r.CutAfter > 0 || r.CutResponse > 0 {
			reset(k.caller) // also idle connections
			reset(k.target)
		}
	}
}

func (p *Proxy) ruleLocked(from, to netip.Addr) Rule {
	for i := len(p.rules) - 1; i >= 0; i-- {
		if p.rules[i].matches(from, to) {
			return p.rules[i]
		}
	}
	return Rule{Mode: ModePass}
}

// rule returns the rule for a connection and a channel that is closed when the
// rules change.
func (p *Proxy) rule(from, to netip.Addr) (Rule, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ruleLocked(from, to), p.changed
}

// track adds a connection to the open ones, or removes it if on is false.
func (p *Proxy) track(k *connection, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.connections[k] = struct{}{}
		return
	}
	delete(p.connections, k)
}

// consumeCut returns the rule that resets a new connection after a number of bytes, or the zero Rule, and
// decrements the rule's Times.
func (p *Proxy) consumeCut(from, to netip.Addr) Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.rules) - 1; i >= 0; i-- {
		r := &p.rules[i]
		if !r.matches(from, to) {
			continue
		}
		if r.CutAfter == 0 && r.CutResponse == 0 {
			return Rule{}
		}
		if r.Times < 0 {
			return Rule{}
		}
		if r.Times > 0 {
			r.Times--
			if r.Times == 0 {
				r.Times = -1 // used up
			}
		}
		return *r
	}
	return Rule{}
}

// Run forwards the connections of all routes until ctx is done.
func (p *Proxy) Run(ctx context.Context) error {
	ended := make(chan error, len(p.Routes))
	for _, r := range p.Routes {
		l, err := net.Listen("tcp", r.Listen)
		if err != nil {
			return errors.Wrap(err, "standin: listen for proxy route")
		}
		context.AfterFunc(ctx, func() { l.Close() })
		go func() { ended <- p.accept(ctx, l, r) }()
	}
	for range p.Routes {
		<-ended
	}
	return nil
}

func (p *Proxy) accept(ctx context.Context, l net.Listener, r Route) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go p.forward(ctx, c, r)
	}
}

// connection is a connection through the proxy.
type connection struct {
	proxy  *Proxy
	from   netip.Addr
	to     netip.Addr
	cut    Rule // resets after a number of bytes; zero: none
	caller net.Conn
	target net.Conn
}

// forward forwards a connection until either side closes it or a rule resets it.
func (p *Proxy) forward(ctx context.Context, c net.Conn, r Route) {
	defer reset(c)
	target := netip.MustParseAddrPort(r.Target)
	from := netip.MustParseAddrPort(c.RemoteAddr().String()).Addr()
	if rule, _ := p.rule(from, target.Addr()); rule.Mode == ModeCut {
		return
	}
	t, err := net.Dial("tcp", r.Target)
	if err != nil {
		return
	}
	defer reset(t)
	k := &connection{proxy: p, from: from, to: target.Addr(), cut: p.consumeCut(from, target.Addr()), caller: c, target: t}
	p.track(k, true)
	defer p.track(k, false)
	ended := make(chan struct{}, 2)
	go func() {
		k.relay(ctx, t, c, false, k.cut.CutAfter)
		ended <- struct{}{}
	}()
	go func() {
		k.relay(ctx, c, t, true, k.cut.CutResponse)
		ended <- struct{}{}
	}()
	<-ended
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// relay copies data as the rules allow; if limit is not zero, it stops after that many bytes.
func (k *connection) relay(ctx context.Context, to, from net.Conn, response bool, limit int) {
	buffer := make([]byte, 16<<10)
	for forwarded := 0; ; {
		n, err := from.Read(buffer)
		if n > 0 && !k.waitAllowed(ctx, response) {
			return
		}
		if limit > 0 && forwarded+n >= limit {
			_, _ = to.Write(buffer[:limit-forwarded]) // the connection is reset in any case
			time.Sleep(resetDelay)
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
			forwarded += n
		}
		if err != nil {
			return
		}
	}
}

const resetDelay = 20 * time.Millisecond // lets the last bytes arrive before the reset

// waitAllowed waits until the rules let data pass; false means that the connection must be closed.
func (k *connection) waitAllowed(ctx context.Context, response bool) bool {
	for {
		r, changed := k.proxy.rule(k.from, k.to)
		held := r.Mode == ModeHold && !(response && r.OneWay)
		switch {
		case r.Mode == ModeCut:
			return false
		case !held:
			time.Sleep(r.Delay)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
