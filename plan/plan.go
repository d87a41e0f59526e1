// SPDX-License-Identifier: Apache-2.0

// Package plan computes a plan from an operator's intent: the documents to publish, their
// effects, the time that the loads take, and the risks.
//
// A plan is based on one revision of the configuration and on the adapters that the
// daemons have loaded now. This package publishes nothing: operators confirm a plan by
// publishing its documents with their own tools.
package plan

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"cairnwick.example/catalog"
	"github.com/pkg/errors"
)

// Plan describes a configuration change. It is stored as JSON.
type Plan struct {
	Intent    string            `json:"intent"`
	Base      Base              `json:"base"`
	Effects   []string          `json:"effects"` // one line each
	Loads     int               `json:"loads"`   // adapters to load
	Unloads   int               `json:"unloads"`
	LoadTime  string            `json:"takes"` // duration of the loads at the rate of the store
	Waits     []string          `json:"waits"` // requests that are delayed or refused during the change
	Risks     []string          `json:"risks"`
	Head      string            `json:"head"`   // text of the head document to publish
	Shards    map[string]string `json:"shards"` // texts of the shards to publish, by digest
	Digest    string            `json:"digest"` // of all other fields
	CreatedAt time.Time         `json:"created_at"`
}

// Base is the revision that a plan was made against.
type Base struct {
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
}

// Snapshot is the state of the system that a plan is based on.
type Snapshot struct {
	Head           catalog.Head
	Shards         map[string][]byte   // text by shard name
	LoadedAdapters map[string][]string // adapter@version by endpoint
	LoadRate       float64             // loads a second that the adapter store allows
	Now            time.Time
}

// New returns the plan for an intent. It returns an *IntentError if the intent is rejected,
// and a *catalog.CheckError if the resulting configuration would be invalid.
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
		return Plan{}, &IntentError{Intent: i.String(), Reason: "the configuration already has this state"}
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

// digest returns the digest of the plan with an empty Digest field.
func (p Plan) digest() string {
	p.Digest = ""
	raw, err := json.Marshal(p)
	if err != nil {
		return "" // strings, numbers and a time always marshal
	}
	return catalog.Digest(raw)
}

// ErrDigestMismatch is returned for a plan that was modified after it was made.
var ErrDigestMismatch = errors.New("plan: digest mismatch: the plan was modified after it was made; make a new one")

// Read parses a plan from JSON and checks its digest.
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

// StaleError reports that the configuration has changed since a plan was made.
type StaleError struct {
	Base     Base
	Revision int64 // in force now
	Digest   string
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("plan: made on revision %d (%.12s), but revision %d (%.12s) is in force; make a new plan",
		e.Base.Revision, e.Base.Digest, e.Revision, e.Digest)
}

// CheckBase returns a *StaleError if the head in force is not the base of the plan.
func (p Plan) CheckBase(revision int64, digest string) error {
	if digest != p.Base.Digest {
		return &StaleError{Base: p.Base, Revision: revision, Digest: digest}
	}
	return nil
}

// Print writes the plan as text.
func (p Plan) Print(w io.Writer) {
	fmt.Fprintf(w, "Intent: %s\nBased on revision %d (%.12s), becomes revision %d (%.12s)\n", p.Intent, p.Base.Revision, p.Base.Digest, p.Base.Revision+1, p.HeadDigest())
	list := func(title string, lines []string) {
		fmt.Fprintln(w, title)
		for _, l := range lines {
			fmt.Fprintln(w, "  -", l)
		}
		if len(lines) == 0 {
			fmt.Fprintln(w, "  - none")
		}
	}
	list("Effects:", p.Effects)
	list("Requests delayed or refused meanwhile:", p.Waits)
	list("Risks:", p.Risks)
	fmt.Fprintf(w, "Loads: %d, unloads: %d, about %s at the rate of the store\n", p.Loads, p.Unloads, p.LoadTime)
	fmt.Fprintf(w, "Publishes the head and %d shard(s). Plan %.12s\n", len(p.Shards), p.Digest)
}
