// SPDX-License-Identifier: Apache-2.0

// Command standin-service simulates a plain HTTP service.
package main

import (
	"os"
	"time"

	"cairnwick.example/standin"
	"github.com/alexflint/go-arg"
)

type arguments struct {
	Listen string        `arg:"--listen,required" help:"IP:port"`
	Time   time.Duration `arg:"--time" default:"1ms" help:"duration of one call"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	s := &standin.Service{Latency: a.Time}
	os.Exit(standin.Main(a.Listen, s.Handler(), nil, &s.Repeats))
}
