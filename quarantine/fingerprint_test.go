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

// TestFingerprint checks that two requests have the same fingerprint only if all their properties
// are the same.
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

// FuzzParseFingerprint checks that a fingerprint is parsed as it was written, and that no other
// text is accepted.
func FuzzParseFingerprint(f *testing.F) {
	identity := RequestIdentity{Caller: "counter", Target: "/x"}
	f.Add(identity.Fingerprint().String())
	f.Add("")
	f.Add("zz")
	f.Fuzz(func(t *testing.T, s string) {
		parsed, err := ParseFingerprint(s)
		if err == nil && parsed.String() != strings.ToLower(s) {
			t.Errorf("ParseFingerprint(%q) = %v, expected the same digits", s, parsed)
		}
	})
}

// BenchmarkFingerprint measures computing a fingerprint. Most requests need only the head digest,
// and only while any request is on the list; it costs the same for every body.
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
