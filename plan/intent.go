// SPDX-License-Identifier: Apache-2.0

package plan

import (
	"fmt"
	"time"

	"cairnwick.example/catalog"
)

// Intent is a configuration change that an operator requests.
type Intent interface {
	fmt.Stringer
	// Apply makes the change in the shards. It returns an *IntentError if the intent
	// names something unknown or conflicts with the published configuration.
	Apply(set *shardSet) error
}

// IntentError reports why an intent was rejected.
type IntentError struct {
	Intent string
	Reason string
}

func (e *IntentError) Error() string { return "plan: " + e.Intent + ": " + e.Reason }

func rejectIntent(i Intent, format string, values ...any) error {
	return &IntentError{Intent: i.String(), Reason: fmt.Sprintf(format, values...)}
}

// SetLive makes a version the one that serves requests that name the adapter without a
// version.
type SetLive struct{ Adapter, Version string }

func (i SetLive) String() string {
	return fmt.Sprintf("make version %s of %s live", i.Version, i.Adapter)
}

// Apply implements Intent.
func (i SetLive) Apply(set *shardSet) error {
	shard, index, f, ok := set.adapter(i.Adapter)
	if !ok {
		return rejectIntent(i, "no adapter %q is published", i.Adapter)
	}
	if _, ok := f.Versions[i.Version]; !ok {
		return rejectIntent(i, "adapter %q has no version %q", i.Adapter, i.Version)
	}
	if f.Aliases == nil {
		return set.patch(shard, "add", map[string]string{catalog.LiveAlias: i.Version}, "adapters", index, "aliases")
	}
	return set.patch(shard, "add", i.Version, "adapters", index, "aliases", catalog.LiveAlias)
}

// CreateVersion adds a version, and its adapter if that is new.
type CreateVersion struct{ Adapter, Base, Version, Path string }

func (i CreateVersion) String() string {
	return fmt.Sprintf("create version %s of %s from %s", i.Version, i.Adapter, i.Path)
}

// Apply implements Intent.
func (i CreateVersion) Apply(set *shardSet) error {
	shard, index, f, ok := set.adapter(i.Adapter)
	if ok {
		if _, taken := f.Versions[i.Version]; taken {
			return rejectIntent(i, "version %q is already published, and a published version never changes", i.Version)
		}
		if i.Base != "" && i.Base != f.Base {
			return rejectIntent(i, "adapter %q uses base %q", i.Adapter, f.Base)
		}
		return set.patch(shard, "add", i.Path, "adapters", index, "versions", i.Version)
	}
	if i.Base == "" {
		return rejectIntent(i, "a new adapter needs a base model")
	}
	for _, n := range set.names {
		if len(set.parsed[n].Adapters) > 0 {
			return set.patch(n, "add", catalog.AdapterSpec{Name: i.Adapter, Base: i.Base, Versions: map[string]string{i.Version: i.Path}}, "adapters", "-")
		}
	}
	return rejectIntent(i, "no shard lists an adapter yet; publish the first adapter without a plan")
}

// Retire removes an adapter, or one version of it, from the configuration.
type Retire struct{ Adapter, Version string }

func (i Retire) String() string {
	if i.Version == "" {
		return "retire " + i.Adapter
	}
	return fmt.Sprintf("retire version %s of %s", i.Version, i.Adapter)
}

// Apply implements Intent.
func (i Retire) Apply(set *shardSet) error {
	shard, index, f, ok := set.adapter(i.Adapter)
	if !ok {
		return rejectIntent(i, "no adapter %q is published", i.Adapter)
	}
	if i.Version == "" {
		return set.patch(shard, "remove", nil, "adapters", index)
	}
	if _, ok := f.Versions[i.Version]; !ok {
		return rejectIntent(i, "adapter %q has no version %q", i.Adapter, i.Version)
	}
	for alias, v := range f.Aliases {
		if v == i.Version {
			return rejectIntent(i, "alias %q points to it; point the alias to another version first", alias)
		}
	}
	return set.patch(shard, "remove", nil, "adapters", index, "versions", i.Version)
}

