// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// firstKeyIndex maps the methods of a logger to the index of the first argument that is a key.
var firstKeyIndex = map[string]int{"Info": 1, "Error": 2, "WithValues": 0}

// loggedKeys returns the keys of all logging calls in a Go file.
func loggedKeys(c *quicktest.C, path string) []string {
	files := token.NewFileSet()
	f, err := parser.ParseFile(files, path, nil, 0)
	c.Assert(err, quicktest.IsNil)
	var keys []string
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		first, ok := firstKeyIndex[method.Sel.Name]
		if on, _ := method.X.(*ast.Ident); !ok || len(call.Args) <= first || (on != nil && on.Name == "http") {
			return true // http.Error is not a logging call
		}
		rest := call.Args[first:]
		if len(rest)%2 != 0 {
			c.Errorf("%s: key without a value", files.Position(call.Pos()))
			return true
		}
		for i := 0; i < len(rest); i += 2 {
			key, ok := rest[i].(*ast.BasicLit)
			if !ok || key.Kind != token.STRING {
				c.Errorf("%s: key is not a string literal", files.Position(rest[i].Pos()))
				continue
			}
			text, err := strconv.Unquote(key.Value)
			c.Assert(err, quicktest.IsNil)
			keys = append(keys, text)
		}
		return true
	})
	return keys
}

// The operations page must list every key that log lines can have, and no others.
func TestOperationsPageListsAllLogKeys(t *testing.T) {
	c := quicktest.New(t)
	logged := map[string]bool{
		"time": true, "level": true, "msg": true, "err": true, // written by the logger itself
		"lines": true, // written by the message about dropped lines
	}
	c.Assert(filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, k := range loggedKeys(c, path) {
			logged[k] = true
		}
		return nil
	}), quicktest.IsNil)
	_, table, found := strings.Cut(readPage(c, "OPERATIONS.md"), "| keys | are |\n")
	c.Assert(found, quicktest.IsTrue, quicktest.Commentf("OPERATIONS.md has no table of keys"))
	table, _, _ = strings.Cut(table, "\n\n")
	listed := make(map[string]bool)
	for _, row := range strings.Split(table, "\n") {
		names := strings.SplitN(row, "|", 3)[1]
		for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(names, -1) {
			c.Check(listed[m[1]], quicktest.IsFalse, quicktest.Commentf("%s is listed more than once", m[1]))
			listed[m[1]] = true
		}
	}
	c.Assert(slices.Sorted(maps.Keys(listed)), quicktest.DeepEquals, slices.Sorted(maps.Keys(logged)))
}
