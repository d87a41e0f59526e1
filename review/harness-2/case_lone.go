// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	leaseTime   = 3 * time.Second // lease_ms
	contactTime = 3 * time.Second // contact_ms
)

// playSeedsDown loses three machines of seven, which are the seeds, and then kills the processes of the other four at once. They start
// again and serve, while the seeds stay down. The rule is ONE: holders that are in touch must not take turns within lease_ms.
func playSeedsDown(g *rig) {
	g.playLone([]string{"127.0.21.1", "127.0.22.1", "127.0.23.1"}, []string{"127.0.21.2", "127.0.21.3", "127.0.22.2", "127.0.23.2"}, 500*time.Millisecond, 75*time.Second)
	g.checkTurns()
}

// playSharedToken does the same with data centres whose networks are 127.0.0.0/10, 127.64.0.0/10 and 127.128.0.0/10. The rule is ONE:
// no two holders share one fencing token.
func playSharedToken(g *rig) {
	g.playLone([]string{"127.0.21.1", "127.64.21.1", "127.128.21.1"}, []string{"127.0.21.2", "127.64.21.2", "127.128.21.2"}, 50*time.Millisecond, 25*time.Second)
	g.checkTokens()
}

// playLone loses the machines that are seeds, and then kills the processes of the others at once. interval is the time between two
// requests for adapters that no server holds.
func (g *rig) playLone(seeds, rest []string, interval, duration time.Duration) {
	g.store.putConfig(3, routes(), services())
	for i := range 12 {
		g.addServer("llm", zones[i%3], true, 10)
	}
	addresses := append(append([]string(nil), seeds...), rest...)
	choosePorts(addresses)
	for _, ip := range addresses {
		g.addBox(ip, zoneOf(ip), seeds).start()
	}
	lost, others := g.boxes[:len(seeds)], g.boxes[len(seeds):]
	g.awaitReady(g.boxes...)
	time.Sleep(4 * time.Second)
	stop, ended := make(chan struct{}), make(chan struct{})
	go g.askForAdapters(others, interval, stop, ended)
	time.Sleep(4 * time.Second)
	if g.trouble {
		for _, b := range lost {
			b.kill()
		}
		for _, b := range others {
			b.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, b := range others {
			b.start()
		}
	}
	time.Sleep(duration)
	close(stop)
	<-ended
}

// zoneOf returns the zone of an address, by its second and third part.
func zoneOf(ip string) string {
	switch {
	case strings.HasPrefix(ip, "127.64.") || strings.HasPrefix(ip, "127.0.22."):
		return zones[1]
	case strings.HasPrefix(ip, "127.128.") || strings.HasPrefix(ip, "127.0.23."):
		return zones[2]
	}
	return zones[0]
}

// checkTokens judges the orders that servers took: no two holders may give one server orders with the same fencing token.
func (g *rig) checkTokens() {
	g.mu.Lock()
	orders := append([]seenOrder(nil), g.orders...)
	g.mu.Unlock()
	type key struct {
		server string
		fence  uint64
	}
	holders := make(map[key]seenOrder)
	reported := make(map[key]bool)
	for _, o := range orders {
		g.logf("server %s at %.3f: order by %s, fence %d: %s %s/%s: %d", o.server, o.at.Sub(g.begun).Seconds(), o.order.Holder, *o.order.Fence, o.order.Operation, o.order.Model, o.order.Adapter, o.status)
		k := key{o.server, *o.order.Fence}
		first, known := holders[k]
		if !known {
			holders[k] = o
			continue
		}
		if first.order.Holder != o.order.Holder && g.inTouch(first) && g.inTouch(o) && !reported[k] {
			reported[k] = true
			g.broken("ONE", fmt.Sprintf("server %s got the fencing token %d of %s at %.3f (%d) and of %s at %.3f (%d)", o.server, *o.order.Fence,
				first.order.Holder, first.at.Sub(g.begun).Seconds(), first.status, o.order.Holder, o.at.Sub(g.begun).Seconds(), o.status))
		}
	}
}

// askForAdapters sends the boxes requests in turn, each for an adapter that no server holds.
func (g *rig) askForAdapters(boxes []*box, interval time.Duration, stop, ended chan struct{}) {
	defer close(ended)
	for i := 1; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		go func() {
			k, err := dialBox(boxes[i%len(boxes)])
			if err != nil {
				return
			}
			defer k.Close()
			c := &call{id: newAttempt(), method: "POST", path: "/stream/2f", adapter: modelName + "/" + adapterName(i), deadline: 6000, body: []byte("a question")}
			c.send(k)
			g.logf("attempt %s for adapter a%d: status %d after %d ms", c.id, i, c.status, c.took.Milliseconds())
		}()
	}
}

// checkTurns judges the orders that servers took: after one of a holder comes one of another, and then one of a third or of the
// first again, each less than lease_ms after the one before, with the holders in touch. What a server refused does not count.
func (g *rig) checkTurns() {
	g.mu.Lock()
	orders := append([]seenOrder(nil), g.orders...)
	g.mu.Unlock()
	taken := make(map[string][]seenOrder)
	for _, o := range orders {
		g.logf("server %s at %.3f: order by %s, fence %d: %s %s/%s: %d", o.server, o.at.Sub(g.begun).Seconds(), o.order.Holder, *o.order.Fence, o.order.Operation, o.order.Model, o.order.Adapter, o.status)
		if (o.status == 200 || o.status == 202) && g.inTouch(o) {
			taken[o.server] = append(taken[o.server], o)
		}
	}
	for _, list := range taken {
		var changes []seenOrder // the last change of holder, if it was that fast
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			if a.order.Holder == b.order.Holder {
				continue
			}
			if b.at.Sub(a.at) >= leaseTime {
				changes = nil
				continue
			}
			g.logf("server %s: %s gives an order %d ms after one of %s", a.server, b.order.Holder, b.at.Sub(a.at).Milliseconds(), a.order.Holder)
			if changes = append(changes, a); len(changes) > 1 {
				g.broken("ONE", fmt.Sprintf("server %s took orders of %s at %.3f, then of %s until %.3f, and then of %s at %.3f", a.server,
					changes[len(changes)-2].order.Holder, changes[len(changes)-2].at.Sub(g.begun).Seconds(), a.order.Holder, a.at.Sub(g.begun).Seconds(),
					b.order.Holder, b.at.Sub(g.begun).Seconds()))
			}
		}
	}
}

// inTouch reports whether the box that gave an order had run for contact_ms.
func (g *rig) inTouch(o seenOrder) bool {
	for _, b := range g.boxes {
		if b.name != o.order.Holder {
			continue
		}
		for i := len(b.starts) - 1; i >= 0; i-- {
			if !b.starts[i].After(o.at) {
				return o.at.Sub(b.starts[i]) > contactTime
			}
		}
	}
	return false
}
