// SPDX-License-Identifier: Apache-2.0

package plan

import (
	"fmt"
	"time"

	"cairnwick.example/catalog"
)

// Intent is what an operator wants.
type Intent interface {
	fmt.Stringer
	// Change makes the documents say so. It returns an *IntentError when the
	// intent names something unknown or contradicts what is published.
	Change(d *documents) error
}

// IntentError says why an intent does not hold.
type IntentError struct {
	Intent string
	Reason string
}

func (e *IntentError) Error() string { return "plan: " + e.Intent + ": " + e.Reason }

func refuse(i Intent, format string, values ...any) error {
	return &IntentError{Intent: i.String(), Reason: fmt.Sprintf(format, values...)}
}

// Live makes a version the one that callers get who name the adapter alone.
type Live struct{ Adapter, Version string }

func (i Live) String() string {
	return fmt.Sprintf("make version %s of %s live", i.Version, i.Adapter)
}

// Change implements Intent.
func (i Live) Change(d *documents) error {
	shard, at, f, ok := d.adapter(i.Adapter)
	if !ok {
		return refuse(i, "no adapter %q is published", i.Adapter)
	}
	if _, ok := f.Versions[i.Version]; !ok {
		return refuse(i, "adapter %q has no version %q", i.Adapter, i.Version)
	}
	if f.Aliases == nil {
		return d.patch(shard, "add", map[string]string{catalog.LiveAlias: i.Version}, "adapters", at, "aliases")
	}
	return d.patch(shard, "add", i.Version, "adapters", at, "aliases", catalog.LiveAlias)
}

// Create adds a version, and its adapter when that is new.
type Create struct{ Adapter, Base, Version, Path string }

func (i Create) String() string {
	return fmt.Sprintf("create version %s of %s from %s", i.Version, i.Adapter, i.Path)
}

// Change implements Intent.
func (i Create) Change(d *documents) error {
	shard, at, f, ok := d.adapter(i.Adapter)
	if ok {
		if _, taken := f.Versions[i.Version]; taken {
			return refuse(i, "version %q is published, and never changes", i.Version)
		}
		if i.Base != "" && i.Base != f.Base {
			return refuse(i, "adapter %q is on base %q", i.Adapter, f.Base)
		}
		return d.patch(shard, "add", i.Path, "adapters", at, "versions", i.Version)
	}
	if i.Base == "" {
		return refuse(i, "a new adapter needs its base")
	}
	for _, n := range d.names {
		if len(d.parsed[n].Adapters) > 0 {
			return d.patch(n, "add", catalog.AdapterSpec{Name: i.Adapter, Base: i.Base, Versions: map[string]string{i.Version: i.Path}}, "adapters", "-")
		}
	}
	return refuse(i, "no shard holds adapters yet; publish one with an empty list first")
}

// Retire takes an adapter or one version of it out of use.
type Retire struct{ Adapter, Version string }

func (i Retire) String() string {
	if i.Version == "" {
		return "retire " + i.Adapter
	}
	return fmt.Sprintf("retire version %s of %s", i.Version, i.Adapter)
}

// Change implements Intent.
func (i Retire) Change(d *documents) error {
	shard, at, f, ok := d.adapter(i.Adapter)
	if !ok {
		return refuse(i, "no adapter %q is published", i.Adapter)
	}
	if i.Version == "" {
		return d.patch(shard, "remove", nil, "adapters", at)
	}
	if _, ok := f.Versions[i.Version]; !ok {
		return refuse(i, "adapter %q has no version %q", i.Adapter, i.Version)
	}
	for alias, v := range f.Aliases {
		if v == i.Version {
			return refuse(i, "alias %q stands for it; make another version %s first", alias, alias)
		}
	}
	return d.patch(shard, "remove", nil, "adapters", at, "versions", i.Version)
}

// Priority sets how much an adapter is worth keeping.
type Priority struct {
	Adapter  string
	Priority int
}

func (i Priority) String() string {
	return fmt.Sprintf("set the priority of %s to %d", i.Adapter, i.Priority)
}

// Change implements Intent.
func (i Priority) Change(d *documents) error {
	shard, at, f, ok := d.adapter(i.Adapter)
	if !ok {
		return refuse(i, "no adapter %q is published", i.Adapter)
	}
	if f.Priority == i.Priority {
		return nil
	}
	return d.patch(shard, "add", i.Priority, "adapters", at, "priority")
}

// MayWait sets how long requests of a class may wait.
type MayWait struct {
	Class string
	Wait  time.Duration
}

func (i MayWait) String() string { return fmt.Sprintf("let class %s wait %s", i.Class, i.Wait) }

// Change implements Intent.
func (i MayWait) Change(d *documents) error {
	shard, at, f, ok := d.class(i.Class)
	if !ok {
		return refuse(i, "no class %q is published", i.Class)
	}
	if i.Wait < 0 || i.Wait > time.Duration(f.Deadline) {
		return refuse(i, "it must be between nothing and the deadline, %s", time.Duration(f.Deadline))
	}
	if time.Duration(f.MaxWait) == i.Wait {
		return nil
	}
	return d.patch(shard, "add", i.Wait.String(), "classes", at, "may_wait")
}

// Drain takes an endpoint or a data centre out of use, or back into use.
type Drain struct {
	Name string // of an endpoint or a data centre
	Back bool
}

func (i Drain) String() string {
	if i.Back {
		return "take " + i.Name + " back into use"
	}
	return "drain " + i.Name
}

func (i Drain) state() catalog.State {
	if i.Back {
		return catalog.Serving
	}
	return catalog.Draining
}

// Change implements Intent.
func (i Drain) Change(d *documents) error {
	if shard, at, f, ok := d.endpoint(i.Name); ok {
		if f.State == i.state() || (f.State == "" && i.Back) {
			return nil
		}
		return d.patch(shard, "add", i.state(), "endpoints", at, "state")
	}
	if shard, at, ok := d.centre(i.Name); ok {
		return d.patch(shard, "add", i.state(), "data_centres", at, "state")
	}
	return i.addCentre(d)
}

// addCentre publishes the state of a data centre that had none.
func (i Drain) addCentre(d *documents) error {
	for _, n := range d.names {
		for _, f := range d.parsed[n].Endpoints {
			if f.DataCentre != i.Name {
				continue
			}
			if i.Back {
				return nil
			}
			entry := catalog.DataCentreSpec{Name: i.Name, State: i.state()}
			if len(d.parsed[n].DataCentres) > 0 {
				return d.patch(n, "add", entry, "data_centres", "-")
			}
			return d.patch(n, "add", []catalog.DataCentreSpec{entry}, "data_centres")
		}
	}
	return refuse(i, "no endpoint or data centre is called %q", i.Name)
}

// Move gives an endpoint another base model.
type Move struct{ Endpoint, Base string }

func (i Move) String() string { return fmt.Sprintf("move %s to base %s", i.Endpoint, i.Base) }

// Change implements Intent.
func (i Move) Change(d *documents) error {
	shard, at, f, ok := d.endpoint(i.Endpoint)
	if !ok {
		return refuse(i, "no endpoint %q is published", i.Endpoint)
	}
	if f.Base == i.Base {
		return nil
	}
	if f.State != catalog.Draining {
		return refuse(i, "drain the endpoint first, so that no request runs on it")
	}
	return d.patch(shard, "add", i.Base, "endpoints", at, "base")
}
