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

// wallClockUse matches code that makes a time without a monotonic clock reading: Unix
// timestamps, times parsed from text or bytes, and times stripped of the reading.
var wallClockUse = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(|time\.(Unix(Micro|Milli)?|Parse|Date)\(|\.Round\(0\)|\.(Un)?[Mm]arshalBinary\(`)

// wallClockAllowedFiles may use the wall clock: explain parses the timestamps of log lines,
// and the virtual time of the policy benchmark begins at a date.
var wallClockAllowedFiles = []string{"internal/explain/line.go", "internal/bench/simulation.go"}

// monotonicClockUse matches code that takes the current time from the monotonic clock, which
// stands still while the machine is suspended.
var monotonicClockUse = regexp.MustCompile(`time\.(Now|Since|Until)\(|context\.WithDeadline`)

// suspensionAwarePackages decide by elapsed time that includes suspensions.
var suspensionAwarePackages = []string{
	"forward", "uplink", "rejection", "entry", "order", "claim", "member", "policy", "quarantine", "platform", "internal/peer", "internal/web",
	"rollout", "roster", "cell", "spool",
}

// monotonicClockAllowedFiles are files of these packages that may use the monotonic clock, for
// timeouts of a few seconds at most on single sockets and calls between hosts. A suspension
// makes such a timeout end late, and nothing else depends on it.
var monotonicClockAllowedFiles = []string{
	"platform/ingress.go", "platform/server.go", "internal/peer/conn.go", "internal/peer/handshake.go", "internal/peer/places.go",
	"forward/stopping.go",
}

// TestNoMonotonicClock guards against proofs, leases, windows and deadlines that stand still
// while the machine is suspended.
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
				t.Errorf("%s uses the monotonic clock, which stands still while the machine is suspended: %q", relPath, found)
			}
		}
	}
}

// TestNoWallClock guards against durations that are measured with the time of day, which
// jumps on some hosts.
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
