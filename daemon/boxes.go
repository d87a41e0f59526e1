// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/kvstore"
	"cairnwick.example/member"
)

// BoxList keeps the platform's list of boxes, which lags. It serves to find the
// first peer, and the daemons of other data centres. Nobody who asks waits for the
// platform. Set the fields before Run.
type BoxList struct {
	Client          *kvstore.Client
	RefreshInterval func() time.Duration // how long a list is used before it is read again

	mu   sync.Mutex
	list []kvstore.Daemon // as last read; empty before
}

const (
	initialReadTimeout = 500 * time.Millisecond // longest wait for the list at the start
	readRetryInterval  = time.Second            // after a read that failed
)

// Run reads the list again and again until ctx ends.
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

// Refresh reads the list once and tells whether the platform gave one.
func (b *BoxList) Refresh(ctx context.Context) bool {
	value, err := b.Client.Read(ctx, kvstore.BoxesKey)
	if err != nil {
		return false
	}
	list, err := kvstore.ParseBoxes(value.Body())
	if err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = list
	return true
}

// List returns the list as last read; do not change it.
func (b *BoxList) List() []kvstore.Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list
}

// Schedulers implements gateway.Remote.
func (b *BoxList) Schedulers(dataCentre string) []member.Member {
	var list []member.Member
	for _, entry := range b.List() {
		if entry.DataCentre == dataCentre && entry.Role == member.Scheduler && !entry.Leaving {
			list = append(list, member.New(entry.Name, entry.Address, entry.Role, entry.DataCentre, 0))
		}
	}
	return list
}

// SchedulerNames returns the names of the schedulers that the platform lists as staying
// in a data centre.
func (b *BoxList) SchedulerNames(dataCentre string) []string {
	var names []string
	for _, m := range b.Schedulers(dataCentre) {
		names = append(names, m.Name())
	}
	return names
}
