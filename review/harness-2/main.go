// SPDX-License-Identifier: Apache-2.0

// Command harness-2 runs boxes of cairnwick as processes, with stand-ins for the store, the servers and the clients, and plays one
// case. The cases 5 and 6 of the review use it. It exits with 1 if the case's rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// rig holds the processes and stand-ins of a case, and what was seen.
type rig struct {
	program string
	folder  string
	trouble bool
	begun   time.Time
	store   *store

	mu       sync.Mutex
	record   *os.File
	runs     map[string][]run // by attempt
	orders   []seenOrder
	breaks   []string
	versions map[string]int64
	boxes    []*box
	servers  []*server
	next     int
}

// run is the execution of a request by a server.
type run struct {
	server string
	at     time.Time
	method string
	target string
	body   string
}

// seenOrder is an order that a server took.
type seenOrder struct {
	server string
	at     time.Time
	order  order
	status int
}

func (g *rig) logf(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.record, "%8.3f "+format+"\n", append([]any{time.Since(g.begun).Seconds()}, args...)...)
}

func (g *rig) broken(rule, what string) {
	g.mu.Lock()
	g.breaks = append(g.breaks, rule+": "+what)
	n := len(g.breaks)
	g.mu.Unlock()
	if n <= 40 {
		g.logf("BROKEN %s: %s", rule, what)
	}
}

func (g *rig) ran(s *server, r *http.Request, id string, body []byte) {
	g.mu.Lock()
	g.runs[id] = append(g.runs[id], run{server: s.id, at: time.Now(), method: r.Method, target: r.RequestURI, body: string(body)})
	g.mu.Unlock()
}

func (g *rig) ordered(s *server, o order, status int) {
	g.mu.Lock()
	g.orders = append(g.orders, seenOrder{server: s.id, at: time.Now(), order: o, status: status})
	g.mu.Unlock()
}

func (g *rig) latest(adapter string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.versions[adapter], 1)
}

// runsOf returns the executions of an attempt.
func (g *rig) runsOf(id string) []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs[id]...)
}

// box is a process of cairnwick.
type box struct {
	rig      *rig
	name     string
	ip       string
	zone     string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{}
	starts   []time.Time // after each start
}

// The ports of all boxes.
var callerPort, readyPort, peerPort, firstPort, lastPort int

// choosePorts chooses ports that are free at all addresses.
func choosePorts(addresses []string) {
	var ports []int
	for candidate := 20000 + os.Getpid()%4000; len(ports) < 5; candidate++ {
		if isFree(candidate, addresses) {
			ports = append(ports, candidate)
		}
	}
	callerPort, readyPort, peerPort, firstPort, lastPort = ports[0], ports[1], ports[2], ports[3], ports[4]
}

func isFree(port int, addresses []string) bool {
	for _, a := range addresses {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

var zones = []string{"palermo", "catania", "caltanissetta"}

// addBox writes the settings of a box. number is the last part of its address.
func (g *rig) addBox(ip, zone string, seeds []string) *box {
	b := &box{rig: g, name: "frontend-" + ip, ip: ip, zone: zone, settings: filepath.Join(g.folder, "boot-"+ip+".toml")}
	b.writeSettings(seeds, "")
	log, err := os.Create(filepath.Join(g.folder, "log-"+ip+".txt"))
	if err != nil {
		fail(err)
	}
	b.log = log
	g.boxes = append(g.boxes, b)
	return b
}

// settingsText is the settings file of a box.
const settingsText = `node_name = %q
role = "edge"
machine_class = "frontend"
serves = ["frontend","control_plane"]
ip = %q
zone = %q
region = "sicilia"
internal_port_range = [%d,%d]
seed_nodes = [%s]
is_bootstrap = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
palermo = "sicilia"
catania = "sicilia"
caltanissetta = "sicilia"
[listen]
frontend = "%s:%d"
ready = "%s:%d"
control_plane = "%s:%d"
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_min_extra = 54
recovery_s = 12
iteration_ms = 120
retry_after_s = 0
fencing_required = true
lease_ms = 3000
thaw_slack_ms = 300
origin_window_s = 5
origin_overshoot = 1.1
version_ms = 5000
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
%s`

func (b *box) writeSettings(seeds []string, more string) {
	list := ""
	for i, s := range seeds {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s, peerPort))
	}
	text := fmt.Sprintf(settingsText, b.name, b.ip, b.zone, firstPort, lastPort, list, b.ip, callerPort, b.ip, readyPort, b.ip, peerPort, b.rig.store.address, more)
	if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
		fail(err)
	}
}

