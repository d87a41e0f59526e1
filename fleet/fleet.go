// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/kvstore"
	"cairnwick.example/member"
)

const (
	certificateName = "cairnwick" // DNS name in every daemon's certificate
	reportLag       = 200 * time.Millisecond
)

// Fleet runs a system of processes. It must be stopped with Stop, also if Start fails.
type Fleet struct {
	Spec Spec

	network     string       // first three octets of all addresses
	reservation net.Listener // reserves the network; nil: not reserved
	identity    Identity     // shared by all daemons if TLS is set

	mu        sync.Mutex
	processes map[string]*process // running processes by name
	head      catalog.Head        // last published by Publish
}

// New returns a fleet that has not been started and reserves its addresses.
func New(s Spec) *Fleet {
	network, reservation := reserveNetwork()
	return &Fleet{Spec: s, network: network, reservation: reservation, processes: make(map[string]*process)}
}

// Start starts all processes and waits until every daemon is ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.createIdentity(); err != nil {
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

// createIdentity creates the daemons' certificate if they use TLS.
func (f *Fleet) createIdentity() error {
	if !f.Spec.TLS {
		return nil
	}
	authority, err := NewAuthority()
	if err != nil {
		return err
	}
	f.identity, err = authority.Write(f.Spec.Dir, certificateName)
	return err
}

// StartPlatform starts the platform and publishes the fleet's configuration.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	args := append([]string{"--listen", f.PlatformAddress()}, f.Spec.PlatformArgs...)
	if err := f.run("platform", "standin-platform", args...); err != nil {
		return err
	}
	if err := f.waitForOK(ctx, "http://"+f.PlatformAddress()+"/control/calls"); err != nil {
		return err
	}
	boxes, err := json.Marshal(f.DaemonRecords())
	if err != nil {
		return err
	}
	if err := f.Put(ctx, kvstore.BoxesKey, boxes); err != nil {
		return err
	}
	return f.Publish(ctx, f.Shards())
}

// StartEngine starts an engine without waiting for it.
func (f *Fleet) StartEngine(centre, engine int) error {
	args := []string{
		"--listen", f.EngineAddress(centre, engine),
		"--store", "http://" + f.PlatformAddress(),
		"--base", BaseName,
		"--slots", fmt.Sprint(f.Spec.Slots),
		"--batch", fmt.Sprint(f.Spec.BatchSize),
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

// StartDaemon writes a daemon's settings and starts it without waiting for it.
func (f *Fleet) StartDaemon(centre, box int, role string) error {
	settings := map[string]any{
		"box":              BoxName(centre, box),
		"data_centre":      CentreName(centre),
		"peers_listen":     f.PeersAddress(centre, box, role),
		"operators_listen": f.OperatorsAddress(centre, box, role),
		"platform":         "http://" + f.daemonAddress(f.platformIP(), standinPort),
		"advertise":        f.daemonAddress(f.boxIP(centre, box), peersPort+offset(role)),
		"source":           f.boxIP(centre, box),
		"settle":           "300ms",
	}
	more := f.Spec.SchedulerSettings
	if role == member.Gateway {
		settings["callers_listen"] = f.CallersAddress(centre, box)
		more = f.Spec.GatewaySettings
	}
	if f.Spec.TLS {
		settings["tls_certificate"], settings["tls_key"], settings["tls_authority"] = f.identity.Certificate, f.identity.Key, f.identity.Authority
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := f.filePath(DaemonName(centre, box, role), ".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	args := []string{"--settings", path}
	for _, v := range append(append([]string{}, f.Spec.CommonSettings...), more...) {
		args = append(args, "--set", v)
	}
	return f.run(DaemonName(centre, box, role), "cairn-"+role, args...)
}

// WaitReady waits until every running gateway and scheduler is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for c := 1; c <= f.Spec.Centres; c++ {
		for b := 1; b <= f.Spec.Boxes; b++ {
			for _, role := range []string{member.Gateway, member.Scheduler} {
				if f.PID(DaemonName(c, b, role)) == 0 {
					continue
				}
				if err := f.waitForOK(ctx, "http://"+f.OperatorsAddress(c, b, role)+"/readyz"); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
