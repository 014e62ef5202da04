// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package supervise

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLoop checks that a task that panics is reported and run again after a pause, until it returns or
// its context ends.
func TestLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var reported []string
		report := Report(func(task string, reason any, stack []byte) {
			is.True(strings.Contains(string(stack), "TestLoop"))
			reported = append(reported, task+": "+reason.(string))
		})
		runs, began := 0, time.Now()
		report.Loop(t.Context(), "a task", func(context.Context) {
			if runs++; runs < 3 {
				panic("a mistake")
			}
		})
		is.Equal(runs, 3)
		is.Equal(reported, []string{"a task: a mistake", "a task: a mistake"})
		is.Equal(time.Since(began), 2*RestartDelay)

		ctx, cancel := context.WithTimeout(t.Context(), RestartDelay/2)
		defer cancel()
		Report(nil).Loop(ctx, "a task", func(context.Context) { panic("a mistake") })
		is.Equal(time.Since(began), 2*RestartDelay+RestartDelay/2)
	})
}
