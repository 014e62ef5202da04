// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestCallersOfCutOffEntryAreServed guards against calls that fail at an entry which lost its links to
// all upstreams.
func TestCallersOfCutOffEntryAreServed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var cut atomic.Bool
	var out strings.Builder
	d := &demo{out: &out, zones: []string{"az1", "az2"}}
	d.dialUpstream = func(n int) func(ctx context.Context, network, address string) (net.Conn, error) {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			if n == 1 && cut.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			var dialer net.Dialer
			return dialer.DialContext(ctx, network, address)
		}
	}
	defer d.goroutines.Wait()
	defer cancel()
	is.NoErr(d.start(ctx, ctx))
	is.NoErr(d.applyAndCall(ctx))
	cut.Store(true)
	caller := "http://" + d.daemons[0].Addresses().Caller
	send := func(method, path, body string) string {
		r, err := http.NewRequestWithContext(ctx, method, caller+path, strings.NewReader(body))
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+demoAccountKey)
		answer, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer answer.Body.Close()
		is.Equal(answer.StatusCode, http.StatusOK)
		text, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		return string(text)
	}
	for range 5 {
		send(http.MethodGet, "/services/stock/lines/chain-11", "")
		is.True(strings.Contains(send(http.MethodPost, "/v1/chat/completions", demoPrompt), "[DONE]"))
	}
}
