// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package consul

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/cutanswer"
)

// TestCutAnswer guards against an answer of the platform that was cut anywhere and is taken for a whole one, such as an empty list.
func TestCutAnswer(t *testing.T) {
	key := func(item entry.Item, err error) error {
		if err == nil && string(item.Value) != "node-1" {
			err = errors.New("another value")
		}
		return err
	}
	for name, c := range map[string]struct {
		body string
		call func(ctx context.Context, c *Client) error
	}{
		"get":   {`[{"Key":"k","Value":"bm9kZS0x","ModifyIndex":7}]`, func(ctx context.Context, c *Client) error { return key(c.Get(ctx, "k")) }},
		"watch": {`[{"Key":"k","Value":"bm9kZS0x","ModifyIndex":7}]`, func(ctx context.Context, c *Client) error { return key(c.Watch(ctx, "k", 6, time.Second)) }},
		"swap": {`true`, func(ctx context.Context, c *Client) error {
			_, err := c.Swap(ctx, "k", nil, 1)
			return err
		}},
		"hosts": {`[]`, func(ctx context.Context, c *Client) error {
			_, err := c.Hosts(ctx)
			return err
		}},
	} {
		for _, framing := range []cutanswer.Framing{cutanswer.Length, cutanswer.Chunks, cutanswer.Unended} {
			t.Run(name+", "+string(framing), func(t *testing.T) {
				server := cutanswer.NewServer(t)
				server.Check(t, framing.Answer("X-Consul-Index: 7\r\n", c.body), func() error {
					// A client of its own, as the circuit breaker opens after some failures.
					return c.call(t.Context(), New("http://"+server.Address, WithBudget(NewBudget(1e6, 1e6))))
				})
			})
		}
	}
}
