// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against a document that ends the process: the parser calls itself for each level, and its stack overflows.
func TestDeeplyNestedDocumentIsInvalid(t *testing.T) {
	c := quicktest.New(t)
	for _, opening := range []string{"[", `{"a":`, "[/**/", `{"shards":[`} {
		raw := []byte(strings.Repeat(opening, MaxDocumentSize/len(opening)))
		_, err := ParseHead(raw)
		c.Check(err, quicktest.ErrorMatches, "catalog: head: byte .* nested more deeply than 100 levels: flatten the document")
		_, err = ParseShard(raw)
		c.Check(err, quicktest.ErrorMatches, ".*nested more deeply than 100 levels.*")
	}
}

func TestNestingIsCountedOutsideOfStringsAndComments(t *testing.T) {
	c := quicktest.New(t)
	many := strings.Repeat("[", 2*maxNesting)
	for text, valid := range map[string]bool{
		strings.Repeat("[", maxNesting) + strings.Repeat("]", maxNesting):     true,
		strings.Repeat("[", maxNesting+1) + strings.Repeat("]", maxNesting+1): false,
		`["` + many + `"]`:                    true,
		`["\"` + many + `"]`:                  true,
		`["\\",` + many:                       false,
		"// " + many + "\n[]":                 true,
		"/* " + many + "*/[]":                 true,
		"/*\"*/" + many:                       false,
		"//\"\n" + many:                       false,
		strings.Repeat("[],", 2*maxNesting):   true,
		strings.Repeat("[{}],", 2*maxNesting): true,
	} {
		c.Check(checkNesting([]byte(text)) == nil, quicktest.Equals, valid, quicktest.Commentf("%.60s", text))
	}
}
