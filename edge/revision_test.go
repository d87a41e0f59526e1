// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"

	"github.com/frankban/quicktest"
)

// rev returns a revision of a source that was never restored.
func rev(count uint64) Revision { return revIn(0, count) }

func revIn(epoch, count uint64) Revision {
	r, err := NewRevision(epoch, count)
	if err != nil {
		panic(err)
	}
	return r
}

func TestRevisionOrder(t *testing.T) {
	c := quicktest.New(t)
	order := []Revision{
		0,
		rev(1),
		rev(1<<44 - 1),
		revIn(1, 0),
		revIn(1, 7),
		revIn(1, 7).Kept(),
		revIn(1, 7).Confirmed(),
		revIn(1, 8),
		revIn(2, 0),
		revIn(1<<18-1, 1<<44-1).Confirmed(),
	}
	for i, r := range order[1:] {
		c.Check(r > order[i], quicktest.IsTrue, quicktest.Commentf("%s after %s", r, order[i]))
	}
}

func TestRevisionParts(t *testing.T) {
	c := quicktest.New(t)
	r := revIn(3, 1<<40+5)
	for _, r := range []Revision{r, r.Kept(), r.Confirmed(), r.Kept().Confirmed()} {
		c.Check(r.Epoch(), quicktest.Equals, uint64(3))
		c.Check(r.Number(), quicktest.Equals, uint64(1<<40+5))
	}
	c.Check(r.IsKept() || r.IsConfirmed(), quicktest.IsFalse)
	c.Check(r.Kept().IsKept() && r.Confirmed().IsConfirmed(), quicktest.IsTrue)
}

func TestNewRevisionOutOfRange(t *testing.T) {
	c := quicktest.New(t)
	_, err := NewRevision(1<<18, 1)
	c.Check(err, quicktest.ErrorMatches, "source: epoch 262144 is above 262143")
	_, err = NewRevision(1, 1<<44)
	c.Check(err, quicktest.ErrorMatches, "source: revision 17592186044416 is above 17592186044415")
}

func TestRevisionString(t *testing.T) {
	c := quicktest.New(t)
	c.Check(rev(9).String(), quicktest.Equals, "9")
	c.Check(revIn(2, 9).String(), quicktest.Equals, "2/9")
	c.Check(revIn(2, 9).Kept().String(), quicktest.Equals, "2/9 kept")
	c.Check(revIn(2, 9).Confirmed().String(), quicktest.Equals, "2/9 confirmed")
}
