// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package backoff

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// MaxDuration is the longest time that is kept to; an upstream that wants more is asked again
// after it.
const MaxDuration = time.Hour

// Parse reads the value of a Retry-After header in seconds, which may have a fraction. A
// date is refused: the times of day of two machines may differ by more than the time asked
// for.
func Parse(text string) (time.Duration, error) {
	if _, err := http.ParseTime(text); err == nil {
		return 0, fmt.Errorf("%q is a date", text)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(seconds) || seconds < 0 {
		return 0, fmt.Errorf("%q isn't a duration", text)
	}
	return time.Duration(min(seconds, MaxDuration.Seconds()) * float64(time.Second)), nil
}
