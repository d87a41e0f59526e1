// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestLargestResponseIsGivenUp(t *testing.T) {
	c := quicktest.New(t)
	b := &Budget{Limit: 100}
	var given atomic.Int64
	large, small, last := b.Begin(func() { given.Add(1) }), b.Begin(func() { c.Error("the small one was given up") }), b.Begin(func() {})
	c.Assert(small.Add(10), quicktest.IsTrue)
	c.Assert(large.Add(80), quicktest.IsTrue)
	c.Assert(last.Add(20), quicktest.IsTrue)
	c.Check(given.Load(), quicktest.Equals, int64(1))
	c.Check(large.Add(1), quicktest.IsFalse)
	c.Check(given.Load(), quicktest.Equals, int64(1))
	c.Check(b.total, quicktest.Equals, int64(30))
	c.Check(last.Add(80), quicktest.IsFalse) // it is the largest itself
	for _, u := range []*Use{large, small, last} {
		u.End()
	}
	c.Check(b.total, quicktest.Equals, int64(0))
	c.Check(b.uses, quicktest.HasLen, 0)
}

func TestBudgetCountsWhatIsRead(t *testing.T) {
	c := quicktest.New(t)
	b := &Budget{Limit: 1 << 20}
	u := b.Begin(func() {})
	for _, size := range []int{0, 1, firstBuffer, 5 * firstBuffer} {
		text := strings.Repeat("x", size)
		body, err := u.ReadAll(strings.NewReader(text), 1<<20)
		c.Assert(err, quicktest.IsNil)
		c.Check(string(body) == text, quicktest.IsTrue)
		c.Check(b.total >= int64(cap(body)), quicktest.IsTrue)
	}
	_, err := u.ReadAll(bytes.NewReader(make([]byte, 101)), 100)
	c.Check(err, quicktest.ErrorMatches, ".*longer than 100 bytes")
	_, err = u.ReadAll(zeros{}, 1<<30)
	c.Check(errors.Is(err, ErrGivenUp), quicktest.IsTrue)
	u.End()
	c.Check(b.total, quicktest.Equals, int64(0))
}

// zeros is a body without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(b []byte) (int, error) { return len(b), nil }

var _ io.Reader = zeros{}
