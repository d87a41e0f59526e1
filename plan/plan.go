// SPDX-License-Identifier: Apache-2.0

// Package plan turns an operator's intent into a plan: the documents to publish,
// what they will move, how long that takes and what can go wrong.
//
// A plan is made against one revision and what the daemons hold now. Nothing is
// written: to confirm a plan is to publish its documents, with the users' own
// means.
package plan

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"cairnwick.example/catalog"
	"github.com/pkg/errors"
)

// Plan is what would be done. Its fields are those of its JSON form.
type Plan struct {
	Intent    string            `json:"intent"`
	Base      Base              `json:"base"`
	Effects   []string          `json:"effects"` // what moves, one line each
	Loads     int               `json:"loads"`   // adapters to load
	Unloads   int               `json:"unloads"`
	LoadTime  string            `json:"takes"` // a duration, at the store's rate
	Waits     []string          `json:"waits"` // who waits or is refused meanwhile
	Risks     []string          `json:"risks"`
	Head      string            `json:"head"`   // text of the head document to publish
	Shards    map[string]string `json:"shards"` // texts of the shards to publish, by digest
	Digest    string            `json:"digest"` // of all the above
	CreatedAt time.Time         `json:"created_at"`
}

// Base is the revision that a plan was made against.
type Base struct {
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
}

// Snapshot is what is known when a plan is made.
type Snapshot struct {
	Head           catalog.Head
	Shards         map[string][]byte   // texts by shard name
	LoadedAdapters map[string][]string // adapter@version by endpoint
	LoadRate       float64             // loads a second that the store allows
	Now            time.Time
}

// New makes the plan of an intent. It returns an *IntentError when the intent
// does not hold, and a *catalog.CheckError when the result would not.
func New(i Intent, s Snapshot) (Plan, error) {
	old, err := catalog.Build(s.Head, s.Shards, nil)
	if err != nil {
		return Plan{}, errors.Wrap(err, "plan: configuration in force")
	}
	set, err := parseShards(s.Shards)
	if err != nil {
		return Plan{}, err
	}
	if err := i.Apply(set); err != nil {
		return Plan{}, err
	}
	changed := set.changedShards()
	if len(changed) == 0 {
		return Plan{}, &IntentError{Intent: i.String(), Reason: "it is so already"}
	}
	shards := make(map[string][]byte, len(s.Shards))
	for n, raw := range s.Shards {
		shards[n] = raw
	}
	for n, raw := range changed {
		shards[n] = raw
	}
	head, err := catalog.NewHead(s.Head, shards)
	if err != nil {
		return Plan{}, err
	}
	next, err := catalog.Build(head, shards, old)
	if err != nil {
		return Plan{}, err
	}
	return assemble(i, s, compareConfigurations(old, next, s), head, changed), nil
}

func assemble(i Intent, s Snapshot, e effects, head catalog.Head, changed map[string][]byte) Plan {
	p := Plan{
		Intent:    i.String(),
		Base:      Base{Revision: s.Head.Revision(), Digest: s.Head.Digest()},
		Effects:   e.lines,
		Loads:     e.loads,
		Unloads:   e.unloads,
		LoadTime:  e.loadTime(s.LoadRate).String(),
		Waits:     e.waits,
		Risks:     e.risks,
		Head:      string(head.Raw()),
		Shards:    make(map[string]string, len(changed)),
		CreatedAt: s.Now.UTC().Truncate(time.Second),
	}
	for _, raw := range changed {
		p.Shards[catalog.Digest(raw)] = string(raw)
	}
	p.Digest = p.digest()
	return p
}

// digest is that of the plan without its digest.
func (p Plan) digest() string {
	p.Digest = ""
	raw, err := json.Marshal(p)
	if err != nil {
		return "" // strings, numbers and a time always marshal
	}
	return catalog.Digest(raw)
}

// ErrDigestMismatch says that a plan's file was changed by hand.
var ErrDigestMismatch = errors.New("plan: its digest does not fit; a plan is never changed by hand, make a new one")

// Read reads a plan's JSON form and checks its digest.
func Read(raw []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return Plan{}, errors.Wrap(err, "plan: read")
	}
	if p.Digest != p.digest() {
		return Plan{}, ErrDigestMismatch
	}
	return p, nil
}

// HeadDigest returns the digest of the head that the plan publishes.
func (p Plan) HeadDigest() string { return catalog.Digest([]byte(p.Head)) }

// StaleError says that the configuration has moved on since a plan was made.
type StaleError struct {
	Base     Base
	Revision int64 // in force now
	Digest   string
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("plan: made on revision %d (%.12s), but revision %d (%.12s) is in force; make it again",
		e.Base.Revision, e.Base.Digest, e.Revision, e.Digest)
}

// CheckBase returns a *StaleError when the head in force is not the plan's base.
func (p Plan) CheckBase(revision int64, digest string) error {
	if digest != p.Base.Digest {
		return &StaleError{Base: p.Base, Revision: revision, Digest: digest}
	}
	return nil
}

// Print writes the plan for people.
func (p Plan) Print(w io.Writer) {
	fmt.Fprintf(w, "Intent: %s\nBased on revision %d (%.12s), becomes revision %d (%.12s)\n", p.Intent, p.Base.Revision, p.Base.Digest, p.Base.Revision+1, p.HeadDigest())
	list := func(title string, lines []string) {
		fmt.Fprintln(w, title)
		for _, l := range lines {
			fmt.Fprintln(w, "  -", l)
		}
		if len(lines) == 0 {
			fmt.Fprintln(w, "  - nothing")
		}
	}
	list("What moves:", p.Effects)
	list("Who waits or is refused meanwhile:", p.Waits)
	list("What can go wrong:", p.Risks)
	fmt.Fprintf(w, "Loads: %d, unloads: %d, about %s at the store's rate\n", p.Loads, p.Unloads, p.LoadTime)
	fmt.Fprintf(w, "Publishes the head and %d shard(s). Plan %.12s\n", len(p.Shards), p.Digest)
}
