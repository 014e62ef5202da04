// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// TestEngineIsEmptiedBeforeItsModelChanges gives a pool another version while
// one engine runs: it gets no new work and no order until it is empty, and the
// other one goes on serving meanwhile.
func TestEngineIsEmptiedBeforeItsModelChanges(t *testing.T) {
	whole := []script{{events: append(tokenEvents(1, 5), endEvent(5))}}
	inSite(t, whole, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		time.Sleep(time.Minute)
		is.Equal(len(s.engines.takeOrders()), 2) // a fresh engine is ordered at once
		s.engines.setRunning("g1", 1)
		_, err := e.Propose(s.ctx, resource.Change{
			Kind: resource.Models, Name: "m", Spec: json.RawMessage(`{"pool":"desk","version":"2"}`),
		}, nil)
		is.NoErr(err)
		time.Sleep(time.Minute)
		is.Equal(s.engines.takeOrders(), []string{"g2 2"}) // idle, so it needn't wait
		started := map[policy.EngineID]int{}
		for range 5 {
			_, err := e.Generate(s.ctx, quoteRequest(), &fakeSink{})
			is.NoErr(err)
		}
		s.engines.mu.Lock()
		started["g1"], started["g2"] = s.engines.started["g1"], s.engines.started["g2"]
		s.engines.mu.Unlock()
		is.Equal(started, map[policy.EngineID]int{"g1": 0, "g2": 5})
		s.engines.setRunning("g1", 0)
		time.Sleep(time.Minute)
		is.Equal(s.engines.takeOrders(), []string{"g1 2"})
		time.Sleep(10 * time.Minute)
		is.Equal(len(s.engines.takeOrders()), 0) // nothing is ordered twice
	})
}

// TestOrdersOfOneHolder has one entry of a zone order each engine once.
func TestOrdersOfOneHolder(t *testing.T) {
	inPair(t, func(t *testing.T, s *fakeSite, _, _ *Entry) {
		is := is.New(t)
		time.Sleep(time.Minute)
		is.Equal(s.engines.takeOrders(), []string{"g1 1"})
	})
}
