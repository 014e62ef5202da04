// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"testing"

	"github.com/matryer/is"
)

func TestParseRate(t *testing.T) {
	for text, want := range map[string]Rate{"2.8": 2.8, "0.2": 0.2, "0": 0, "4": 4, "1e9": MaxRate, "Inf": MaxRate} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got, err := ParseRate(text)
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
	for _, text := range []string{"", "-1", "NaN", "-Inf", "many", "2.8, 2.8", "2,8", "0x"} {
		t.Run("not "+text, func(t *testing.T) {
			_, err := ParseRate(text)
			is.New(t).True(err != nil)
		})
	}
}
