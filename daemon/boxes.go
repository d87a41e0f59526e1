// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/kvstore"
	"cairnwick.example/member"
	"github.com/go-logr/logr"
)

// BoxList caches the platform's list of boxes, which may be out of date. It is used to
// find the first peers and the daemons of other data centres. Reading the cached list
// never waits for the platform. Set the exported fields before Run.
type BoxList struct {
	Client          *kvstore.Client
	RefreshInterval func() time.Duration // time between two reads of the list
	Log             logr.Logger

	mu      sync.Mutex
	list    []kvstore.Daemon // as last read; empty before the first read
	skipped int              // entries of the list as last read that can't be used
}

const (
	initialReadTimeout = 500 * time.Millisecond // limits the wait for the list at start-up
	readRetryInterval  = time.Second            // after a failed read
)

// Run refreshes the list periodically until ctx ends.
func (b *BoxList) Run(ctx context.Context) error {
	for {
		delay := b.RefreshInterval()
		if !b.Refresh(ctx) {
			delay = readRetryInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(delay):
		}
	}
}

// Refresh reads the list from the platform and reports whether that succeeded. After a
// failure the previous list stays.
func (b *BoxList) Refresh(ctx context.Context) bool {
	value, err := b.Client.Read(ctx, kvstore.BoxesKey)
	if err != nil {
		return false
	}
	list, skipped, err := kvstore.ParseBoxes(value.Body())
	if err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(skipped) > 0 && len(skipped) != b.skipped {
		b.Log.Info("Entries of the platform's list of boxes can't be used", "entries", len(skipped), "err", skipped[0].Error())
	}
	b.list, b.skipped = list, len(skipped)
	return true
}

// List returns the list as last read, which must not be modified.
func (b *BoxList) List() []kvstore.Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list
}

// Schedulers implements gateway.Directory.
func (b *BoxList) Schedulers(dataCentre string) []member.Member {
	var list []member.Member
	for _, entry := range b.List() {
		if entry.DataCentre == dataCentre && entry.Role == member.Scheduler && !entry.Leaving {
			list = append(list, member.New(entry.Name, entry.Address, entry.Role, entry.DataCentre, 0))
		}
	}
	return list
}

// SchedulerNames returns the names of the schedulers of a data centre that the platform
// lists and that are not leaving.
func (b *BoxList) SchedulerNames(dataCentre string) []string {
	var names []string
	for _, m := range b.Schedulers(dataCentre) {
		names = append(names, m.Name())
	}
	return names
}
