// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"
	"testing"
	"time"

	"cairnwick.example/placement"
	"cairnwick.example/quarantine"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
)

// FuzzItems checks that for any update from another box a valid item is accepted, no known version
// goes back, and this box's fences stay tied to the clock.
func FuzzItems(f *testing.F) {
	slots, err := proto.Marshal(&wire.Slot{Adapter: "m/a", Version: 2, Ready: true})
	if err != nil {
		f.Fatal(err)
	}
	for _, u := range []*wire.Update{
		{Items: []*wire.Item{{Key: "slots/e/1/0", Version: 9 << 24, Value: slots}, {Key: "e/1", Version: 3, Removed: true}}},
		{Items: []*wire.Item{{Key: "quarantine/000102030405060708090a0b0c0d0e0f", Version: 1 << 60}, {Key: "suspicion/000102030405060708090a0b0c0d0e0f", Version: 1 << 60}}},
		{Items: []*wire.Item{{Key: "quarantine/000102030405060708090a0b0c0d0e0f", Version: 1 << 60, Removed: true}, {Key: "suspicion/0", Version: 1 << 60}}},
		{Items: []*wire.Item{{Key: "slots/e/1/3", Version: 1<<64 - 1, Value: []byte{255}}, {Key: "slots/7"}, {Key: "slots/e/1/-2"}, {Key: "slots/e/1/99999999", Version: 1}, {}, {Key: "e/", Packed: []byte("no gzip")}}, Reading: true, AgeMicros: -1},
	} {
		raw, err := proto.Marshal(u)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var u wire.Update
		if proto.Unmarshal(raw, &u) != nil {
			return
		}
		table := share.NewTable()
		s := &state{view: topology.NewView(), table: table, decoder: plainDecoder{}, fences: &placement.Fences{Process: 1}, log: logr.Discard()}
		s.disputed, s.quarantined = func([]quarantine.Fingerprint, time.Time) {}, func(quarantine.Fingerprint) {}
		table.OnChange = s.apply
		table.Receive(&wire.Item{Key: "e/1", Version: 2})
		table.Receive(u.GetItems()...)
		table.Receive(&wire.Item{Key: "e/good", Version: 1<<64 - 1})
		if table.Version("e/1") < 2 || s.view.Endpoint("e/good") == nil {
			t.Error("a valid item was not accepted")
		}
		for _, i := range u.GetItems() {
			if table.Version(i.GetKey()) < i.GetVersion() && !strings.HasPrefix(i.GetKey(), "slots/e/1/") {
				t.Errorf("%q is at version %d but version %d was received", i.GetKey(), table.Version(i.GetKey()), i.GetVersion())
			}
		}
		now := time.Unix(1_800_000_000, 0)
		first := s.fences.Next(now, 0, 0)
		if next := s.fences.Next(now, first, 1); next <= first {
			t.Errorf("fence %d after %d", next, first)
		}
	})
}
