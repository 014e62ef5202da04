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

// TestSendsOnlyFromSendFile has nothing be sent to an upstream but from the file that judges it.
func TestSendsOnlyFromSendFile(t *testing.T) {
	sends := regexp.MustCompile(`transport\.(Send|Move|Health|Discard)\(`)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		n := len(sends.FindAll(text, -1))
		if n > 0 && name != "send.go" {
			t.Errorf("%s sends by itself", name)
		}
		found += n
	}
	if found == 0 {
		t.Error("no send was found")
	}
}
