// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/platform"
)

// Boxes reads the platform's list of boxes when it is asked for, and remembers
// it. The list lags; it serves to find the first peer, and the daemons of other
// data centres.
type Boxes struct {
	Client *platform.Client
	Life   func() time.Duration // how long a list is used before it is read again

	mu    sync.Mutex
	list  []platform.Box
	asked time.Time
}

// List returns the list, as old as Life, or older while the platform does not
// answer.
func (b *Boxes) List() []platform.Box {
	b.mu.Lock()
	defer b.mu.Unlock()
	life := b.Life()
	if len(b.list) == 0 {
		life = time.Second
	}
	if time.Since(b.asked) < life {
		return b.list
	}
	b.asked = time.Now()
	v, err := b.Client.Read(context.Background(), platform.BoxesKey)
	if err != nil {
		return b.list
	}
	if list, err := platform.ParseBoxes(v.Body()); err == nil {
		b.list = list
	}
	return b.list
}

// Schedulers implements gateway.Remote.
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
