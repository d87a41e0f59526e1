// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/kvstore"
	"cairnwick.example/member"
	"github.com/pkg/errors"
)

const (
	peerName     = "cairnwick" // in every certificate
	reportLag    = 200 * time.Millisecond
	readyTimeout = 30 * time.Second
	stopTimeout  = 20 * time.Second
)

func seconds(n int) catalog.Span { return catalog.Span(time.Duration(n) * time.Second) }

// Fleet is a system of processes. Start it, and Stop it at the end.
type Fleet struct {
	Spec Spec

	net      string
	identity Identity // of every daemon, with TLS

	mu        sync.Mutex
	processes map[string]*Process // by name, running ones
	head      catalog.Head        // as last published
}

// Process is one running program.
type Process struct {
	Name string

	command *exec.Cmd
	log     *os.File
	ended   chan error // receives once
}

// New returns a fleet that is not started.
func New(s Spec) *Fleet {
	return &Fleet{Spec: s, net: network(), processes: make(map[string]*Process)}
}

// Start starts every process and returns when every daemon is ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.identify(); err != nil {
		return err
	}
	if err := f.StartPlatform(ctx); err != nil {
		return err
	}
	if f.Spec.Proxied {
		if err := f.startProxy(ctx); err != nil {
			return err
		}
	}
	for c := 1; c <= f.Spec.Centres; c++ {
		for e := 1; e <= f.Spec.Engines; e++ {
			if err := f.StartEngine(c, e); err != nil {
				return err
			}
		}
	}
	for i := 1; i <= f.Spec.Services; i++ {
		if err := f.run(fmt.Sprintf("service%d", i), "standin-service", "--listen", f.ServiceAddress(i)); err != nil {
			return err
		}
	}
	for c := 1; c <= f.Spec.Centres; c++ {
		for b := 1; b <= f.Spec.Boxes; b++ {
			if err := f.StartBox(c, b); err != nil {
				return err
			}
		}
	}
	return f.WaitReady(ctx)
}

// identify makes the identity of the daemons, when they speak TLS.
func (f *Fleet) identify() error {
	if !f.Spec.TLS {
		return nil
	}
	a, err := NewAuthority()
	if err != nil {
		return err
	}
	f.identity, err = a.Write(f.Spec.Dir, peerName)
	return err
}

// StartPlatform starts the platform and publishes the fleet's configuration.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	args := append([]string{"--listen", f.PlatformAddress()}, f.Spec.StoreArgs...)
	if err := f.run("platform", "standin-platform", args...); err != nil {
		return err
	}
	if err := f.waitFor(ctx, "http://"+f.PlatformAddress()+"/control/calls"); err != nil {
		return err
	}
	boxes, err := json.Marshal(f.Boxes())
	if err != nil {
		return err
	}
	if err := f.Put(ctx, kvstore.BoxesKey, boxes); err != nil {
		return err
	}
	return f.Publish(ctx, f.Shards())
}

// StartEngine starts one engine.
func (f *Fleet) StartEngine(centre, engine int) error {
	args := []string{
		"--listen", f.EngineAddress(centre, engine),
		"--store", "http://" + f.PlatformAddress(),
		"--base", BaseName,
		"--slots", fmt.Sprint(f.Spec.Slots),
		"--batch", fmt.Sprint(f.Spec.Batch),
		"--report-lag", reportLag.String(),
	}
	if f.Spec.NoFences {
		args = append(args, "--no-fences")
	}
	return f.run(EndpointName(centre, engine), "standin-engine", append(args, f.Spec.EngineArgs...)...)
}

// StartBox starts the gateway and the scheduler of a box.
func (f *Fleet) StartBox(centre, box int) error {
	for _, role := range []string{member.Scheduler, member.Gateway} {
		if err := f.StartDaemon(centre, box, role); err != nil {
			return err
		}
	}
	return nil
}

// DaemonName returns the name of a daemon's process.
func DaemonName(centre, box int, role string) string { return BoxName(centre, box) + "/" + role }

