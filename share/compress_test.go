// SPDX-License-Identifier: Apache-2.0

package share

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// routes returns the text of a configuration with count routes, in a publisher's format.
func routes(count int) []byte {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, `{"name":"r-%06d","host":"h%d.example","path_prefix":"/p%d/2f/","kind":"non_idempotent","timeout_ms":1000,"service":"s1","max_attempts":2},`, i*7919%1000003, i%20, i)
	}
	return []byte(b.String())
}

func TestLongValueIsCompressedAndRead(t *testing.T) {
	c := quicktest.New(t)
	raw := routes(1700)
	i := Compress(&wire.Item{Key: "config", Version: 3, Value: raw, Settled: true, DataCentre: "d1"})
	c.Assert(len(i.GetPacked()) < len(raw)/8, quicktest.IsTrue, quicktest.Commentf("%d of %d bytes", len(i.GetPacked()), len(raw)))
	c.Assert(i.GetValue(), quicktest.HasLen, 0)
	value, err := Value(i)
	c.Assert(err, quicktest.IsNil)
	c.Assert(bytes.Equal(value, raw), quicktest.IsTrue)
	older, err := decompressed(i)
	c.Assert(err, quicktest.IsNil)
	c.Assert(proto.Equal(older, &wire.Item{Key: "config", Version: 3, Value: raw, Settled: true, DataCentre: "d1"}), quicktest.IsTrue)
	short := &wire.Item{Key: "k", Value: []byte("short")}
	c.Assert(Compress(short), quicktest.Equals, short)
}

func TestCorruptOrTooLongCompressedValueIsRejected(t *testing.T) {
	c := quicktest.New(t)
	_, err := Value(&wire.Item{Key: "config", Packed: []byte("no gzip")})
	c.Assert(err, quicktest.ErrorMatches, "share: packed value of config: .*")
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(make([]byte, maxValueBytes+1))
	c.Assert(w.Close(), quicktest.IsNil)
	_, err = Value(&wire.Item{Key: "config", Packed: b.Bytes()})
	c.Assert(err, quicktest.ErrorMatches, "share: value of config is longer than .* bytes")
	_, err = Value(&wire.Item{Key: "config", Packed: b.Bytes()[:b.Len()/2]})
	c.Assert(err, quicktest.ErrorMatches, "share: packed value of config: .*")
}

const (
	linkBytesPerSecond = 20e6 / 8 // shared by the streams to all followers
	followerCount      = 6
)

// Guards against streams that time out while a large configuration is sent. Sending it uncompressed to six followers
// over a link of 20 Mbit/s blocks all other messages for 0.7 s. A stream without messages for 0.75 s counts as
// broken, reconnects, and receives everything again. After a configuration had grown by 1,640 routes, 1,713 copies of
// 300 KB were sent to 195 boxes within 20 s, and 512 streams failed with ErrIdleTimeout.
func TestLargeConfigurationDoesNotTimeOutStreams(t *testing.T) {
	c := quicktest.New(t)
	i := Compress(&wire.Item{Key: "config", Version: 3, Value: routes(1700), Settled: true})
	transfer := time.Duration(float64(followerCount*proto.Size(i)) / linkBytesPerSecond * float64(time.Second))
	c.Assert(transfer < IdleTimeout/4, quicktest.IsTrue, quicktest.Commentf("transfer takes %v", transfer))
}

func TestFollowerIsNotSentKnownItems(t *testing.T) {
	c := quicktest.New(t)
	from, to := NewTable(), NewTable()
	from.Merge(item("same", 3), item("newer", 4), item("unknown", 1), Compress(&wire.Item{Key: "config", Version: 9, Value: routes(100)}))
	to.Merge(item("same", 3), item("newer", 2), Compress(&wire.Item{Key: "config", Version: 9, Value: routes(100)}))
	client := serve(c, shareServer{server: &Server{Table: from, DataCentre: "d1", ReadStatus: func() (ReadStatus, bool) { return ReadStatus{}, true }}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sent []string
	err := Follow(ctx, client, &wire.FollowRequest{Everything: true}, to, nil, func(u *wire.Update, _ time.Time) {
		for _, i := range u.GetItems() {
			sent = append(sent, i.GetKey())
		}
		from.Merge(item("same", 4))
		if to.Version("same") == 4 {
			cancel()
		}
	})
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(sent, quicktest.DeepEquals, []string{"newer", "unknown", "same"})
}
