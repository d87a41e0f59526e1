// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	holderLease    = 3 * time.Second         // lease_ms of the settings
	holderContact  = 3 * time.Second         // contact_ms of the settings
	holderGap      = 1300 * time.Millisecond // between two boxes that are removed
	holderSeedLag  = 3 * time.Second         // seed_lag_s of the settings
	holderObserve  = 25 * time.Second        // after the box was added
	holderAdapters = 60
	holderClients  = 4 // at each box
)

// twoHolders removes the boxes that are seeds, one after the other, and adds one whose settings still name them as its seeds
// when it starts.
func twoHolders(w *world) ([]string, error) {
	servers, err := w.startHeldServers()
	for _, e := range servers {
		defer e.stop()
	}
	if err != nil {
		return nil, err
	}
	w.store.put("op/config", modelConfig())
	if err := w.startBoxes("kg-nyarugenge", "kg-kicukiro", "kg-gasabo", "kg-nyarugenge", "kg-kicukiro", "kg-gasabo"); err != nil {
		return nil, err
	}
	seeds, others := w.boxes[:3], w.boxes[3:6]
	var done sync.WaitGroup
	ended := make(chan struct{})
	defer done.Wait()
	defer close(ended)
	for _, b := range others {
		w.sendAdapterRequests(b, &done, ended)
	}
	time.Sleep(5 * time.Second) // until the servers have an owner
	for _, b := range seeds {
		if w.Trouble {
			w.Record.add("box %s gets SIGTERM, to leave", b.name)
			b.terminate()
		}
		time.Sleep(holderGap)
	}
	for _, b := range seeds {
		if w.Trouble {
			b.awaitEnd()
			w.Record.add("box %s has ended", b.name)
		}
	}
	added, err := w.addBox("kg-nyarugenge")
	if err != nil {
		return nil, err
	}
	if err := added.start(w.Root, w.Folder, w.storeAddress(), seeds); err != nil {
		return nil, err
	}
	w.Record.add("box %s is added", added.name)
	begun := time.Now()
	if err := awaitReady([]*box{added}, startTimeout); err != nil {
		return nil, err
	}
	w.sendAdapterRequests(added, &done, ended)
	time.Sleep(time.Until(begun.Add(holderSeedLag)))
	for _, b := range append([]*box{added}, others...) {
		if _, err := b.writeSettings(w.Folder, w.storeAddress(), others); err != nil {
			return nil, err
		}
	}
	w.Record.add("the settings files name boxes that run as seeds")
	time.Sleep(time.Until(begun.Add(holderObserve)))
	var broken []string
	for _, e := range servers {
		broken = append(broken, turns(e, begun.Add(holderContact))...)
	}
	return broken, nil
}

// startHeldServers starts two model servers that hold a base model.
func (w *world) startHeldServers() (servers []*engine, err error) {
	for i := range 2 {
		e := &engine{ID: fmt.Sprintf("i-9a%d", i), Service: "advisor-llm", Zone: "kg-nyarugenge", Slots: 32, Adapters: 16,
			WeightsMB: modelServerMB, ModelMB: map[string]float64{"m0": modelMB}, LoadTime: modelLoadTime,
			Events: 14, Gap: 40 * time.Millisecond, Store: w.store, Record: w.Record}
		if err := e.start("m0"); err != nil {
			return servers, err
		}
		servers = append(servers, e)
	}
	return servers, nil
}

// turns returns where holders took turns at a server since from, when all of them were in touch. A server counts only if that holds
// for all orders that reached it, within one lease, and for those alone that it accepted, each within a lease of the other holder's.
func turns(e *engine, from time.Time) (list []string) {
	var all, accepted []order
	for _, o := range e.allOrders() {
		if o.At.Before(from) {
			continue
		}
		all = append(all, o)
		if o.Status < http.StatusBadRequest {
			accepted = append(accepted, o)
		}
	}
	within, changes := turnsWithinLease(e.ID, all), changesWithinLease(accepted)
	if len(within) == 0 || len(changes) < 2 {
		return nil
	}
	return append(within, fmt.Sprintf("ONE: server %s accepted orders of another holder less than a lease after the holder before %d times: %s",
		e.ID, len(changes), strings.Join(changes, "; ")))
}

// turnsWithinLease returns where an order of one holder, one of another and again one of the first reached a server within a lease.
func turnsWithinLease(server string, orders []order) (list []string) {
	for i := 0; i < len(orders); i++ {
		first, other := orders[i], -1
		for k := i + 1; k < len(orders) && orders[k].At.Sub(first.At) <= holderLease; k++ {
			if orders[k].Holder != first.Holder && other < 0 {
				other = k
			}
			if other >= 0 && orders[k].Holder == first.Holder {
				second := orders[other]
				list = append(list, fmt.Sprintf("ONE: server %s got orders of %s (fence %d: %d), %d ms later of %s (fence %d: %d), and %d ms later of the first again (fence %d: %d)",
					server, first.Holder, first.Fence, first.Status, second.At.Sub(first.At).Milliseconds(), second.Holder, second.Fence, second.Status,
					orders[k].At.Sub(second.At).Milliseconds(), orders[k].Fence, orders[k].Status))
				i = k
				break
			}
		}
	}
	return list
}

// changesWithinLease returns the changes of the holder less than a lease after the last order of the holder before.
func changesWithinLease(orders []order) (list []string) {
	for i := 1; i < len(orders); i++ {
		before, now := orders[i-1], orders[i]
		if gap := now.At.Sub(before.At); now.Holder != before.Holder && gap < holderLease {
			list = append(list, fmt.Sprintf("%s to %s after %d ms", before.Holder, now.Holder, gap.Milliseconds()))
		}
	}
	return list
}

// sendAdapterRequests has clients request adapters at a box until ended is closed.
func (w *world) sendAdapterRequests(b *box, done *sync.WaitGroup, ended <-chan struct{}) {
	for range holderClients {
		done.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(150 * time.Millisecond):
				}
				name := fmt.Sprintf("m0/a%d", 1+rand.IntN(holderAdapters))
				c := &client{Host: "advice.example", Path: "/care/question", Method: "POST", Body: 1300, Deadline: 5 * time.Second, Record: w.Record,
					Headers: map[string]string{"Model": name, "Token-Usage": "646,70", "Prompt-Prefix": "5c1e07a2:93,91bd3f06:62," + newID()[:8] + ":491"}}
				c.do(b)
			}
		})
	}
}
