// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package backoff

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	for text, c := range map[string]struct {
		want time.Duration
		bad  bool
	}{
		"3":                             {3 * time.Second, false},
		"0.25":                          {250 * time.Millisecond, false},
		"0":                             {0, false},
		"3600":                          {time.Hour, false},
		"1e12":                          {MaxDuration, false},
		"Inf":                           {MaxDuration, false},
		"-1":                            {0, true},
		"NaN":                           {0, true},
		"":                              {0, true},
		"soon":                          {0, true},
		"3 s":                           {0, true},
		"Thu, 03 Dec 2026 07:00:00 GMT": {0, true},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(text)
			is.Equal(err != nil, c.bad)
			is.Equal(got, c.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"3", "0.25", "-1", "1e309", "Inf", "0x1p4"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if d, err := Parse(text); err != nil && d != 0 || d < 0 || d > MaxDuration {
			t.Errorf("%q: %v, %v", text, d, err)
		}
	})
}
