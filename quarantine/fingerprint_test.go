// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestFingerprint has two requests be the same only if all that is asked is.
func TestFingerprint(t *testing.T) {
	identity := RequestIdentity{Caller: "counter", Method: "POST", Host: "shop.example", Target: "/llm/x?a=1", Body: []byte("draft a quote")}
	for name, change := range map[string]func(a *RequestIdentity){
		"caller":                  func(a *RequestIdentity) { a.Caller = "other" },
		"method":                  func(a *RequestIdentity) { a.Method = "GET" },
		"host":                    func(a *RequestIdentity) { a.Host = "stock.example" },
		"query":                   func(a *RequestIdentity) { a.Target = "/llm/x?a=2" },
		"body":                    func(a *RequestIdentity) { a.Body = []byte("draft a quite") },
		"length of the body":      func(a *RequestIdentity) { a.Body = nil },
		"bytes moved to the next": func(a *RequestIdentity) { a.Host, a.Target = "shop.example/", "llm/x?a=1" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other := identity
			change(&other)
			is.True(other.Fingerprint() != identity.Fingerprint())
		})
	}
	t.Run("the same", func(t *testing.T) {
		is := is.New(t)
		same := identity
		same.Body = bytes.Clone(identity.Body)
		is.Equal(same.Fingerprint(), identity.Fingerprint())
		is.Equal(same.HeadDigest(), identity.Fingerprint().Head)
		is.Equal(len(identity.Fingerprint().String()), 48)
	})
}

// FuzzParseFingerprint has a fingerprint be read back as it was written, and nothing else
// be taken for one.
func FuzzParseFingerprint(f *testing.F) {
	identity := RequestIdentity{Caller: "counter", Target: "/x"}
	f.Add(identity.Fingerprint().String())
	f.Add("")
	f.Add("zz")
	f.Fuzz(func(t *testing.T, s string) {
		parsed, err := ParseFingerprint(s)
		if err == nil && parsed.String() != strings.ToLower(s) {
			t.Errorf("%q was read as %v", s, parsed)
		}
	})
}

// BenchmarkFingerprint is what telling a request apart costs. The head alone, which is
// all that most requests need while any is known, costs the same for every body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 3 << 10, 4 << 20} {
		identity := RequestIdentity{Caller: "counter", Method: "POST", Host: "shop.example", Target: "/llm/x", Body: make([]byte, size)}
		b.Run(fmt.Sprintf("head/body=%d", size), func(b *testing.B) {
			for b.Loop() {
				identity.HeadDigest()
			}
		})
		b.Run(fmt.Sprintf("whole/body=%d", size), func(b *testing.B) {
			for b.Loop() {
				identity.Fingerprint()
			}
		})
	}
}
