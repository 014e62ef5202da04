// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"fmt"
	"math"
	"strconv"
)

// Rate is a number of requests per second from all hosts together.
type Rate float64

// MaxRate is the highest limit that is enforced. No upstream takes that many requests, so
// higher limits needn't be counted.
const MaxRate Rate = 100_000

// ParseRate parses a limit as an upstream writes it: a non-negative decimal number. Limits
// above MaxRate become MaxRate.
func ParseRate(text string) (Rate, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(n) || n < 0 {
		return 0, fmt.Errorf("rate %q is not a non-negative number", text)
	}
	return min(Rate(n), MaxRate), nil
}

// Clamp returns the valid rate nearest to a rate received from a peer: within 0 and MaxRate,
// and 0 for NaN.
func (r Rate) Clamp() Rate {
	if r >= 0 {
		return min(r, MaxRate)
	}
	return 0
}
