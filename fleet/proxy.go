// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"cairnwick.example/member"
	"cairnwick.example/standin"
	"github.com/pkg/errors"
)

// startProxy starts the proxy with a route to everything that daemons reach.
func (f *Fleet) startProxy(ctx context.Context) error {
	args := []string{"--listen", f.ProxyAddress()}
	route := func(ip string, port int) {
		args = append(args, "--route", fmt.Sprintf("%s:%d=%s:%d", ip, port+proxyOffset, ip, port))
	}
	route(f.net+".1", standinPort)
	for c := 1; c <= f.Spec.Centres; c++ {
		for b := 1; b <= f.Spec.Boxes; b++ {
			route(f.boxIP(c, b), peersPort+offset(member.Gateway))
			route(f.boxIP(c, b), peersPort+offset(member.Scheduler))
		}
		for e := 1; e <= f.Spec.Engines; e++ {
			route(f.engineIP(c, e), standinPort)
		}
	}
	if err := f.run("proxy", "standin-proxy", args...); err != nil {
		return err
	}
	return f.await(ctx, func() error { return f.SetRules(ctx, nil) })
}

// SetRules replaces the proxy's rules.
func (f *Fleet) SetRules(ctx context.Context, rules []standin.Rule) error {
	raw, err := json.Marshal(rules)
	if err != nil {
		return err
	}
	_, err = exchange(ctx, http.MethodPut, "http://"+f.ProxyAddress()+"/rules", raw)
	return err
}

// Range returns the addresses of a part of the fleet: platform, dc1 (its boxes
// and engines), boxes1 (the boxes of a data centre), box1.2, engine1.2 or all.
func (f *Fleet) Range(part string) (low, high netip.Addr, err error) {
	at := func(first, last int) (netip.Addr, netip.Addr, error) {
		return netip.MustParseAddr(fmt.Sprintf("%s.%d", f.net, first)), netip.MustParseAddr(fmt.Sprintf("%s.%d", f.net, last)), nil
	}
	numbers := strings.TrimLeft(part, "abcdefghijklmnopqrstuvwxyz")
	kind := strings.TrimSuffix(part, numbers)
	first, second, _ := strings.Cut(numbers, ".")
	c, _ := strconv.Atoi(first)  // zero for parts without a number
	n, _ := strconv.Atoi(second) // the same
	switch kind {
	case "all":
		return at(1, 254)
	case "platform":
		return at(1, 1)
	case "dc":
		return at(40*c, 40*c+39)
	case "boxes":
		return at(40*c, 40*c+19)
	case "box":
		return at(40*c+n, 40*c+n)
	case "engine":
		return at(40*c+20+n, 40*c+20+n)
	}
	return low, high, errors.Errorf("fleet: part %q: write all, platform, dc1, boxes1, box1.2 or engine1.2", part)
}

// NewRule returns a rule for what passes from one part to another.
func (f *Fleet) NewRule(from, to, mode string) (standin.Rule, error) {
	r := standin.Rule{Mode: mode}
	var err error
	if r.FromLow, r.FromHigh, err = f.Range(from); err != nil {
		return r, err
	}
	r.ToLow, r.ToHigh, err = f.Range(to)
	return r, err
}
