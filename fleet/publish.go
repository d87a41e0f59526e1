// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/kvstore"
)

// Put writes a key of the key-value service, as the platform's users do.
func (f *Fleet) Put(ctx context.Context, key string, value []byte) error {
	_, err := doRequest(ctx, http.MethodPut, "http://"+f.PlatformAddress()+"/v1/kv/"+key, value)
	return err
}

// Publish publishes a configuration as the successor of the last one.
func (f *Fleet) Publish(ctx context.Context, shards map[string]catalog.Shard) error {
	f.mu.Lock()
	base := f.head
	f.mu.Unlock()
	h, err := f.PublishOn(ctx, base, shards)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.head = h
	f.mu.Unlock()
	return nil
}

// Head returns the head of the last configuration published by Publish.
func (f *Fleet) Head() catalog.Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head
}

// PublishOn publishes a configuration as the successor of base. Head does not change.
func (f *Fleet) PublishOn(ctx context.Context, base catalog.Head, shards map[string]catalog.Shard) (catalog.Head, error) {
	texts := make(map[string][]byte, len(shards))
	for n, s := range shards {
		raw, err := json.Marshal(s)
		if err != nil {
			return catalog.Head{}, err
		}
		texts[n] = raw
		if err := f.Put(ctx, kvstore.ShardPrefix+catalog.Digest(raw), raw); err != nil {
			return catalog.Head{}, err
		}
	}
	h, err := catalog.NewHead(base, texts)
	if err != nil {
		return catalog.Head{}, err
	}
	return h, f.Put(ctx, kvstore.HeadKey, h.Raw())
}

// Shards returns the configuration that describes the fleet, by shard name.
func (f *Fleet) Shards() map[string]catalog.Shard {
	s := f.Spec
	shards := map[string]catalog.Shard{
		"classes": {
			Bases: []catalog.BaseSpec{{Name: BaseName}},
			Classes: []catalog.ClassSpec{
				{Name: CounterClass, Priority: 1, MaxWait: seconds(5), Deadline: seconds(20), Default: true},
				{Name: NightClass, Priority: 9, MaxWait: seconds(600), Deadline: seconds(3600)},
				{Name: UrgentClass, Priority: 0, Deadline: seconds(10)},
			},
		},
		"endpoints": f.endpointShard(),
	}
	each := s.PerShard
	if each == 0 {
		each = defaultAdaptersPerShard
	}
	for first := 1; first <= s.Adapters; first += each {
		shards[fmt.Sprintf("adapters-%05d", first)] = adapterShard(first, min(first+each, s.Adapters+1))
	}
	return shards
}

func (f *Fleet) endpointShard() catalog.Shard {
	var shard catalog.Shard
	for c := 1; c <= f.Spec.Centres; c++ {
		for e := 1; e <= f.Spec.Engines; e++ {
			shard.Endpoints = append(shard.Endpoints, catalog.EndpointSpec{
				Name:         EndpointName(c, e),
				DataCentre:   CentreName(c),
				Base:         BaseName,
				Address:      f.daemonAddress(f.engineIP(c, e), standinPort),
				Slots:        f.Spec.Slots,
				MaxRunning:   f.Spec.BatchSize,
				MemoryTokens: f.Spec.MemoryTokens,
				ChecksFences: !f.Spec.NoFences,
				ReportLag:    catalog.Duration(reportLag),
			})
		}
	}
	if f.Spec.Services > 0 {
		s := catalog.ServiceSpec{Name: ServiceName, NonIdempotent: []string{"POST /bookings"}}
		for i := 1; i <= f.Spec.Services; i++ {
			s.Addresses = append(s.Addresses, f.ServiceAddress(i))
		}
		shard.Services = []catalog.ServiceSpec{s}
	}
	return shard
}

func adapterShard(first, end int) catalog.Shard {
	var shard catalog.Shard
	for i := first; i < end; i++ {
		n := AdapterName(i)
		shard.Adapters = append(shard.Adapters, catalog.AdapterSpec{
			Name:     n,
			Base:     BaseName,
			Versions: map[string]string{"1": "adapters/" + n + "/1", "2": "adapters/" + n + "/2"},
			Aliases:  map[string]string{catalog.LiveAlias: "2"},
		})
	}
	return shard
}

func seconds(n int) catalog.Duration { return catalog.Duration(time.Duration(n) * time.Second) }
