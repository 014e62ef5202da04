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

// wallClockUse finds what gives a moment without the steady clock's reading: numbers of
// seconds since 1970, moments read from text, and moments stripped of it.
var wallClockUse = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(|time\.(Unix(Micro|Milli)?|Parse|Date)\(|\.Round\(0\)|\.(Un)?[Mm]arshalBinary\(`)

// wallClockAllowedFiles are the files that may: the moments of log lines are read back, and
// the policy benchmark's virtual time begins at a date.
var wallClockAllowedFiles = []string{"internal/explain/line.go", "internal/bench/run.go"}

// monotonicClockUse finds what takes the present time from the steady clock, which stands still
// while the machine is suspended.
var monotonicClockUse = regexp.MustCompile(`time\.(Now|Since|Until)\(|context\.WithDeadline`)

// suspensionAwarePackages are the packages that decide by the time that really passes.
var suspensionAwarePackages = []string{
	"forward", "entry", "order", "claim", "member", "policy", "quarantine", "platform", "internal/peer", "internal/web",
	"rollout", "roster", "cell", "spool",
}

// monotonicClockAllowedFiles are the files of these that may: bounds of single sockets and calls
// between hosts, of some seconds at most, which end late by a suspension and on which
// nothing else rests.
var monotonicClockAllowedFiles = []string{
	"platform/ingress.go", "platform/server.go", "internal/peer/conn.go", "internal/peer/handshake.go", "internal/peer/places.go",
	"forward/stopping.go",
}

// TestNoMonotonicClock has no proof, lease, window or deadline stand still while the
// machine is suspended.
func TestNoMonotonicClock(t *testing.T) {
	for _, dir := range suspensionAwarePackages {
		files, err := filepath.Glob(filepath.Join("../..", dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range files {
			relPath, err := filepath.Rel("../..", path)
			if err != nil {
				t.Fatal(err)
			}
			if strings.HasSuffix(path, "_test.go") || slices.Contains(monotonicClockAllowedFiles, filepath.ToSlash(relPath)) {
				continue
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if found := monotonicClockUse.Find(text); found != nil {
				t.Errorf("%s uses a clock that stands still while the machine is suspended: %q", relPath, found)
			}
		}
	}
}

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
		if relPath, err := filepath.Rel(root, path); err != nil || slices.Contains(wallClockAllowedFiles, filepath.ToSlash(relPath)) {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := wallClockUse.Find(text); found != nil {
			t.Errorf("%s uses the time of day: %q", path, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
