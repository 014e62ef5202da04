// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestSendsOnlyFromSendFile guards against a request that bypasses the eligibility check: only
// send.go may call the transport.
func TestSendsOnlyFromSendFile(t *testing.T) {
	sendCall := regexp.MustCompile(`transport\.(Send|Move|Health|Discard|Report)\(`)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		n := len(sendCall.FindAll(text, -1))
		if n > 0 && name != "send.go" {
			t.Errorf("%s calls the transport %d times; only send.go may", name, n)
		}
		calls += n
	}
	if calls == 0 {
		t.Errorf("no call of the transport found in %d files; does the pattern %q still match send.go?", len(files), sendCall)
	}
}
