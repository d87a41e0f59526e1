// SPDX-License-Identifier: Apache-2.0

// Package member keeps the list of daemons of a data centre by heartbeats
// between a few ring neighbours, with what each heard of the others.
//
// Every member has an incarnation; news of a higher incarnation wins, and at
// the same incarnation the worse state wins. Only a member itself raises its
// incarnation, so that a restarted box is not its earlier self and a wrongly
// suspected one can say so.
//
// Loop sends and answers heartbeats. Table is the view that they keep: what peers
// tell of others is taken in by Merge and passed on by News; what this daemon sees
// itself is noted by Exchanged, Missed, Gone and Seen.
package member

import (
	"time"

	"cairnwick.example/wire"
)

// The roles of daemons.
const (
	Gateway   = "gateway"
	Scheduler = "scheduler"
)

// State is how a member is seen.
type State int

// The states, from best to worst.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Dead
)

// String names the state.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "leaving", "dead"}[s]
}

// Member is one daemon as it is seen from here.
type Member struct {
	name        string // unique in the data centre: box and role
	address     string // IP:port of its peers' port
	role        string
	dataCentre  string
	incarnation uint64
	state       State
	capacity    int       // thousandths of a processor core; zero: not known
	since       time.Time // when the state was heard here
}

// New returns a member that is alive.
func New(name, address, role, dataCentre string, incarnation uint64) Member {
	return Member{name: name, address: address, role: role, dataCentre: dataCentre, incarnation: incarnation, state: Alive}
}

// WithCapacity returns the member with the processor share that it may use, in
// thousandths of a core.
func (m Member) WithCapacity(thousandths int) Member {
	m.capacity = thousandths
	return m
}

// Name returns the daemon's unique name.
func (m Member) Name() string { return m.name }

// Address returns the IP number and port of the daemon's peers' port.
func (m Member) Address() string { return m.address }

// Role returns Gateway or Scheduler.
func (m Member) Role() string { return m.role }

// DataCentre returns where the daemon runs.
func (m Member) DataCentre() string { return m.dataCentre }

// Incarnation returns the number of this life of the daemon.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Capacity returns how many thousandths of a processor core the daemon may use; zero
// when that is not known.
func (m Member) Capacity() int { return m.capacity }

// State returns how the daemon is seen.
func (m Member) State() State { return m.state }

// Since returns when the state was heard here.
func (m Member) Since() time.Time { return m.since }

// Serving tells whether the daemon is believed to work and stay.
func (m Member) Serving() bool { return m.state == Alive || m.state == Suspect }

// Wire returns the form that heartbeats carry.
func (m Member) Wire() *wire.Member {
	return &wire.Member{
		Name:        m.name,
		Address:     m.address,
		Role:        m.role,
		DataCentre:  m.dataCentre,
		Incarnation: m.incarnation,
		State:       wire.MemberState(m.state),
		Capacity:    uint32(max(m.capacity, 0)),
	}
}

// FromWire reads the form that heartbeats carry.
func FromWire(w *wire.Member) Member {
	return Member{
		name:        w.GetName(),
		address:     w.GetAddress(),
		role:        w.GetRole(),
		dataCentre:  w.GetDataCentre(),
		incarnation: w.GetIncarnation(),
		state:       State(w.GetState()),
		capacity:    int(w.GetCapacity()),
	}
}

// newer tells whether m is news against old.
func (m Member) supersedes(old Member) bool {
	if m.incarnation != old.incarnation {
		return m.incarnation > old.incarnation
	}
	return m.state > old.state
}
