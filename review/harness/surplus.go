// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	surplusClients = 46
	surplusFaulty  = 2 // of four servers
	surplusSlots   = 6
	surplusQueue   = 1
	surplusBegin   = 2 * time.Second // of the traffic; the disruption begins then
	surplusTime    = 5 * time.Second // of the disruption
	surplusTraffic = 8 * time.Second
	surplusShare   = 0.03 // of the answers of the faulty server
)

// surplusRejection has one of two busy servers send some of its answers a second time, late.
func surplusRejection(w *world) ([]string, error) {
	var begun time.Time
	var mu sync.Mutex
	isDue := func(int) bool {
		mu.Lock()
		defer mu.Unlock()
		age := time.Since(begun)
		return w.Trouble && !begun.IsZero() && age >= surplusBegin && age < surplusBegin+surplusTime && rand.Float64() < surplusShare
	}
	for i, zone := range []string{"kg-nyarugenge", "kg-kicukiro", "kg-nyarugenge", "kg-kicukiro"} {
		s := &server{ID: fmt.Sprintf("i-5e%d", i), Service: "shopdesk", Zone: zone, Slots: surplusSlots, Queue: surplusQueue, Work: 30 * time.Millisecond, Record: w.Record}
		if i < surplusFaulty {
			s.Surplus = isDue
		}
		if err := s.start(); err != nil {
			return nil, err
		}
		defer s.stop()
		w.store.put(s.key(), s.entry("ready"))
	}
	w.store.put("op/config", map[string]any{"version": 7, "limits": limits,
		"routes": []any{map[string]any{"name": "stock-lookup", "host": "shop.example", "path_prefix": "/stock/", "kind": "non_idempotent",
			"timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "shopdesk", "max_attempts": 1}},
		"services": []any{map[string]any{"name": "shopdesk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}}})
	if err := w.startBoxes("kg-nyarugenge", "kg-nyarugenge", "kg-kicukiro", "kg-kicukiro"); err != nil {
		return nil, err
	}
	mu.Lock()
	begun = time.Now()
	mu.Unlock()
	var done sync.WaitGroup
	for i := range surplusClients {
		done.Go(func() {
			c := &client{Host: "shop.example", Path: "/stock/item", Method: "POST", Body: 600, Deadline: time.Second, Record: w.Record}
			for time.Since(begun) < surplusTraffic {
				c.do(w.boxes[i%len(w.boxes)])
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	done.Wait()
	time.Sleep(time.Second) // for work that is still under way
	var broken []string
	for _, l := range w.Record.twice() {
		broken = append(broken, "TWICE: not idempotent, but "+l)
	}
	for _, l := range w.Record.refused() {
		broken = append(broken, "REFUSED: "+l)
	}
	return broken, nil
}
