// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/forward"
)

// largeConfig returns a configuration with 1,500 routes. One of that size delayed other messages
// between hosts.
func largeConfig() *forward.Config {
	c := &forward.Config{Version: 9, Services: []forward.Service{{Name: "app"}}}
	for n := range 1500 {
		name := fmt.Sprintf("%x", uint32(n)*2654435761)
		c.Routes = append(c.Routes, forward.Route{
			Name: "r-" + name, Host: name[:min(5, len(name))] + ".example", PathPrefix: "/" + name + "/", Kind: forward.KindUnsafe,
			Timeout: 800 * time.Millisecond, Objective: 150 * time.Millisecond, Attempts: 1,
			Services: []forward.WeightedService{{Service: "app", Weight: 1}},
		})
	}
	return c
}

// TestPackedConfigRoundTrip checks that a configuration is decoded unchanged and takes at most a
// tenth of the size of its JSON.
func TestPackedConfigRoundTrip(t *testing.T) {
	is := is.New(t)
	c := largeConfig()
	var p configPacker
	w, err := p.wireReply(forward.ConfigReply{Config: c, Age: time.Second})
	is.NoErr(err)
	got, err := w.reply()
	is.NoErr(err)
	is.Equal(got.Config, c)
	is.Equal(got.Age, time.Second)
	plain, err := json.Marshal(c)
	is.NoErr(err)
	t.Logf("JSON %d bytes, packed %d bytes", len(plain), len(w.Config))
	is.True(len(w.Config)*10 <= len(plain))
	none, err := p.wireReply(forward.ConfigReply{Age: time.Minute})
	is.NoErr(err)
	got, err = none.reply()
	is.NoErr(err)
	is.True(got.Config == nil)
}

// BenchmarkConfigToPeers compares what the sender spends on a configuration that 22 hosts request:
// encoded as plain JSON for each, and compressed once for all.
func BenchmarkConfigToPeers(b *testing.B) {
	c := largeConfig()
	const peers = 22
	b.Run("each plain", func(b *testing.B) {
		for b.Loop() {
			for range peers {
				text, err := json.Marshal(c)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(peers*len(text)), "bytes")
			}
		}
	})
	b.Run("packed once", func(b *testing.B) {
		for b.Loop() {
			var p configPacker
			for range peers {
				w, err := p.wireReply(forward.ConfigReply{Config: c})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(peers*len(w.Config)), "bytes")
			}
		}
	})
}