// SetPriority sets the priority of keeping an adapter loaded.
type SetPriority struct {
	Adapter  string
	Priority int
}

func (i SetPriority) String() string {
	return fmt.Sprintf("set the priority of %s to %d", i.Adapter, i.Priority)
}

// Apply implements Intent.
func (i SetPriority) Apply(set *shardSet) error {
	shard, index, f, ok := set.adapter(i.Adapter)
	if !ok {
		return rejectIntent(i, "no adapter %q is published", i.Adapter)
	}
	if f.Priority == i.Priority {
		return nil
	}
	return set.patch(shard, "add", i.Priority, "adapters", index, "priority")
}

// SetMaxWait sets the maximum wait of the requests of a class.
type SetMaxWait struct {
	Class string
	Wait  time.Duration
}

func (i SetMaxWait) String() string {
	return fmt.Sprintf("set the maximum wait of class %s to %s", i.Class, i.Wait)
}

// Apply implements Intent.
func (i SetMaxWait) Apply(set *shardSet) error {
	shard, index, f, ok := set.class(i.Class)
	if !ok {
		return rejectIntent(i, "no class %q is published", i.Class)
	}
	if i.Wait < 0 || i.Wait > time.Duration(f.Deadline) {
		return rejectIntent(i, "the maximum wait must be between 0 and the deadline of the class, %s", time.Duration(f.Deadline))
	}
	if time.Duration(f.MaxWait) == i.Wait {
		return nil
	}
	return set.patch(shard, "add", i.Wait.String(), "classes", index, "may_wait")
}

// Drain drains an endpoint or a data centre, or puts it back into service.
type Drain struct {
	Name    string // of an endpoint or a data centre
	Undrain bool   // puts it back into service
}

func (i Drain) String() string {
	if i.Undrain {
		return "put " + i.Name + " back into service"
	}
	return "drain " + i.Name
}

func (i Drain) state() catalog.State {
	if i.Undrain {
		return catalog.Serving
	}
	return catalog.Draining
}

// Apply implements Intent.
func (i Drain) Apply(set *shardSet) error {
	if shard, index, f, ok := set.endpoint(i.Name); ok {
		if f.State == i.state() || (f.State == "" && i.Undrain) {
			return nil
		}
		return set.patch(shard, "add", i.state(), "endpoints", index, "state")
	}
	if shard, index, ok := set.dataCentre(i.Name); ok {
		return set.patch(shard, "add", i.state(), "data_centres", index, "state")
	}
	return i.addDataCentre(set)
}

// addDataCentre adds the state of a data centre whose state is not published yet.
func (i Drain) addDataCentre(set *shardSet) error {
	for _, n := range set.names {
		for _, f := range set.parsed[n].Endpoints {
			if f.DataCentre != i.Name {
				continue
			}
			if i.Undrain {
				return nil
			}
			entry := catalog.DataCentreSpec{Name: i.Name, State: i.state()}
			if len(set.parsed[n].DataCentres) > 0 {
				return set.patch(n, "add", entry, "data_centres", "-")
			}
			return set.patch(n, "add", []catalog.DataCentreSpec{entry}, "data_centres")
		}
	}
	return rejectIntent(i, "no endpoint or data centre %q is published", i.Name)
}

// SetBase changes the base model of a drained endpoint.
type SetBase struct{ Endpoint, Base string }

func (i SetBase) String() string { return fmt.Sprintf("move %s to base %s", i.Endpoint, i.Base) }

// Apply implements Intent.
func (i SetBase) Apply(set *shardSet) error {
	shard, index, f, ok := set.endpoint(i.Endpoint)
	if !ok {
		return rejectIntent(i, "no endpoint %q is published", i.Endpoint)
	}
	if f.Base == i.Base {
		return nil
	}
	if f.State != catalog.Draining {
		return rejectIntent(i, "drain the endpoint first, so that no request runs on it")
	}
	return set.patch(shard, "add", i.Base, "endpoints", index, "base")
}