func (b *box) start() {
	b.cmd = exec.Command(b.rig.program)
	b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAIRNWICK_BOOT=" + b.settings}
	b.cmd.Stdout, b.cmd.Stderr = b.log, b.log
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		fail(err)
	}
	b.starts = append(b.starts, time.Now())
	done := make(chan struct{})
	b.done = done
	cmd := b.cmd
	go func() {
		err := cmd.Wait()
		b.rig.logf("box %s has ended: %v", b.name, err)
		close(done)
	}()
}

func (b *box) signal(s syscall.Signal) {
	b.rig.logf("box %s gets %v", b.name, s)
	_ = b.cmd.Process.Signal(s)
}

// kill ends the process and waits.
func (b *box) kill() {
	b.signal(syscall.SIGKILL)
	<-b.done
}

func (b *box) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/readiness", b.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *rig) awaitReady(boxes ...*box) {
	until := time.Now().Add(20 * time.Second)
	for _, b := range boxes {
		for !b.ready() {
			if time.Now().After(until) {
				g.logf("box %s is not ready", b.name)
				g.close()
				os.Exit(2)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// addServer starts a server.
func (g *rig) addServer(service, zone string, engine bool, workMS int) *server {
	g.next++
	s := &server{rig: g, id: fmt.Sprintf("i-%s%02d", service, g.next), service: service, zone: zone, engine: engine, version: "v1", workMS: workMS}
	if engine {
		s.models = map[string]bool{modelName: true}
	}
	if err := s.start(""); err != nil {
		fail(err)
	}
	g.servers = append(g.servers, s)
	return s
}

func (g *rig) close() {
	for _, b := range g.boxes {
		if b.cmd != nil && b.cmd.Process != nil {
			_ = b.cmd.Process.Signal(syscall.SIGCONT)
			_ = b.cmd.Process.Kill()
			<-b.done
		}
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// services returns the services of the configuration.
func services() []map[string]any {
	return []map[string]any{
		{"name": "llm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kv_cache_tokens": 232000, "kv_token_bytes": 327680, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 5, "maximum": 12,
			"host_memory_mb": 140000.0, "disk_mb": 400000.0, "pin_duration_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
			"models":     []map[string]any{{"name": modelName, "weights_mb": 65099.9, "load_time_s": 0.8, "adapters": 3000, "adapter_size_mb": 12.0, "warmup_s": 0.38, "disk_load_s": 0.76}},
			"weights_mb": 66600.0, "adapter_slots": adapterSlots, "loads_per_s": 4.4}},
		{"name": "app", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
		{"name": "app2", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
	}
}

// routes returns the routes of the configuration.
func routes() []map[string]any {
	return []map[string]any{
		{"name": "r-query", "host": "case.example", "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 600, "priority": 0, "service": "llm", "max_attempts": 1, "sticky": true, "resumable": false, "target_gap_ms": 400},
		{"name": "r-batch", "host": "case.example", "path_prefix": "/streamr/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1000, "priority": 0, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 400},
		{"name": "r-tile", "host": "case.example", "path_prefix": "/tile/", "kind": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "app", "max_attempts": 1},
		{"name": "r-status", "host": "case.example", "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "app", "max_attempts": 2},
	}
}

func main() {
	program := flag.String("program", "target/cairnwick", "the program of a box")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", "", "a folder for logs; empty: a temporary one")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fail(fmt.Errorf("no case %q", *name))
	}
	f, err := os.Create(*record)
	if err != nil {
		fail(err)
	}
	temporary := ""
	if *folder == "" {
		if temporary, err = os.MkdirTemp("", "cairnwick-case"); err != nil {
			fail(err)
		}
		*folder = temporary
	}
	s, err := newStore()
	if err != nil {
		fail(err)
	}
	g := &rig{program: *program, folder: *folder, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), store: s, record: f,
		runs: make(map[string][]run), versions: make(map[string]int64)}
	play(g)
	g.close()
	for _, b := range g.boxes {
		_ = b.log.Close()
	}
	g.logf("%d breaks", len(g.breaks))
	_ = f.Close()
	if temporary != "" {
		_ = os.RemoveAll(temporary)
	}
	if len(g.breaks) > 0 {
		os.Exit(1)
	}
}
