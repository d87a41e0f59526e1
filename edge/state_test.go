// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"testing"

	"cairnwick.example/placement"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// drainingDecoder decodes from an endpoint's value whether it is draining.
type drainingDecoder struct{ plainDecoder }

// Endpoint implements Decoder.
func (drainingDecoder) Endpoint(key string, value []byte) (*topology.Endpoint, error) {
	return topology.NewEndpoint(topology.EndpointSpec{ID: key, Service: "s", Draining: string(value) == "leaves"}), nil
}

// Once a box knows that an endpoint is draining, this stays so during and after an outage of the
// source, even if other boxes send older facts.
func TestEndpointStaysDrainingDuringOutage(t *testing.T) {
	c := quicktest.New(t)
	fact := func(revision uint64, value string) Fact {
		return Fact{Key: "e/1", Revision: rev(revision), Value: []byte(value)}
	}
	s := &script{
		list: []Batch{{Facts: []Fact{fact(3, "serves")}, Revision: rev(3)}},
		watch: []func() (Batch, error){
			func() (Batch, error) { return Batch{Facts: []Fact{fact(7, "leaves")}, Revision: rev(7)}, nil },
			func() (Batch, error) { return Batch{}, errors.New("no answer") },
			func() (Batch, error) { return Batch{Facts: []Fact{fact(5, "serves")}, Revision: rev(5)}, nil },
			func() (Batch, error) {
				return Batch{Facts: []Fact{{Key: "e/1", Revision: rev(20), Removed: true}}, Revision: rev(20)}, nil
			},
		},
	}
	r, table := newReader(s)
	r.decoder = drainingDecoder{}
	v := topology.NewView()
	st := &state{view: v, table: table, decoder: drainingDecoder{}, fences: &placement.Fences{Process: 1}, log: logr.Discard()}
	table.OnChange = st.apply
	step(r)
	c.Assert(v.Endpoint("e/1").Draining(), quicktest.IsFalse)
	step(r)
	c.Assert(v.Endpoint("e/1").Draining(), quicktest.IsTrue)
	for range 3 { // a failure, an older fact, and a removal as by an expired entry
		_, err := r.step(context.Background())
		r.noteResult(err)
		if e := v.Endpoint("e/1"); e != nil {
			c.Assert(e.Draining(), quicktest.IsTrue)
		}
	}
}
