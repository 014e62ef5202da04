// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longGenerationTokens makes a generation long enough to inject a failure while
// it streams.
const longGenerationTokens = 120

// generateLong starts a long generation, calls action once after ten tokens, and
// reads the stream to its end.
func generateLong(t *testing.T, e *process, action func()) generationResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	response, err := openGeneration(ctx, e, completionBody(longGenerationTokens), nil)
	if err != nil {
		t.Fatal(err)
	}
	return readGeneration(response, func(n int) {
		if n == 10 {
			action()
		}
	})
}

// TestEntryKilledMidStream checks that a caller whose entry is killed resumes
// the same run at another entry. Only the caller's own account can resume it: a
// forged event ID and another API key are refused.
func TestEntryKilledMidStream(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3, 1)
	first := generateLong(t, s.entries[1], s.entries[1].kill)
	is.True(!first.done)
	is.True(len(first.texts) >= 10)
	forged := strings.Replace(first.lastEventID, "gen_", "gen_A", 1)
	is.Equal(resume(s.entries[0], forged, callerKey).status, http.StatusBadRequest)
	is.Equal(resume(s.entries[0], first.lastEventID, "another").status, http.StatusUnauthorized)
	second := resume(s.entries[0], first.lastEventID, callerKey)
	is.Equal(second.failure, nil)
	is.True(second.done)
	requireConsecutiveTokens(t, append(first.texts, second.texts...), 1, longGenerationTokens)
}

// TestEngineKilledMidStream checks that the stream ends with an error event when
// its engine is killed, and that the generation does not run again.
func TestEngineKilledMidStream(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 1)
	got := generateLong(t, s.entries[0], s.engines[0].kill)
	is.NoErr(got.err)
	is.True(!got.done)
	is.True(got.failure != nil) // the stream ends with an error event
	is.Equal(got.failure.Run, "partial")
	requireConsecutiveTokens(t, got.texts, 1, len(got.texts))
}

// TestEngineFrozenMidStream checks that the stream continues with the same run
// when a stopped engine process continues after three seconds.
func TestEngineFrozenMidStream(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 1, "--linger", "1m")
	got := generateLong(t, s.entries[0], func() {
		s.engines[0].signal(syscall.SIGSTOP)
		time.AfterFunc(3*time.Second, func() { s.engines[0].signal(syscall.SIGCONT) })
	})
	is.Equal(got.failure, nil)
	is.True(got.done)
	requireConsecutiveTokens(t, got.texts, 1, longGenerationTokens)
}

// TestSpoiltStreams checks that callers get every token in order although the
// engine duplicates, skips or swaps events, inserts foreign ones, stalls, closes
// the stream or ends it with a wrong token count. The case "long end" must end
// with an error.
func TestSpoiltStreams(t *testing.T) {
	s := newSite(t, 1, 1)
	for name, faults := range map[string]string{
		"duplicate": `{"duplicate_every":3}`,
		"skip":      `{"skip_every":5}`,
		"swap":      `{"swap_every":4}`,
		"foreign":   `{"foreign_every":7}`,
		"stall":     `{"stall_after":9}`,
		"close":     `{"close_after":9}`,
		"many":      `{"duplicate_every":3,"swap_every":4}`,
		"short end": `{"end_off_by":3}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s.setFaults(s.engines[0], faults)
			got := generate(s.entries[0], 40)
			is.Equal(got.failure, nil)
			is.True(got.done)
			requireConsecutiveTokens(t, got.texts, 1, 40)
		})
	}
	t.Run("long end", func(t *testing.T) {
		is := is.New(t)
		s.setFaults(s.engines[0], `{"end_off_by":-3}`)
		got := generate(s.entries[0], 40)
		is.True(got.failure != nil)
		is.Equal(got.failure.Run, "partial")
	})
}

// TestPlannedStop checks that a running stream completes after SIGTERM, that the
// entry then exits successfully, and that another entry serves new calls.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	// Entries 1 and 4 share az1 with the engine.
	s := newSite(t, 4, 1)
	got := generateLong(t, s.entries[0], func() { s.entries[0].signal(syscall.SIGTERM) })
	is.Equal(got.failure, nil)
	is.True(got.done)
	requireConsecutiveTokens(t, got.texts, 1, longGenerationTokens)
	<-s.entries[0].exited
	is.True(s.entries[0].cmd.ProcessState.Success())
	other := generate(s.entries[3], 20)
	is.Equal(other.failure, nil)
	is.True(other.done)
}

// TestZoneWithoutEntries checks that an entry of another zone uses the engine of
// a zone that has lost all its entries.
func TestZoneWithoutEntries(t *testing.T) {
	s := newSite(t, 2, 1)
	s.entries[0].kill()
	s.waitFor("generation by the entry of the other zone", func() error {
		got := generate(s.entries[1], 20)
		if !got.done {
			return fmt.Errorf("generation incomplete: failure %v, error %v", got.failure, got.err)
		}
		requireConsecutiveTokens(t, got.texts, 1, 20)
		return nil
	})
}

// TestCoordinatorLost kills or freezes the entry that coordinates a pool in its
// zone and checks that the other entry of the zone still places calls.
func TestCoordinatorLost(t *testing.T) {
	for name, disrupt := range map[string]func(p *process){
		"killed": func(p *process) { p.kill() },
		"frozen": func(p *process) { p.signal(syscall.SIGSTOP) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// Entries 1 and 4 share az1 with engine 1.
			s := newSite(t, 4, 1)
			pair := []*process{s.entries[0], s.entries[3]}
			s.waitFor("both entries to report a coordinator", func() error {
				for _, e := range pair {
					if out, err := s.runOperatorCommand(e, "status"); err != nil || strings.Count(out, "az1") == 0 || !strings.Contains(out, "desk  ") {
						return fmt.Errorf("status shows no coordinator of pool desk in az1: output %q, error %v", out, err)
					}
				}
				return nil
			})
			out, err := s.runOperatorCommand(pair[0], "status")
			is.NoErr(err)
			coordinator, other := pair[0], pair[1]
			if strings.Contains(out, "desk  e4") {
				coordinator, other = other, coordinator
			}
			disrupt(coordinator)
			for range 5 {
				got := generate(other, 20)
				is.Equal(got.failure, nil)
				is.True(got.done)
				requireConsecutiveTokens(t, got.texts, 1, 20)
			}
		})
	}
}
