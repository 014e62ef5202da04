// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// TestScout has the engines that carry runs asked as soon as the list is lost,
// and one that isn't well count as leaving.
func TestScout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var asked atomic.Int32
		transport := &fakeTransport{healthy: func(u Upstream) (bool, error) {
			asked.Add(1)
			return u.ID != "llm1", nil
		}}
		f := newForwarder(t, transport)
		ctx, cancel := context.WithCancel(t.Context())
		origin := &failingOrigin{}
		go f.Follow(ctx, origin)
		go f.RunScout(ctx)
		synctest.Wait() // the list is read
		f.listEngines(time.Now(), f.Table())
		_, run, _ := f.engines.place(ctx, time.Now(), "llm", policy.Request{Run: "r", Prompt: 100})
		is.Equal(run.engine, member.UpstreamID("llm1"))
		time.Sleep(4 * time.Second)
		is.Equal(asked.Load(), int32(0)) // answers have a price
		origin.lost.Store(true)
		time.Sleep(time.Second) // well before the proof has aged
		is.True(asked.Load() > 0)
		select {
		case <-f.fleet.Leaving("llm1"):
		default:
			t.Error("llm1 should be leaving")
		}
		is.Equal(f.OnFollow(ctx, FollowRequest{}).OriginAge > originFresh, true)
		cancel()
		synctest.Wait()
	})
}
