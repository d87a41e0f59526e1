// SPDX-License-Identifier: Apache-2.0

// Package member maintains the list of daemons of a data centre by gossip: each daemon exchanges heartbeats
// with a few ring neighbours, and heartbeats carry updates about other members.
//
// Every member has an incarnation. The entry with the higher incarnation wins, and at
// the same incarnation the worse state wins. Only a member itself raises its
// incarnation, so that a restarted box is distinguished from its earlier run and a wrongly
// suspected one can refute the suspicion.
//
// HeartbeatLoop sends and answers heartbeats. Table holds the resulting view: Merge applies what peers
// report about other members, and NextUpdates returns what to pass on. RecordExchange, RecordTimeout,
// RecordRefusal and RecordContact record what this daemon observes itself.
package member

import (
	"time"

	"cairnwick.example/wire"
)

// Roles of daemons.
const (
	Gateway   = "gateway"
	Scheduler = "scheduler"
)

// State is a member's state in the local view.
type State int

// States, from best to worst.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Dead
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "leaving", "dead"}[s]
}

// Member is one daemon in the local view.
type Member struct {
	name        string // box and role; unique in the data centre
	address     string // IP:port that serves peers
	role        string
	dataCentre  string
	incarnation uint64
	state       State
	capacity    int       // thousandths of a CPU core; zero if not known
	cutOff      bool      // it can open no connections to the endpoints, though others can
	since       time.Time // when this daemon learned the state
}

// New returns an alive member.
func New(name, address, role, dataCentre string, incarnation uint64) Member {
	return Member{name: name, address: address, role: role, dataCentre: dataCentre, incarnation: incarnation, state: Alive}
}

// WithCapacity returns a copy of the member with the CPU share that it may use, in
// thousandths of a core.
func (m Member) WithCapacity(thousandths int) Member {
	m.capacity = thousandths
	return m
}

// Name returns the daemon's name, which is unique in its data centre.
func (m Member) Name() string { return m.name }

// Address returns the IP:port at which the daemon serves peers.
func (m Member) Address() string { return m.address }

// Role returns Gateway or Scheduler.
func (m Member) Role() string { return m.role }

// DataCentre returns the data centre in which the daemon runs.
func (m Member) DataCentre() string { return m.dataCentre }

// Incarnation returns the daemon's incarnation number.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Capacity returns how many thousandths of a CPU core the daemon may use, zero if not known.
func (m Member) Capacity() int { return m.capacity }

// CutOff reports whether the daemon can open no connections to the endpoints, though others can.
func (m Member) CutOff() bool { return m.cutOff }

// State returns the daemon's state.
func (m Member) State() State { return m.state }

// Since returns when this daemon learned the state.
func (m Member) Since() time.Time { return m.since }

// Serving reports whether the daemon is alive or suspect, and so neither leaving nor dead.
func (m Member) Serving() bool { return m.state == Alive || m.state == Suspect }

// Wire converts the member to its form in heartbeats.
func (m Member) Wire() *wire.Member {
	return &wire.Member{
		Name:        m.name,
		Address:     m.address,
		Role:        m.role,
		DataCentre:  m.dataCentre,
		Incarnation: m.incarnation,
		State:       wire.MemberState(m.state),
		Capacity:    uint32(max(m.capacity, 0)),
		CutOff:      m.cutOff,
	}
}

// FromWire converts a member from its form in heartbeats.
func FromWire(w *wire.Member) Member {
	return Member{
		name:        w.GetName(),
		address:     w.GetAddress(),
		role:        w.GetRole(),
		dataCentre:  w.GetDataCentre(),
		incarnation: w.GetIncarnation(),
		state:       State(w.GetState()),
		capacity:    int(w.GetCapacity()),
		cutOff:      w.GetCutOff(),
	}
}

// supersedes reports whether m has a higher incarnation than old, or a worse state at the same one. Members of older
// versions pass entries on without cutOff: of two entries that differ in nothing else, the one that has it is right.
func (m Member) supersedes(old Member) bool {
	if m.incarnation != old.incarnation {
		return m.incarnation > old.incarnation
	}
	if m.state != old.state {
		return m.state > old.state
	}
	return m.cutOff && !old.cutOff
}
