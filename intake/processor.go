// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"time"

	"golang.org/x/sys/unix"
)

// ProcessorTime returns the processor time that this process has used so far; zero if it isn't known.
func ProcessorTime() time.Duration {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
