// SPDX-License-Identifier: Apache-2.0

// Command standin-proxy forwards TCP connections and injects faults.
package main

import (
	"os"
	"strings"

	"cairnwick.example/standin"
	"github.com/alexflint/go-arg"
)

type arguments struct {
	Listen string   `arg:"--listen,required" help:"IP:port for PUT /rules"`
	Routes []string `arg:"--route,separate" help:"LISTEN=TARGET, both IP:port"`
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	proxy := &standin.Proxy{}
	for _, r := range a.Routes {
		listen, target, found := strings.Cut(r, "=")
		if !found {
			p.Fail("--route: want LISTEN=TARGET")
		}
		proxy.Routes = append(proxy.Routes, standin.Route{Listen: listen, Target: target})
	}
	os.Exit(standin.Main(a.Listen, proxy.Handler(), proxy.Run, nil))
}
