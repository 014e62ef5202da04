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

// TestWholePath serves both kinds of call through every entry, changes the
// configuration through one entry and sees it in force on all, kills an entry
// and goes on.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3, 2)
	for _, e := range s.entries {
		got := generate(e, 40)
		is.Equal(got.status, http.StatusOK)
		is.True(got.done) // the stream has its end mark
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
		s.waitFor("serving after the kill", func() error {
			got := generate(e, 40)
			if !got.done {
				return errors.New("not served")
			}
			requireConsecutiveTokens(t, got.texts, 1, 40)
			return nil
		})
	}
}
