// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	modelLoadTime   = 2700 * time.Millisecond
	modelAddGap     = 2 * time.Second        // between the two servers that are added
	modelStopAfter  = 300 * time.Millisecond // after the first one has its model
	modelObserve    = 14 * time.Second       // after the second one was added
	modelMB         = 65100.0
	modelServerMB   = 66600.0
	modelOrderLimit = 8 * time.Second // for the order to come
	modelClients    = 40
)

// secondModel adds two empty model servers, one after the other, and stops the box that has them loaded with a base model while
// the second one is still loading, as in a rolling restart.
func secondModel(w *world) ([]string, error) {
	var servers []*engine
	add := func(models ...string) error {
		e := &engine{ID: fmt.Sprintf("i-7f%d", len(servers)), Service: "advisor-llm", Zone: "kg-nyarugenge", Slots: 32,
			WeightsMB: modelServerMB, ModelMB: map[string]float64{"m0": modelMB, "m1": modelMB}, LoadTime: modelLoadTime,
			Events: 14, Gap: 40 * time.Millisecond, Store: w.store, Record: w.Record}
		servers = append(servers, e)
		return e.start(models...)
	}
	defer func() {
		for _, e := range servers {
			e.stop()
		}
	}()
	w.store.put("op/config", modelConfig())
	if err := errors.Join(add("m0"), add("m1")); err != nil {
		return nil, err
	}
	if err := w.startBoxes("kg-nyarugenge", "kg-nyarugenge"); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // until the servers have an owner
	stop := w.sendStreams()
	defer stop()
	w.Record.add("an empty server is added")
	if err := add(); err != nil {
		return nil, err
	}
	time.Sleep(modelAddGap)
	w.Record.add("another empty server is added")
	if err := add(); err != nil {
		return nil, err
	}
	holder, err := awaitOrder(servers[3])
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(modelLoadTime); !servers[2].hasModel() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(modelStopAfter)
	if w.Trouble {
		for _, b := range w.boxes {
			if b.name == holder {
				w.Record.add("box %s gets SIGTERM", b.name)
				b.terminate()
			}
		}
	}
	time.Sleep(modelObserve)
	stop()
	var broken []string
	for _, e := range servers {
		orders, fallen := e.accepted()
		if fallen {
			last := orders[len(orders)-1]
			broken = append(broken, fmt.Sprintf("LIMIT: %s told server %s, which held another base model, to load %s too: %.0f MB of %.0f MB, and the server fell",
				last.Holder, e.ID, last.Model, 2*modelMB, modelServerMB))
		}
	}
	return broken, nil
}

// awaitOrder returns the box that ordered a server to load a model.
func awaitOrder(e *engine) (holder string, err error) {
	for end := time.Now().Add(modelOrderLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if orders, _ := e.accepted(); len(orders) > 0 {
			return orders[0].Holder, nil
		}
	}
	return "", fmt.Errorf("server %s got no order", e.ID)
}

// sendStreams has clients request both base models until stop is called.
func (w *world) sendStreams() (stop func()) {
	ended := make(chan struct{})
	var once sync.Once
	var done sync.WaitGroup
	for i := range modelClients {
		done.Go(func() {
			model := fmt.Sprintf("m%d", i%2)
			c := &client{Host: "advice.example", Path: "/care/question", Method: "POST", Body: 1300, Deadline: 5 * time.Second, Record: w.Record,
				Headers: map[string]string{"Model": model, "Token-Usage": "646,70", "Prompt-Prefix": "5c1e07a2:93,91bd3f06:62," + strings.ToLower(newID()[:8]) + ":491"}}
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if b := w.boxes[(i/2+n)%len(w.boxes)]; b.isRunning() {
					c.do(b)
				}
			}
		})
	}
	return func() {
		once.Do(func() { close(ended) })
		done.Wait()
	}
}

func modelConfig() map[string]any {
	model := func(name string) map[string]any {
		return map[string]any{"name": name, "weights_mb": modelMB, "load_time_s": modelLoadTime.Seconds(), "adapters": 3000, "adapter_size_mb": 12.0,
			"warmup_s": 0.38, "disk_load_s": 0.49}
	}
	return map[string]any{"version": 7, "limits": limits,
		"routes": []any{map[string]any{"name": "care-question", "host": "advice.example", "path_prefix": "/care/", "kind": "streaming",
			"timeout_ms": 5000, "target_latency_ms": 600, "priority": 1, "service": "advisor-llm", "max_attempts": 1, "sticky": true,
			"resumable": false, "target_gap_ms": 400}},
		"services": []any{map[string]any{"name": "advisor-llm", "health_path": "/health", "max_connections": 230, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 32, "kv_cache_tokens": 219357, "kv_token_bytes": 327680, "link_mbps": 1100000.0, "stride": 5,
				"models": []any{model("m0"), model("m1")}, "weights_mb": modelServerMB, "adapter_slots": 16, "loads_per_s": 9.3}}}}
}
