// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestWholePath checks that:
//   - every entry serves generations and service calls
//   - a configuration change through one entry takes effect on all
//   - the other entries still serve generations after one is killed
func TestWholePath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3, 2)
	for _, e := range s.entries {
		got := generate(e, 40)
		is.Equal(got.status, http.StatusOK)
		is.True(got.done) // the stream ends with [DONE]
		requireConsecutiveTokens(t, got.texts, 1, 40)
		status, _, err := callService(e, "stock", "lines", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	file := filepath.Join(t.TempDir(), "route.yaml")
	is.NoErr(os.WriteFile(file, []byte("kind: routes\nname: counter\nspec: {model: quote-7b}\n"), 0o600))
	out, err := s.runOperatorCommand(s.entries[1], "apply", "-f", file, "--wait", "30s")
	is.NoErr(err)
	is.True(strings.Contains(out, "in force in every zone"))
	for _, e := range s.entries {
		out, err := s.runOperatorCommand(e, "get", "route", "counter", "-o", "json")
		is.NoErr(err)
		is.True(strings.Contains(out, `"model": "quote-7b"`))
	}
	s.entries[0].kill()
	for _, e := range s.entries[1:] {
		s.waitFor("generation after an entry was killed", func() error {
			got := generate(e, 40)
			if !got.done {
				return errors.New("stream did not end with [DONE]")
			}
			requireConsecutiveTokens(t, got.texts, 1, 40)
			return nil
		})
	}
}
