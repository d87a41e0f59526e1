// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"cairnwick.example/fleet"
	"github.com/pkg/errors"
)

// StoreRestores repeatedly restores the key-value store of the users' platform from older backups, on a fixed seed,
// while boxes are killed, frozen and started and configurations are published. It checks by the boxes' own metrics
// that no box reverts to an older configuration and that each newer one takes effect everywhere. Set the fields before
// Run.
type StoreRestores struct {
	Bin  string
	Dir  string
	Time time.Duration
	Seed uint64
}

const (
	restoreDataCentres = 2
	restoreBoxes       = 2                     // of each data centre
	restorePoll        = 30 * time.Millisecond // interval at which the boxes' metrics are read
	restoreTimeout     = 15 * time.Second      // time within which a configuration must be in force at all running boxes
	maxRepublishDelay  = 600                   // maximum milliseconds until a configuration missing from the backup is republished
)

// restoreRun holds the state of one run of StoreRestores.
type restoreRun struct {
	StoreRestores

	fleet         *fleet.Fleet
	rand          *rand.Rand
	backupVersion uint64   // configuration version in the backup
	storeVersion  uint64   // configuration version in the store
	newestVersion uint64   // configuration version published last
	steps         []string // log of the steps so far
	restores      int      // number of restores so far

	mu         sync.Mutex
	boxes      []*watchedBox
	violations []string
}

// watchedBox is the observed state of one box.
type watchedBox struct {
	dataCentre, box int
	down            bool   // currently killed or frozen
	starts          int    // number of starts so far
	version         uint64 // configuration version in force, as last reported since its start
}

// Run writes the report to w. It returns ErrBreach if a box reverted to an older configuration or missed one.
func (s StoreRestores) Run(ctx context.Context, w io.Writer) error {
	f := fleet.New(fleet.Spec{Bin: s.Bin, Dir: s.Dir, Centres: restoreDataCentres, Engines: 1, Adapters: 9, Slots: 4, BatchSize: 8})
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	r := &restoreRun{StoreRestores: s, fleet: f, rand: rand.New(rand.NewPCG(s.Seed, 2))}
	if err := r.start(ctx); err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		r.watch(inner)
		close(ended)
	}()
	err := r.runSteps(ctx)
	cancel()
	<-ended
	if err != nil {
		return err
	}
	return r.report(w)
}

func (r *restoreRun) start(ctx context.Context) error {
	if err := r.fleet.PublishEdge(ctx); err != nil {
		return err
	}
	r.newestVersion = 100
	if err := r.publishVersion(ctx, r.newestVersion); err != nil {
		return err
	}
	for c := 1; c <= restoreDataCentres; c++ {
		for b := 1; b <= restoreBoxes; b++ {
			if err := r.fleet.StartEdge(ctx, c, b, fleet.EdgeSettings, nil); err != nil {
				return err
			}
			r.boxes = append(r.boxes, &watchedBox{dataCentre: c, box: b, starts: 1})
		}
	}
	return r.control(ctx, "copy")
}

// publishVersion publishes a version of the configuration to the store.
func (r *restoreRun) publishVersion(ctx context.Context, version uint64) error {
	r.storeVersion = version
	return r.fleet.PublishEdgeConfig(ctx, version)
}

// control sends a control request to the stand-in platform: "copy" takes a backup of the store, "restore" restores it.
func (r *restoreRun) control(ctx context.Context, command string) error {
	if command == "copy" {
		r.backupVersion = r.storeVersion
	}
	return fleet.Post(ctx, "http://"+r.fleet.PlatformAddress()+"/control/"+command)
}

// runSteps runs random steps until the time is over.
func (r *restoreRun) runSteps(ctx context.Context) error {
	for start := time.Now(); time.Since(start) < r.Time && ctx.Err() == nil; {
		if err := r.step(ctx); err != nil {
			return err
		}
		r.pause(300)
	}
	return r.waitInForce(ctx)
}

// pause waits for a random time of less than the given milliseconds.
func (r *restoreRun) pause(limit int) {
	time.Sleep(time.Duration(r.rand.IntN(limit)) * time.Millisecond)
}

// step runs one random step.
func (r *restoreRun) step(ctx context.Context) error {
	b := r.boxes[r.rand.IntN(len(r.boxes))]
	switch r.rand.IntN(9) {
	case 0, 1:
		return r.publishNext(ctx)
	case 2:
		return r.control(ctx, "copy")
	case 3, 4:
		return r.restoreStore(ctx, nil)
	case 5:
		return r.restoreStore(ctx, func() error { return r.storeOutage(ctx) })
	case 6:
		return r.restoreStore(ctx, func() error { return r.killBox(ctx, b) })
	case 7:
		return r.killBox(ctx, b)
	}
	return r.freezeBox(b)
}

func (r *restoreRun) publishNext(ctx context.Context) error {
	r.newestVersion += 1 + r.rand.Uint64N(3)
	r.steps = append(r.steps, fmt.Sprintf("publish %d", r.newestVersion))
	return r.publishVersion(ctx, r.newestVersion)
}

// restoreStore restores the store from its backup, once or twice, and then republishes the configuration that the
// backup lacks. meanwhile, if not nil, runs in between.
func (r *restoreRun) restoreStore(ctx context.Context, meanwhile func() error) error {
	for range 1 + r.rand.IntN(2) {
		r.steps = append(r.steps, fmt.Sprintf("restore %d of %d", r.backupVersion, r.newestVersion))
		r.restores++
		if err := r.control(ctx, "restore"); err != nil {
			return err
		}
		r.storeVersion = r.backupVersion
	}
	if meanwhile != nil {
		if err := meanwhile(); err != nil {
			return err
		}
	}
	r.pause(maxRepublishDelay)
	if r.storeVersion == r.newestVersion {
		return nil
	}
	if err := r.publishVersion(ctx, r.newestVersion); err != nil {
		return err
	}
	return r.waitInForce(ctx)
}

