// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/kvstore"
	"cairnwick.example/member"
)

// Boxes keeps the platform's list of boxes, which lags. It serves to find the
// first peer, and the daemons of other data centres. Nobody who asks waits for the
// platform. Set the fields before Run.
type Boxes struct {
	Client *kvstore.Client
	Life   func() time.Duration // how long a list is used before it is read again

	mu   sync.Mutex
	list []kvstore.Daemon // as last read; empty before
}

const (
	firstRead = 500 * time.Millisecond // longest wait for the list at the start
	readAgain = time.Second            // after a read that failed
)

// Run reads the list again and again until ctx ends.
func (b *Boxes) Run(ctx context.Context) error {
	for {
		pause := b.Life()
		if !b.Refresh(ctx) {
			pause = readAgain
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// Refresh reads the list once and tells whether the platform gave one.
func (b *Boxes) Refresh(ctx context.Context) bool {
	v, err := b.Client.Read(ctx, kvstore.BoxesKey)
	if err != nil {
		return false
	}
	list, err := kvstore.ParseBoxes(v.Body())
	if err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = list
	return true
}

// List returns the list as last read; do not change it.
func (b *Boxes) List() []kvstore.Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list
}

// Schedulers implements gateway.Directory.
func (b *Boxes) Schedulers(dataCentre string) []member.Member {
	var list []member.Member
	for _, x := range b.List() {
		if x.DataCentre == dataCentre && x.Role == member.Scheduler && !x.Leaving {
			list = append(list, member.New(x.Name, x.Address, x.Role, x.DataCentre, 0))
		}
	}
	return list
}

// Listed returns the names of the schedulers that the platform lists as staying
// in a data centre.
func (b *Boxes) Listed(dataCentre string) []string {
	var names []string
	for _, m := range b.Schedulers(dataCentre) {
		names = append(names, m.Name())
	}
	return names
}
