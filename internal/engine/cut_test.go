// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"errors"
	"testing"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/cutanswer"
	"github.com/shedpath/shedpath/member"
)

// TestCutAnswer guards against an answer of an engine that was cut anywhere and is taken for a whole one.
func TestCutAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		call func(ctx context.Context, c *Client, u member.Upstream) error
	}{
		"load": {`{"memory_tokens":9,"running":1}`, func(ctx context.Context, c *Client, u member.Upstream) error {
			_, err := c.Load(ctx, u)
			return err
		}},
		"cache events": {`[]`, func(ctx context.Context, c *Client, u member.Upstream) error {
			_, err := c.CacheEvents(ctx, u, 0)
			return err
		}},
		"stream": {"id: r1/1\ndata: x\n\nevent: end\nid: r1/2\ndata: {\"state\":\"done\"}\n\n", func(ctx context.Context, c *Client, u member.Upstream) error {
			stream, err := c.Start(ctx, u, newRunRequest("r1"))
			if err != nil {
				return err
			}
			defer stream.Close()
			_, end, err := collectEvents(stream)
			if err == nil && (end == nil || !end.Complete) {
				err = errors.New("the stream has no end")
			}
			return err
		}},
		"order": {"", func(ctx context.Context, c *Client, u member.Upstream) error {
			return c.Order(ctx, u, entry.Order{Token: 5, Model: "m", Version: "2"})
		}},
	} {
		for _, framing := range []cutanswer.Framing{cutanswer.Length, cutanswer.Chunks, cutanswer.Unended} {
			t.Run(name+", "+string(framing), func(t *testing.T) {
				server := cutanswer.NewServer(t)
				client := New()
				server.Check(t, framing.Answer("X-Request-Id: 1\r\n", c.body), func() error {
					return c.call(t.Context(), client, member.Upstream{ID: "e1", Address: server.Address})
				})
			})
		}
	}
}
