// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPromisesNameTests checks that every test, fuzz test and benchmark named in
// docs/PROMISES.md exists in the module.
func TestPromisesNameTests(t *testing.T) {
	is := is.New(t)
	root := os.DirFS("..")
	page, err := fs.ReadFile(root, "docs/PROMISES.md")
	is.NoErr(err)
	defined := map[string]bool{}
	definition := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	err = fs.WalkDir(root, ".", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != ".":
			return filepath.SkipDir
		case !strings.HasSuffix(path, "_test.go"):
			return nil
		}
		text, err := fs.ReadFile(root, path)
		for _, m := range definition.FindAllSubmatch(text, -1) {
			defined[string(m[1])] = true
		}
		return err
	})
	is.NoErr(err)
	referenced := regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`).FindAllString(string(page), -1)
	is.True(len(referenced) > 100)
	for _, name := range referenced {
		if !defined[name] {
			t.Errorf("docs/PROMISES.md names %s, but no _test.go file defines it", name)
		}
	}
}
