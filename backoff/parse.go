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

// MaxDuration is the longest backoff that is honored. An upstream that asks for more gets
// requests again after MaxDuration.
const MaxDuration = time.Hour

// Parse parses the value of a Retry-After header as a number of seconds, which may have a
// fraction. Values above MaxDuration are reduced to it. Dates are rejected: the clocks of two
// machines may differ by more than the requested backoff.
func Parse(text string) (time.Duration, error) {
	if _, err := http.ParseTime(text); err == nil {
		return 0, fmt.Errorf("%q is a date, expected a number of seconds", text)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(seconds) || seconds < 0 {
		return 0, fmt.Errorf("%q is not a duration, expected a number of seconds that is not negative", text)
	}
	return time.Duration(min(seconds, MaxDuration.Seconds()) * float64(time.Second)), nil
}
