// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package clock_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/clock/clocktest"
)

// TestNow has two moments differ by the time that really passed between them.
func TestNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := clocktest.NewMachine(t)
		c := m.Clock()
		first := c.Now()
		time.Sleep(time.Second)
		is.Equal(c.Since(first), time.Second)
		m.Suspend(30 * time.Second)
		is.Equal(c.Since(first), 31*time.Second)
		time.Sleep(time.Second)
		m.Suspend(5 * time.Second)
		is.Equal(c.Since(first), 37*time.Second)
		is.Equal(c.TotalSuspended(), 35*time.Second)
	})
}

// TestNowWithoutSuspensions has clocks that know of none tell the usual time.
func TestNowWithoutSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var none *clock.Clock
		for _, c := range []*clock.Clock{none, {}} {
			is.Equal(c.Now(), time.Now())
			is.Equal(c.TotalSuspended(), time.Duration(0))
			is.Equal(c.MaxMessageDelay(c.Now()), time.Duration(0))
			ctx, cancel := c.WithTimeoutCause(t.Context(), time.Second, errors.New("over"))
			time.Sleep(time.Second)
			synctest.Wait()
			is.Equal(context.Cause(ctx).Error(), "over")
			cancel()
		}
	})
}

// TestMaxMessageDelay has what is handled just after the machine went on count as older by that.
func TestMaxMessageDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := clocktest.NewMachine(t)
		c := m.Clock()
		m.Suspend(5 * time.Second)
		is.Equal(c.MaxMessageDelay(c.Now()), 5*time.Second)
		time.Sleep(clock.BacklogWindow / 2)
		is.Equal(c.MaxMessageDelay(c.Now()), 5*time.Second)
		time.Sleep(clock.BacklogWindow)
		is.Equal(c.MaxMessageDelay(c.Now()), time.Duration(0))
	})
}

// TestTimeout has a context end when its time is over, however much of it the machine was
// suspended.
func TestTimeout(t *testing.T) {
	errOver := errors.New("over")
	for name, c := range map[string]struct {
		slept time.Duration
		// ends is after how long by the steady clock the context ends.
		ends time.Duration
	}{
		"not suspended":    {0, 10 * time.Second},
		"1 s":              {time.Second, 9 * time.Second},
		"5 s":              {5 * time.Second, 5 * time.Second},
		"more than all":    {30 * time.Second, 2 * time.Second},
		"less than notice": {time.Millisecond / 2, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := clocktest.NewMachine(t)
				steady := m.Clock()
				running, stop := context.WithCancel(t.Context())
				go steady.Run(running)
				ctx, cancel := steady.WithTimeoutCause(t.Context(), 10*time.Second, errOver)
				defer cancel()
				began := time.Now()
				time.Sleep(2 * time.Second)
				m.Suspend(c.slept)
				<-ctx.Done()
				is.Equal(context.Cause(ctx), errOver)
				late := time.Since(began) - c.ends
				is.True(0 <= late && late <= clock.SuspensionCheckInterval)
				stop()
			})
		})
	}
}

// TestTimeoutEndsOnce has a context that was ended before leave nothing behind.
func TestTimeoutEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := clocktest.NewMachine(t)
		c := m.Clock()
		ctx, cancel := c.WithTimeoutCause(t.Context(), time.Second, errors.New("over"))
		cancel()
		is.Equal(ctx.Err(), context.Canceled)
		m.Suspend(time.Minute)
		c.Now()
		synctest.Wait()
		is.Equal(context.Cause(ctx), context.Canceled)
	})
}

// BenchmarkNow is what asking for the time costs.
func BenchmarkNow(b *testing.B) {
	for name, c := range map[string]*clock.Clock{"none": nil, "system": clock.System()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c.Now()
			}
		})
	}
}
