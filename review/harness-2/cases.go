// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(g *rig){
	"mix":          playMix,
	"seeds-down":   playSeedsDown,
	"shared-token": playSharedToken,
}

// playMix sends mixed traffic while processes, servers and the store fail.
func playMix(g *rig) {
	g.store.putConfig(3, routes(), services())
	for i := range 6 {
		g.addServer("llm", zones[i%3], true, 15)
	}
	for i := range 3 {
		g.addServer("app", zones[i%3], false, 20)
	}
	seeds := []string{"127.0.21.1", "127.0.22.1", "127.0.23.1"}
	choosePorts([]string{"127.0.21.1", "127.0.21.2", "127.0.22.1", "127.0.22.2", "127.0.23.1", "127.0.23.2"})
	for i, z := range zones {
		for n := 1; n <= 2; n++ {
			g.addBox(fmt.Sprintf("127.0.%d.%d", 21+i, n), z, seeds).start()
		}
	}
	g.awaitReady(g.boxes...)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[string]int)
	for n := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			b := g.boxes[n%len(g.boxes)]
			var k *conn
			for {
				select {
				case <-stop:
					return
				default:
				}
				if k == nil {
					var err error
					if k, err = dialBox(b); err != nil {
						time.Sleep(200 * time.Millisecond)
						continue
					}
				}
				c := &call{id: newAttempt(), method: "POST", path: "/tile/2f", deadline: 1000, body: []byte("a request body")}
				repeatable := false
				switch rand.IntN(4) {
				case 0:
					c.path, c.adapter, c.deadline = "/stream/2f", modelName+"/"+adapterName(rand.IntN(60)), 6000
				case 1:
					c.path, c.adapter, c.deadline, repeatable = "/streamr/2f", modelName+"/"+adapterName(rand.IntN(60)), 12000, true
				case 2:
					c.method, c.path, c.body, repeatable = "GET", "/status/2f", nil, true
				}
				if rand.IntN(20) == 0 { // a client that leaves early
					_, _ = k.Write(c.bytes())
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
					_ = k.Close()
					k = nil
					continue
				}
				if !c.send(k) {
					_ = k.Close()
					k = nil
				}
				g.check(c, repeatable)
				mu.Lock()
				statuses[fmt.Sprintf("%s %d %v", c.path, c.status, c.err != nil)]++
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			}
		}()
	}
	if g.trouble {
		for range 30 {
			time.Sleep(2 * time.Second)
			b := g.boxes[rand.IntN(len(g.boxes))]
			s := g.servers[rand.IntN(len(g.servers))]
			switch rand.IntN(7) {
			case 0:
				b.kill()
				time.Sleep(300 * time.Millisecond)
				b.start()
			case 1:
				b.signal(syscall.SIGSTOP)
				time.Sleep(3 * time.Second)
				b.signal(syscall.SIGCONT)
			case 2:
				b.signal(syscall.SIGTERM)
				<-b.done
				b.start()
			case 3, 4:
				a := s.listener.Addr().String()
				s.crash()
				time.Sleep(time.Second)
				if err := s.start(a); err != nil {
					g.logf("server %s: %v", s.id, err)
				}
			case 5:
				g.store.setDown(true)
				time.Sleep(4 * time.Second)
				g.store.setDown(false)
			case 6:
				b.signal(syscall.SIGHUP)
				list := routes()
				list[2]["timeout_ms"] = 900 + rand.IntN(200)
				g.store.putConfig(int(time.Since(g.begun).Milliseconds()), list, services())
			}
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	close(stop)
	clients.Wait()
	g.logf("answers: %v", statuses)
}
