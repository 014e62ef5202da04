// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package service

import (
	"testing"

	"github.com/shedpath/shedpath/internal/cutanswer"
	"github.com/shedpath/shedpath/member"
)

// TestCutAnswer guards against an answer of a service that was cut anywhere and is passed on as a whole one.
func TestCutAnswer(t *testing.T) {
	for _, framing := range []cutanswer.Framing{cutanswer.Length, cutanswer.Chunks} {
		t.Run(string(framing), func(t *testing.T) {
			server := cutanswer.NewServer(t)
			client := New()
			server.Check(t, framing.Answer("X-Request-Id: id-1\r\n", "the answer"), func() error {
				_, err := client.Call(t.Context(), member.Upstream{Address: server.Address}, newRequest("POST"))
				return err
			})
		})
	}
}
