// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"bytes"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var table = Table{
	{Name: "box", Kind: Text, Required: true, Help: "name of the box"},
	{Name: "listen", Kind: Address, Default: "127.0.0.1:1"},
	{Name: "platform", Kind: URL, Default: "http://127.0.0.1:1"},
	{Name: "patience", Kind: Duration, Default: time.Second, Min: time.Millisecond},
	{Name: "queue", Kind: Count, Default: 8, Min: 1},
	{Name: "share", Kind: Number, Default: 0.5},
	{Name: "loud", Kind: Bool, Default: false},
}

func TestReadUsesDefaults(t *testing.T) {
	c := quicktest.New(t)
	v, err := Read("f", []byte(`{"box": "a", /* why */ "queue": 3,}`), table, nil)
	c.Assert(err, quicktest.IsNil)
	c.Assert(v.Text("box"), quicktest.Equals, "a")
	c.Assert(v.Count("queue"), quicktest.Equals, 3)
	c.Assert(v.Duration("patience"), quicktest.Equals, time.Second)
}

func TestReadReportsAllProblems(t *testing.T) {
	c := quicktest.New(t)
	_, err := Read("f", []byte(`{"listen":"x","platform":"ftp://a","patience":"0s","queue":-1,"share":"a","loud":1,"more":2}`), table, nil)
	e, ok := err.(*Error)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(e.Problems, quicktest.HasLen, 8)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*box: missing: give a value.*patience: "0s": write 1ms or more.*`)
}

func TestReadRejectsMalformedText(t *testing.T) {
	_, err := Read("f", []byte(`{`), table, nil)
	quicktest.Assert(t, err, quicktest.ErrorMatches, "settings: f is not JSON with comments.*")
}

func TestOverridesTakePrecedenceOverFile(t *testing.T) {
	c := quicktest.New(t)
	v, err := Read("f", []byte(`{"box":"a"}`), table, map[string]string{"box": "b", "queue": "5"})
	c.Assert(err, quicktest.IsNil)
	c.Assert(v.Text("box"), quicktest.Equals, "b")
	c.Assert(v.Count("queue"), quicktest.Equals, 5)
}

func TestReadAcceptsPrintedSettings(t *testing.T) {
	c := quicktest.New(t)
	v, err := Read("f", []byte(`{"box":"a"}`), table, nil)
	c.Assert(err, quicktest.IsNil)
	var b bytes.Buffer
	c.Assert(Print(&b, table, v), quicktest.IsNil)
	reread, err := Read("printed", b.Bytes(), table, nil)
	c.Assert(err, quicktest.IsNil)
	c.Assert(reread.values, quicktest.DeepEquals, v.values)
}
