// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System returns the machine's Clock. If the machine doesn't provide the time since boot, the
// Clock detects no suspensions.
func System() *Clock {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return &Clock{}
	}
	return New(sinceBoot)
}

// sinceBoot returns the time since boot, suspensions included. It ignores errors because System
// has checked that the call succeeds.
func sinceBoot() time.Duration {
	var at unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &at)
	return time.Duration(at.Nano())
}