// storeOutage makes the store refuse all reads for up to two seconds.
func (r *restoreRun) storeOutage(ctx context.Context) error {
	r.steps = append(r.steps, "store outage")
	if err := r.control(ctx, "mode?mode=down"); err != nil {
		return err
	}
	r.pause(2000)
	return r.control(ctx, "mode?mode=up")
}

// killBox kills a box, starts it again and waits until it has the configuration that its peers know.
func (r *restoreRun) killBox(ctx context.Context, b *watchedBox) error {
	name := fleet.DaemonName(b.dataCentre, b.box, "edge")
	r.steps = append(r.steps, "kill "+name)
	r.locked(func() { b.down = true })
	_ = r.fleet.Terminate(name, syscall.SIGKILL) // a killed process ends with an error
	r.pause(300)
	err := r.fleet.StartEdge(ctx, b.dataCentre, b.box, fleet.EdgeSettings, nil)
	if err != nil {
		return err
	}
	want := r.newestAtPeers(b)
	r.locked(func() { b.down, b.version, b.starts = false, 0, b.starts+1 })
	return r.waitUntil(ctx, func() string { return r.outdated(b, want) })
}

// newestAtPeers returns the newest configuration version in force at the other running boxes of b's data centre. They
// send it to a starting box even if the store holds an older one.
func (r *restoreRun) newestAtPeers(b *watchedBox) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var version uint64
	for _, other := range r.boxes {
		if other != b && other.dataCentre == b.dataCentre && !other.down {
			version = max(version, other.version)
		}
	}
	return version
}

// freezeBox suspends a box for up to two seconds.
func (r *restoreRun) freezeBox(b *watchedBox) error {
	name := fleet.DaemonName(b.dataCentre, b.box, "edge")
	r.steps = append(r.steps, "freeze "+name)
	r.locked(func() { b.down = true })
	if err := r.fleet.Signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	r.pause(2000)
	err := r.fleet.Signal(name, syscall.SIGCONT)
	r.locked(func() { b.down = false })
	return err
}

// locked runs change with the lock held.
func (r *restoreRun) locked(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// waitInForce waits until all running boxes have the newest configuration in force.
func (r *restoreRun) waitInForce(ctx context.Context) error {
	return r.waitUntil(ctx, func() string {
		for _, b := range r.boxes {
			if message := r.outdated(b, r.newestVersion); message != "" {
				return message
			}
		}
		return ""
	})
}

// outdated describes a running box whose configuration in force is older than version; empty if it is not older.
func (r *restoreRun) outdated(b *watchedBox, version uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.down || b.version >= version {
		return ""
	}
	return fmt.Sprintf("%s has configuration %d in force, want at least %d", fleet.DaemonName(b.dataCentre, b.box, "edge"), b.version, version)
}

// waitUntil waits until check returns an empty message. A message still returned after the timeout is
// recorded as a violation.
func (r *restoreRun) waitUntil(ctx context.Context, check func() string) error {
	for start := time.Now(); ; {
		message := check()
		if message == "" {
			return nil
		}
		if time.Since(start) > restoreTimeout {
			r.addViolation(message)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(restorePoll):
		}
	}
}

func (r *restoreRun) addViolation(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%s; steps so far: %v", message, r.steps))
}

// watch polls the metrics of all boxes until ctx ends.
func (r *restoreRun) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, b := range r.boxes {
			r.poll(ctx, b)
		}
		time.Sleep(restorePoll)
	}
}

// poll reads which configuration a box has in force and records a violation if it is older than before. A box that
// does not answer is skipped, and so is an answer from before a restart, since a restarted box has no configuration
// yet.
func (r *restoreRun) poll(ctx context.Context, b *watchedBox) {
	r.mu.Lock()
	down, starts := b.down, b.starts
	r.mu.Unlock()
	if down {
		return
	}
	version, err := r.version(ctx, b)
	if err != nil {
		return
	}
	r.mu.Lock()
	before, sameStart := b.version, starts == b.starts
	if sameStart {
		b.version = max(before, version)
	}
	r.mu.Unlock()
	if sameStart && version < before {
		r.addViolation(fmt.Sprintf("%s reverted from configuration %d to %d", fleet.DaemonName(b.dataCentre, b.box, "edge"), before, version))
	}
}

func (r *restoreRun) version(ctx context.Context, b *watchedBox) (uint64, error) {
	raw, err := fleet.Get(ctx, "http://"+r.fleet.OperatorsAddress(b.dataCentre, b.box, "gateway")+"/metrics")
	if err != nil {
		return 0, err
	}
	var m struct {
		Config uint64 `json:"edge_config"`
	}
	err = json.Unmarshal(raw, &m)
	return m.Config, errors.Wrap(err, "measure: decode box metrics")
}

func (r *restoreRun) report(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "seed=%d steps=%d restores=%d newest_configuration=%d\n", r.Seed, len(r.steps), r.restores, r.newestVersion)
	for _, v := range r.violations {
		fmt.Fprintln(w, v)
	}
	if len(r.violations) > 0 {
		return ErrBreach
	}
	fmt.Fprintln(w, "no breach: no box reverted to an older configuration, and each configuration took effect everywhere")
	return nil
}
