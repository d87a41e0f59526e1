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

	mu      sync.Mutex
	rules   []Rule
	links   map[*link]struct{}
	changed chan struct{} // closed when the rules change
}

// Handler serves PUT /rules, which replaces the rules with a JSON list.
func (p *Proxy) Handler() http.Handler {
	p.changed = make(chan struct{})
	p.links = make(map[*link]struct{})
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
	for k := range p.links {
		if r := p.ruleLocked(k.from, k.to); r.Mode == ModeCut || r.CutAfter > 0 || r.CutResponse > 0 {
			abort(k.caller) // also idle connections
			abort(k.target)
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

// keep adds a connection to the open ones, or removes it.
func (p *Proxy) keep(k *link, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.links[k] = struct{}{}
		return
	}
	delete(p.links, k)
}

// takeCut returns the rule that resets a new connection after a number of bytes, or the zero Rule, and
// decrements the rule's Times.
func (p *Proxy) takeCut(from, to netip.Addr) Rule {
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
			return errors.Wrap(err, "standin: proxy")
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
		go p.carry(ctx, c, r)
	}
}

// link is a connection through the proxy.
type link struct {
	proxy  *Proxy
	from   netip.Addr
	to     netip.Addr
	cut    Rule // resets after a number of bytes; zero: none
	caller net.Conn
	target net.Conn
}

// carry forwards a connection until either side closes it or a rule resets it.
func (p *Proxy) carry(ctx context.Context, c net.Conn, r Route) {
	defer abort(c)
	target := netip.MustParseAddrPort(r.Target)
	from := netip.MustParseAddrPort(c.RemoteAddr().String()).Addr()
	if rule, _ := p.rule(from, target.Addr()); rule.Mode == ModeCut {
		return
	}
	t, err := net.Dial("tcp", r.Target)
	if err != nil {
		return
	}
	defer abort(t)
	k := &link{proxy: p, from: from, to: target.Addr(), cut: p.takeCut(from, target.Addr()), caller: c, target: t}
	p.keep(k, true)
	defer p.keep(k, false)
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

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// relay copies data as the rules allow; if most is not zero, it stops after that many bytes.
func (k *link) relay(ctx context.Context, to, from net.Conn, answer bool, most int) {
	buffer := make([]byte, 16<<10)
	for passed := 0; ; {
		n, err := from.Read(buffer)
		if n > 0 && !k.allow(ctx, answer) {
			return
		}
		if most > 0 && passed+n >= most {
			_, _ = to.Write(buffer[:most-passed]) // the connection is reset in any case
			time.Sleep(cutPause)
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
			passed += n
		}
		if err != nil {
			return
		}
	}
}

const cutPause = 20 * time.Millisecond // lets the last bytes arrive before the reset

// allow waits until the rules let data pass; false means that the connection must be closed.
func (k *link) allow(ctx context.Context, answer bool) bool {
	for {
		r, changed := k.proxy.rule(k.from, k.to)
		held := r.Mode == ModeHold && !(answer && r.OneWay)
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
