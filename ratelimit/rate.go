// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"fmt"
	"math"
	"strconv"
)

// Rate is in requests a second, from all hosts together.
type Rate float64

// MaxRate is the highest limit that is kept to. No upstream takes as many, and what a
// higher one allows needn't be counted.
const MaxRate Rate = 100_000

// ParseRate reads a limit as an upstream writes it: a decimal number that isn't negative.
func ParseRate(text string) (Rate, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(n) || n < 0 {
		return 0, fmt.Errorf("%q isn't a rate", text)
	}
	return min(Rate(n), MaxRate), nil
}

// Clamp is a rate that another told, or the nearest one that there can be.
func (r Rate) Clamp() Rate {
	if r >= 0 {
		return min(r, MaxRate)
	}
	return 0
}
