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

// Restores repeatedly restores the key-value store of the users' platform from older backups, on a fixed seed, while
// boxes are killed, frozen and started and configurations are published. It checks by the boxes' own metrics that no box
// reverts to an older configuration and that each newer one takes effect everywhere. Set the fields before Run.
type Restores struct {
	Bin  string
	Dir  string
	Time time.Duration
	Seed uint64
}

const (
	restoreCentres = 2
	restoreBoxes   = 2                     // of each data centre
	restorePoll    = 30 * time.Millisecond // interval at which the boxes' metrics are read
	restoreLimit   = 15 * time.Second      // time within which a configuration must be in force at all running boxes
	rewriteMost    = 600                   // maximum milliseconds until a configuration missing from the backup is republished
)

// restoring holds the state of one run of Restores.
type restoring struct {
	Restores

	fleet   *fleet.Fleet
	rand    *rand.Rand
	copied  uint64   // configuration version in the backup
	stored  uint64   // configuration version in the store
	newest  uint64   // configuration version published last
	done    []string // log of the steps so far
	restore int      // number of restores so far

	mu     sync.Mutex
	boxes  []*watchedBox
	faults []string
}

// watchedBox is the observed state of one box.
type watchedBox struct {
	centre, box int
	down        bool   // currently killed or frozen
	lives       int    // number of starts so far
	version     uint64 // configuration version in force, as last reported since its start
}

// Run writes the report to w. It returns ErrBreach if a box reverted to an older configuration or missed one.
func (s Restores) Run(ctx context.Context, w io.Writer) error {
	f := fleet.New(fleet.Spec{Bin: s.Bin, Dir: s.Dir, Centres: restoreCentres, Engines: 1, Adapters: 9, Slots: 4, Batch: 8})
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	r := &restoring{Restores: s, fleet: f, rand: rand.New(rand.NewPCG(s.Seed, 2))}
	if err := r.start(ctx); err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		r.watch(inner)
		close(ended)
	}()
	err := r.play(ctx)
	cancel()
	<-ended
	if err != nil {
		return err
	}
	return r.report(w)
}

func (r *restoring) start(ctx context.Context) error {
	if err := r.fleet.PublishEdge(ctx); err != nil {
		return err
	}
	r.newest = 100
	if err := r.write(ctx, r.newest); err != nil {
		return err
	}
	for c := 1; c <= restoreCentres; c++ {
		for b := 1; b <= restoreBoxes; b++ {
			if err := r.fleet.StartEdge(ctx, c, b, fleet.EdgeSettings, nil); err != nil {
				return err
			}
			r.boxes = append(r.boxes, &watchedBox{centre: c, box: b, lives: 1})
		}
	}
	return r.control(ctx, "copy")
}

// write publishes a version of the configuration to the store.
func (r *restoring) write(ctx context.Context, version uint64) error {
	r.stored = version
	return r.fleet.PublishEdgeConfig(ctx, version)
}

// control sends a control request to the stand-in platform: "copy" takes a backup of the store, "restore" restores it.
func (r *restoring) control(ctx context.Context, what string) error {
	if what == "copy" {
		r.copied = r.stored
	}
	return fleet.Post(ctx, "http://"+r.fleet.PlatformAddress()+"/control/"+what)
}

// play runs random steps until the time is over.
func (r *restoring) play(ctx context.Context) error {
	for begun := time.Now(); time.Since(begun) < r.Time && ctx.Err() == nil; {
		if err := r.next(ctx); err != nil {
			return err
		}
		r.rest(300)
	}
	return r.inForce(ctx)
}

// rest waits for a random time of less than the given milliseconds.
func (r *restoring) rest(most int) {
	time.Sleep(time.Duration(r.rand.IntN(most)) * time.Millisecond)
}

// next runs one random step.
func (r *restoring) next(ctx context.Context) error {
	b := r.boxes[r.rand.IntN(len(r.boxes))]
	switch r.rand.IntN(9) {
	case 0, 1:
		return r.publish(ctx)
	case 2:
		return r.control(ctx, "copy")
	case 3, 4:
		return r.restored(ctx, nil)
	case 5:
		return r.restored(ctx, func() error { return r.away(ctx) })
	case 6:
		return r.restored(ctx, func() error { return r.killed(ctx, b) })
	case 7:
		return r.killed(ctx, b)
	}
	return r.frozen(b)
}

func (r *restoring) publish(ctx context.Context) error {
	r.newest += 1 + r.rand.Uint64N(3)
	r.done = append(r.done, fmt.Sprintf("publish %d", r.newest))
	return r.write(ctx, r.newest)
}

// restored restores the store from its backup, once or twice, and then republishes the configuration that the backup
// lacks. meanwhile, if not nil, runs in between.
func (r *restoring) restored(ctx context.Context, meanwhile func() error) error {
	for range 1 + r.rand.IntN(2) {
		r.done = append(r.done, fmt.Sprintf("restore %d of %d", r.copied, r.newest))
		r.restore++
		if err := r.control(ctx, "restore"); err != nil {
			return err
		}
		r.stored = r.copied
	}
	if meanwhile != nil {
		if err := meanwhile(); err != nil {
			return err
		}
	}
	r.rest(rewriteMost)
	if r.stored == r.newest {
		return nil
	}
	if err := r.write(ctx, r.newest); err != nil {
		return err
	}
	return r.inForce(ctx)
}

