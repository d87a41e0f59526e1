// SPDX-License-Identifier: Apache-2.0

// Command standin-platform simulates the users' platform: the key-value service and the weight
// store.
package main

import (
	"net/http"
	"os"
	"time"

	"cairnwick.example/platform/platformtest"
	"cairnwick.example/standin"
	"github.com/alexflint/go-arg"
)

type arguments struct {
	Listen   string        `arg:"--listen,required" help:"IP:port"`
	Lag      time.Duration `arg:"--lag" default:"0s" help:"delay until readers see a write"`
	Rate     float64       `arg:"--store-rate" default:"9" help:"loads per second that the store allows"`
	AtOnce   int           `arg:"--store-at-once" default:"6" help:"concurrent loads at full speed"`
	LoadTime time.Duration `arg:"--load-time" default:"300ms" help:"duration of one load at full speed"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	p := &standin.Platform{WriteDelay: a.Lag}
	s := &standin.Store{Rate: a.Rate, FullSpeedLoads: a.AtOnce, LoadTime: a.LoadTime}
	m := http.NewServeMux()
	m.Handle("/", platformtest.StoreHandler(p))
	store := s.Handler()
	m.Handle("/store/", store)
	m.Handle("/control/store", store)
	os.Exit(standin.Main(a.Listen, m, nil, nil))
}
