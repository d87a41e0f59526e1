// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/placement"
	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// slowDecoder decodes a configuration once released is closed.
type slowDecoder struct {
	serviceDecoder

	begun    chan struct{}
	released chan struct{}
	decoded  *atomic.Int64
}

// Config implements Decoder.
func (d slowDecoder) Config(value []byte) (*topology.Config, error) {
	d.decoded.Add(1)
	d.begun <- struct{}{}
	<-d.released
	return d.serviceDecoder.Config(value)
}

// newSlowState returns a state whose configurations take until release is called, and its table.
func newSlowState() (s *state, d slowDecoder, release func()) {
	d = slowDecoder{begun: make(chan struct{}, 8), released: make(chan struct{}), decoded: new(atomic.Int64)}
	table := share.NewTable()
	s = &state{view: topology.NewView(), table: table, decoder: d, fences: &placement.Fences{Process: 1}, log: logr.Discard()}
	table.Prepare, table.OnChange = s.prepare, s.apply
	return s, d, func() { close(d.released) }
}

// Guards against endpoints that leave unnoticed while a large configuration is decoded.
func TestOtherChangesDoNotWaitForAConfiguration(t *testing.T) {
	c := quicktest.New(t)
	s, d, release := newSlowState()
	merged := make(chan struct{})
	go func() {
		s.table.Receive(&wire.Item{Key: "config", Version: 7, Value: []byte("x")})
		close(merged)
	}()
	<-d.begun
	changed := make(chan struct{})
	go func() {
		s.table.Receive(&wire.Item{Key: "e/e1", Version: 1, Value: []byte("127.0.0.1:1")})
		close(changed)
	}()
	select {
	case <-changed:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint waits for the configuration")
	}
	c.Check(s.view.Config(), quicktest.IsNil)
	release()
	<-merged
	<-changed
	c.Check(s.view.Config(), quicktest.Not(quicktest.IsNil))
	c.Check(s.view.All(), quicktest.HasLen, 1)
}

// Guards against a configuration that is decoded once for each box that sends it.
func TestConfigurationIsDecodedOnce(t *testing.T) {
	c := quicktest.New(t)
	s, d, release := newSlowState()
	merged := make(chan struct{})
	for range 3 {
		go func() {
			s.table.Receive(&wire.Item{Key: "config", Version: 7, Value: []byte("x")})
			merged <- struct{}{}
		}()
	}
	<-d.begun
	release()
	for range 3 {
		<-merged
	}
	c.Check(d.decoded.Load(), quicktest.Equals, int64(1))
	c.Check(s.view.Config(), quicktest.Not(quicktest.IsNil))
}
