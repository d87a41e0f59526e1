// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"net/http"

	"cairnwick.example/member"
	"cairnwick.example/standin"
)

// startProxy starts the proxy with routes to the platform, the daemons and the engines, and waits until it is ready.
func (f *Fleet) startProxy(ctx context.Context) error {
	args := []string{"--listen", f.ProxyAddress()}
	route := func(ip string, port int) {
		args = append(args, "--route", joinHostPort(ip, port+proxyOffset)+"="+joinHostPort(ip, port))
	}
	route(f.platformIP(), standinPort)
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
	return f.poll(ctx, func() error { return f.SetRules(ctx, nil) })
}

// SetRules replaces the rules of the proxy. Without rules, it forwards everything.
func (f *Fleet) SetRules(ctx context.Context, rules []standin.Rule) error {
	raw, err := json.Marshal(rules)
	if err != nil {
		return err
	}
	_, err = doRequest(ctx, http.MethodPut, "http://"+f.ProxyAddress()+"/rules", raw)
	return err
}

// NewRule returns a rule for connections from one part of the fleet to another; see AddressRange for the parts.
func (f *Fleet) NewRule(from, to, mode string) (standin.Rule, error) {
	r := standin.Rule{Mode: mode}
	var err error
	if r.FromLow, r.FromHigh, err = f.AddressRange(from); err != nil {
		return r, err
	}
	r.ToLow, r.ToHigh, err = f.AddressRange(to)
	return r, err
}
