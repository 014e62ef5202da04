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

// TestEngineIsDrainedBeforeItsModelChanges declares a new model version while one of two engines
// has a run. That engine gets neither new work nor the order until it is drained. The other engine
// serves meanwhile.
func TestEngineIsDrainedBeforeItsModelChanges(t *testing.T) {
	whole := []script{{events: append(tokenEvents(1, 5), endEvent(5))}}
	withSite(t, whole, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		time.Sleep(time.Minute)
		is.Equal(len(s.engines.takeOrders()), 2) // new engines are ordered at once
		s.engines.setRunning("g1", 1)
		_, err := e.Propose(s.ctx, resource.Change{
			Kind: resource.Models, Name: "m", Spec: json.RawMessage(`{"pool":"desk","version":"2"}`),
		}, nil)
		is.NoErr(err)
		time.Sleep(time.Minute)
		is.Equal(s.engines.takeOrders(), []string{"g2 2"}) // idle, so it is ordered without waiting
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

// TestOrdersOfOneHolder checks that with two entries in a zone, only one orders an engine, and only
// once.
func TestOrdersOfOneHolder(t *testing.T) {
	withTwoEntries(t, func(t *testing.T, s *fakeSite, _, _ *Entry) {
		is := is.New(t)
		time.Sleep(time.Minute)
		is.Equal(s.engines.takeOrders(), []string{"g1 1"})
	})
}