// StartDaemon starts one daemon.
func (f *Fleet) StartDaemon(centre, box int, role string) error {
	s := map[string]any{
		"box":              BoxName(centre, box),
		"data_centre":      CentreName(centre),
		"peers_listen":     f.PeersAddress(centre, box, role),
		"operators_listen": f.OperatorsAddress(centre, box, role),
		"platform":         "http://" + f.reached(f.net+".1", standinPort),
		"advertise":        f.reached(f.boxIP(centre, box), peersPort+offset(role)),
		"source":           f.boxIP(centre, box),
		"settle":           "300ms",
	}
	more := f.Spec.Scheduler
	if role == member.Gateway {
		s["callers_listen"] = f.CallersAddress(centre, box)
		more = f.Spec.Gateway
	}
	if f.Spec.TLS {
		s["tls_certificate"], s["tls_key"], s["tls_authority"] = f.identity.Certificate, f.identity.Key, f.identity.Authority
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(f.Spec.Dir, strings.ReplaceAll(DaemonName(centre, box, role), "/", "-")+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	args := []string{"--settings", path}
	for _, v := range append(append([]string{}, f.Spec.Both...), more...) {
		args = append(args, "--set", v)
	}
	return f.run(DaemonName(centre, box, role), "cairn-"+role, args...)
}

// run starts a program under a name; its output goes to a log in Dir.
func (f *Fleet) run(name, program string, args ...string) error {
	path := filepath.Join(f.Spec.Dir, strings.ReplaceAll(name, "/", "-")+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(f.Spec.Bin, program), args...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		out.Close()
		return errors.Wrapf(err, "fleet: start %s", name)
	}
	p := &Process{Name: name, command: c, log: out, ended: make(chan error, 1)}
	go func() {
		p.ended <- c.Wait()
		out.Close()
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return nil
}

// WaitReady returns when every gateway and scheduler that runs is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for c := 1; c <= f.Spec.Centres; c++ {
		for b := 1; b <= f.Spec.Boxes; b++ {
			for _, role := range []string{member.Gateway, member.Scheduler} {
				if f.PID(DaemonName(c, b, role)) == 0 {
					continue
				}
				if err := f.waitFor(ctx, "http://"+f.OperatorsAddress(c, b, role)+"/readyz"); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// waitFor returns when the URL answers with status 200.
func (f *Fleet) waitFor(ctx context.Context, url string) error {
	return f.await(ctx, func() error {
		_, err := Get(ctx, url)
		return err
	})
}

// await tries until it succeeds, for a bounded time.
func (f *Fleet) await(ctx context.Context, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "fleet: waited in vain")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Get reads a URL that answers with status 200 or 204.
func Get(ctx context.Context, url string) ([]byte, error) {
	return exchange(ctx, http.MethodGet, url, nil)
}

// Post sends an empty body to a control path.
func Post(ctx context.Context, url string) error {
	_, err := exchange(ctx, http.MethodPost, url, nil)
	return err
}

func exchange(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, err
	}
	if a.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Errorf("fleet: %s %s: status %d: %s", method, url, a.StatusCode, text)
	}
	return text, nil
}

// Put publishes one value, as the users do.
func (f *Fleet) Put(ctx context.Context, key string, value []byte) error {
	_, err := exchange(ctx, http.MethodPut, "http://"+f.PlatformAddress()+"/v1/kv/"+key, value)
	return err
}

// Publish publishes a configuration that follows the last one.
func (f *Fleet) Publish(ctx context.Context, shards map[string]catalog.Shard) error {
	f.mu.Lock()
	base := f.head
	f.mu.Unlock()
	h, err := f.PublishOn(ctx, base, shards)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.head = h
	f.mu.Unlock()
	return nil
}

// Head returns the head that Publish published last.
func (f *Fleet) Head() catalog.Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head
}

// PublishOn publishes a configuration that follows base.
func (f *Fleet) PublishOn(ctx context.Context, base catalog.Head, shards map[string]catalog.Shard) (catalog.Head, error) {
	texts := make(map[string][]byte, len(shards))
	for n, s := range shards {
		raw, err := json.Marshal(s)
		if err != nil {
			return catalog.Head{}, err
		}
		texts[n] = raw
		if err := f.Put(ctx, kvstore.ShardPrefix+catalog.Digest(raw), raw); err != nil {
			return catalog.Head{}, err
		}
	}
	h, err := catalog.NewHead(base, texts)
	if err != nil {
		return catalog.Head{}, err
	}
	return h, f.Put(ctx, kvstore.HeadKey, h.Raw())
}

// Signal sends a signal to a process.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	if p == nil {
		return errors.Errorf("fleet: no process %s", name)
	}
	return p.command.Process.Signal(s)
}

// End sends a signal to a process and waits for its end; the error is that of
// its exit.
func (f *Fleet) End(name string, s syscall.Signal) error {
	if err := f.Signal(name, s); err != nil {
		return err
	}
	f.mu.Lock()
	p := f.processes[name]
	delete(f.processes, name)
	f.mu.Unlock()
	select {
	case err := <-p.ended:
		return err
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		return errors.Errorf("fleet: %s did not end in time", name)
	}
}

// PID returns the process number of a process.
func (f *Fleet) PID(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[name]; p != nil {
		return p.command.Process.Pid
	}
	return 0
}

// Stop ends every process, at once.
func (f *Fleet) Stop() {
	f.mu.Lock()
	list := f.processes
	f.processes = make(map[string]*Process)
	f.mu.Unlock()
	for _, p := range list {
		_ = p.command.Process.Kill() // it may have ended
	}
	for _, p := range list {
		<-p.ended
	}
}