// away makes the store refuse all reads for up to two seconds.
func (r *restoring) away(ctx context.Context) error {
	r.done = append(r.done, "store outage")
	if err := r.control(ctx, "mode?mode=down"); err != nil {
		return err
	}
	r.rest(2000)
	return r.control(ctx, "mode?mode=up")
}

// killed kills a box, starts it again and waits until it has the configuration that its peers know.
func (r *restoring) killed(ctx context.Context, b *watchedBox) error {
	name := fleet.DaemonName(b.centre, b.box, "edge")
	r.done = append(r.done, "kill "+name)
	r.set(func() { b.down = true })
	_ = r.fleet.End(name, syscall.SIGKILL) // a killed process ends with an error
	r.rest(300)
	err := r.fleet.StartEdge(ctx, b.centre, b.box, fleet.EdgeSettings, nil)
	if err != nil {
		return err
	}
	want := r.knownBeside(b)
	r.set(func() { b.down, b.version, b.lives = false, 0, b.lives+1 })
	return r.await(ctx, func() string { return r.lacks(b, want) })
}

// knownBeside returns the newest configuration version in force at the other running boxes of b's data centre. They send
// it to a starting box even if the store holds an older one.
func (r *restoring) knownBeside(b *watchedBox) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var version uint64
	for _, o := range r.boxes {
		if o != b && o.centre == b.centre && !o.down {
			version = max(version, o.version)
		}
	}
	return version
}

// frozen suspends a box for up to two seconds.
func (r *restoring) frozen(b *watchedBox) error {
	name := fleet.DaemonName(b.centre, b.box, "edge")
	r.done = append(r.done, "freeze "+name)
	r.set(func() { b.down = true })
	if err := r.fleet.Signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	r.rest(2000)
	err := r.fleet.Signal(name, syscall.SIGCONT)
	r.set(func() { b.down = false })
	return err
}

// set runs change with the lock held.
func (r *restoring) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// inForce waits until all running boxes have the newest configuration in force.
func (r *restoring) inForce(ctx context.Context) error {
	return r.await(ctx, func() string {
		for _, b := range r.boxes {
			if text := r.lacks(b, r.newest); text != "" {
				return text
			}
		}
		return ""
	})
}

// lacks describes a running box whose configuration in force is older than version; empty if it is not older.
func (r *restoring) lacks(b *watchedBox, version uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.down || b.version >= version {
		return ""
	}
	return fmt.Sprintf("%s has configuration %d in force, want at least %d", fleet.DaemonName(b.centre, b.box, "edge"), b.version, version)
}

// await waits until wrong returns an empty text. A text that it still returns after the limit is recorded as a fault.
func (r *restoring) await(ctx context.Context, wrong func() string) error {
	for begun := time.Now(); ; {
		text := wrong()
		if text == "" {
			return nil
		}
		if time.Since(begun) > restoreLimit {
			r.fault(text)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(restorePoll):
		}
	}
}

func (r *restoring) fault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%s; steps so far: %v", text, r.done))
}

// watch polls the metrics of all boxes until ctx ends.
func (r *restoring) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, b := range r.boxes {
			r.look(ctx, b)
		}
		time.Sleep(restorePoll)
	}
}

// look reads which configuration a box has in force and records a fault if it is older than before. A box that does not
// answer is skipped, and so is an answer across a restart, since a box starts anew without a configuration.
func (r *restoring) look(ctx context.Context, b *watchedBox) {
	r.mu.Lock()
	down, life := b.down, b.lives
	r.mu.Unlock()
	if down {
		return
	}
	version, err := r.version(ctx, b)
	if err != nil {
		return
	}
	r.mu.Lock()
	before, same := b.version, life == b.lives
	if same {
		b.version = max(before, version)
	}
	r.mu.Unlock()
	if same && version < before {
		r.fault(fmt.Sprintf("%s reverted from configuration %d to %d", fleet.DaemonName(b.centre, b.box, "edge"), before, version))
	}
}

func (r *restoring) version(ctx context.Context, b *watchedBox) (uint64, error) {
	raw, err := fleet.Get(ctx, "http://"+r.fleet.OperatorsAddress(b.centre, b.box, "gateway")+"/metrics")
	if err != nil {
		return 0, err
	}
	var m struct {
		Config uint64 `json:"edge_config"`
	}
	err = json.Unmarshal(raw, &m)
	return m.Config, errors.Wrap(err, "measure: decode box metrics")
}

func (r *restoring) report(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "seed=%d steps=%d restores=%d newest_configuration=%d\n", r.Seed, len(r.done), r.restore, r.newest)
	for _, f := range r.faults {
		fmt.Fprintln(w, f)
	}
	if len(r.faults) > 0 {
		return ErrBreach
	}
	fmt.Fprintln(w, "no breach: no box reverted to an older configuration, and each configuration took effect everywhere")
	return nil
}
