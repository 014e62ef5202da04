// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// wallClock finds what gives a moment without the steady clock's reading: numbers of
// seconds since 1970, moments read from text, and moments stripped of it.
var wallClock = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(|time\.(Unix(Micro|Milli)?|Parse|Date)\(|\.Round\(0\)|\.(Un)?[Mm]arshalBinary\(`)

// usesTimeOfDay are the files that may: the moments of log lines are read back, and
// the policy benchmark's virtual time begins at a date.
var usesTimeOfDay = []string{"internal/explain/line.go", "internal/bench/run.go"}

// TestNoWallClock has no code measure a duration by the time of day, which jumps on
// some hosts.
func TestNoWallClock(t *testing.T) {
	const root = "../.."
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := d.Name()
		if d.IsDir() && path != root && (strings.HasPrefix(name, ".") || name == "target" || name == "journal") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		if place, err := filepath.Rel(root, path); err != nil || slices.Contains(usesTimeOfDay, filepath.ToSlash(place)) {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := wallClock.Find(text); found != nil {
			t.Errorf("%s uses the time of day: %q", path, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
