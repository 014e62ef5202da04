// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shedpath/shedpath/internal/golden"
)

// TestGoldenRecord pins what a claim's key is and holds.
func TestGoldenRecord(t *testing.T) {
	b := golden.Open(t, "claim")
	b.Text("key", Key("account-1", "route-1", "key-1"))
	b.Text("hash of the call", RequestHash("POST", "/path", []byte("body")))
	record := golden.Cases[Record](golden.NewFiller(time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)), nil)[0]
	for _, name := range []string{"answered", "not answered"} {
		text, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		var back Record
		if err := json.Unmarshal([]byte(b.Text(name, string(text))), &back); err != nil {
			t.Error(err)
		}
		golden.Equal(t, name, back, record)
		record.Status = 0
	}
}
