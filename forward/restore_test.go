// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/history"
)

// TestUpstreamOfLongDrainComesBack guards against work for an upstream that has ended. It drained
// for longer than ended upstreams are remembered, and the list is restored from a backup that still
// contains it.
func TestUpstreamOfLongDrainComesBack(t *testing.T) {
	is := is.New(t)
	var f Fleet
	now := time.Now()
	f.Replace(now, []Upstream{llmUpstream("app4", 3, false)}, rev(3))
	f.MarkLeaving(now, "app4", 0, true)
	now = now.Add(goneRetention + time.Second)
	f.Apply(now, []Change{{Upstream: llmUpstream("app4", 5, false), Gone: true}}, rev(5))
	f.Settle(now.Add(time.Second))
	restored := history.NewPoint(1, 4)
	copied := llmUpstream("app4", 0, false)
	copied.Revision = history.NewPoint(1, 3)
	f.ApplyUpdate(now.Add(2*time.Second), OriginUpdate{Changes: []Change{{Upstream: copied}}, Revision: restored}, true)
	is.Equal(len(f.Available(now.Add(2*time.Second), copied.Service)), 0)
}

// TestProofBeforeANewerConfigurationIsLost checks that a configuration counts as proved up to the
// time when a newer one was first offered.
func TestProofBeforeANewerConfigurationIsLost(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	now := f.now().Add(time.Minute)
	f.configOffers.record(now, 2)
	f.configOffers.record(now.Add(time.Second), 3)
	f.ContactProved(now.Add(-time.Second))
	is.Equal(f.ContactAge(now), time.Second)
	f.ContactProved(now)
	is.Equal(f.ContactAge(now), time.Second)
	f.Configure(now, testConfig(2))
	f.ContactProved(now.Add(time.Second / 2))
	is.Equal(f.ContactAge(now.Add(time.Second)), time.Second/2)
}
