// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

var testLocation = runLocation{Engine: "g1", Run: "r1", Account: "counter", Route: "quote"}

func TestGenerationIDRoundTrip(t *testing.T) {
	is := is.New(t)
	id := newGenerationID([]byte("key"), testLocation)
	at, err := id.decode([]byte("key"))
	is.NoErr(err)
	is.Equal(at, testLocation)
	back, index, err := ParseEventID(id.EventID(17))
	is.NoErr(err)
	is.Equal(back, id)
	is.Equal(index, 17)
}

func TestGenerationIDForged(t *testing.T) {
	key := []byte("key")
	id := string(newGenerationID(key, testLocation))
	text, mac, _ := strings.Cut(strings.TrimPrefix(id, generationIDPrefix), ".")
	other, _, _ := strings.Cut(strings.TrimPrefix(string(newGenerationID(key, runLocation{Account: "another"})), generationIDPrefix), ".")
	for name, forged := range map[string]string{
		"empty":              "",
		"no prefix":          text + "." + mac,
		"no MAC":             generationIDPrefix + text,
		"empty MAC":          generationIDPrefix + text + ".",
		"another's MAC":      generationIDPrefix + other + "." + mac,
		"a changed letter":   generationIDPrefix + "A" + text[1:] + "." + mac,
		"another key's":      string(newGenerationID([]byte("other"), testLocation)),
		"not base64":         generationIDPrefix + "!!." + signGenerationID(key, "!!"),
		"too few fields":     generationIDPrefix + "YQ." + signGenerationID(key, "YQ"),
		"cut in the middle":  id[:len(id)/2],
		"MAC with more text": id + "x",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := GenerationID(forged).decode(key); err == nil {
				t.Fatalf("decode of the forged id %q succeeded, want an error", forged)
			}
		})
	}
}

func FuzzParseEventID(f *testing.F) {
	f.Add(newGenerationID([]byte("key"), testLocation).EventID(3))
	f.Add("gen_:1")
	f.Fuzz(func(t *testing.T, text string) {
		id, index, err := ParseEventID(text)
		if err != nil {
			return
		}
		if index < 0 {
			t.Fatalf("ParseEventID(%q) returned the negative index %d", text, index)
		}
		if at, err := id.decode([]byte("key")); err == nil && newGenerationID([]byte("key"), at) != id {
			t.Fatalf("id %q decodes, but encoding its location again gives another id", id)
		}
	})
}
