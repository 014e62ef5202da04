// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package order

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

const ttl = 10 * time.Second

// lease is the platform's side: who holds it until when.
type lease struct {
	token     uint64
	holder    int
	expiresAt time.Time
}

// engineState is an engine that took some orders.
type engineState struct {
	checksTokens bool
	highestToken uint64
	version      string
	// versionToken is the one that the version in force came with.
	versionToken uint64
}

func (e *engineState) apply(token uint64, version string) {
	if e.checksTokens && token < e.highestToken {
		return
	}
	e.highestToken = max(e.highestToken, token)
	e.version, e.versionToken = version, token
}

// TestOlderHolderNeverUndoes runs several holders that are paused at any point,
// also between the decision to order and the order's arrival. On an engine that
// checks tokens, an older holder's order never undoes a newer one. On one that
// doesn't, that holds as long as no order takes longer on its way than the
// clock margin; a longer pause there is what remains.
func TestOlderHolderNeverUndoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Bool().Draw(t, "checks")
		engine := engineState{checksTokens: checks}
		var l lease
		var tokens uint64
		now := start
		holders := make([]Holder, 3)
		type sent struct {
			token uint64
			until time.Time
		}
		var onTheWay []sent
		arrive := func() {
			for len(onTheWay) > 0 && (checks && rapid.Bool().Draw(t, "arrives") || !checks && !now.Before(onTheWay[0].until)) {
				before := engine.versionToken
				engine.apply(onTheWay[0].token, "v")
				if engine.versionToken < before {
					t.Fatalf("token %d undid token %d", engine.versionToken, before)
				}
				onTheWay = onTheWay[1:]
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{
				0, 100 * time.Millisecond, time.Second, 4 * time.Second, 30 * time.Second,
			}).Draw(t, "pause"))
			arrive()
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			h := &holders[i]
			switch h.Next(now, true) {
			case Acquire:
				asked := now
				now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 20 * time.Second}).Draw(t, "answer takes"))
				if l.token != 0 && l.holder != i && asked.Before(l.expiresAt) {
					h.Refused(now)
					break
				}
				tokens++
				l = lease{token: tokens, holder: i, expiresAt: asked.Add(ttl)}
				h.Acquired(asked, tokens, ttl)
			case Renew:
				if l.token == h.Token() && now.Before(l.expiresAt) {
					l.expiresAt = now.Add(ttl)
					h.Renewed(now, ttl)
				}
			}
			if h.MaySendOrder(now, checks) {
				if h.Token() != l.token || !now.Before(l.expiresAt) {
					t.Fatalf("orders with token %d while %d holds the lease", h.Token(), l.token)
				}
				onTheWay = append(onTheWay, sent{h.Token(), now.Add(clockMargin)})
			}
		}
	})
}

func TestHolder(t *testing.T) {
	is := is.New(t)
	var h Holder
	is.Equal(h.Next(start, false), Wait)
	is.Equal(h.Next(start, true), Acquire)
	h.Refused(start)
	is.Equal(h.Next(start.Add(time.Second), true), Wait)
	is.Equal(h.Next(start.Add(retryDelay), true), Acquire)
	h.Acquired(start, 7, ttl)
	is.True(h.LeaseValid(start))
	is.True(h.MaySendOrder(start, true))
	is.True(!h.MaySendOrder(start, false)) // an older holder may still be ordering
	is.Equal(h.Next(start.Add(time.Second), true), Wait)
	is.Equal(h.Next(start.Add(4*time.Second), true), Renew)
	is.Equal(h.Next(start.Add(4*time.Second), false), Release)
	is.True(!h.LeaseValid(start.Add(ttl - clockMargin))) // paused past its own deadline
	is.Equal(h.Next(start.Add(ttl), true), Acquire)
	is.Equal(h.Token(), uint64(0))
}

func TestMissingModels(t *testing.T) {
	is := is.New(t)
	wanted := map[string]string{"a": "1", "b": "2", "c": "3"}
	served := map[string]string{"a": "1", "b": "1", "z": "9"}
	is.Equal(MissingModels(wanted, served), []ModelVersion{{"b", "2"}, {"c", "3"}})
}

func TestEnginesToDrain(t *testing.T) {
	is := is.New(t)
	wanted := map[string]string{"m": "2"}
	served := map[string]map[string]string{"new": {"m": "2"}, "fresh": {}, "other": {"z": "1"}}
	is.Equal(len(EnginesToDrain(wanted, served)), 0)
	for _, id := range []string{"g4", "g1", "g3", "g2", "g5"} {
		served[id] = map[string]string{"m": "1"}
	}
	is.Equal(EnginesToDrain(wanted, served), []string{"g1", "g2"}) // two of eight at a time
	served["g1"] = map[string]string{"m": "2"}
	is.Equal(EnginesToDrain(wanted, served), []string{"g2", "g3"})
	is.Equal(EnginesToDrain(wanted, map[string]map[string]string{"only": {"m": "1"}}), []string{"only"})
}
