// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Bounds of the settings for a rollout.
const (
	exposureShare = 0.1
	exposureSlack = 50
	contactTime   = 4 * time.Second
)

const (
	oldVersion, newVersion = "v1", "v2"
	// orderTime is how long the operator gives a rollout.
	orderTime = 12 * time.Second
	// killAfter is how long after the order the platform kills the host that last wrote to the store
	// under a condition, and killFor how long it is away.
	killAfter, killFor = 9200 * time.Millisecond, 3500 * time.Millisecond
	// loadedRate is the rate in requests a second above which the new version is bad.
	loadedRate = 40
	// rolloutPause is the mean pause between two requests of a client.
	rolloutPause = 500 * time.Millisecond
	// rolloutClients is how many clients each zone has.
	rolloutClients = 28
)

// arrival is a request that reached a worker.
type arrival struct {
	id, version string
	at          time.Time
}

// arrive notes a request at a worker of a version, and reports whether that version is under load.
func (f *fleet) arrive(id, version string) (loaded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.arrivals = append(f.arrivals, arrival{id, version, now})
	recent := 0
	for n := len(f.arrivals) - 1; n >= 0 && now.Sub(f.arrivals[n].at) < time.Second; n-- {
		if f.arrivals[n].version == version {
			recent++
		}
	}
	return recent > loadedRate
}

// playRollout orders a move to a version that turns out to be bad under load.
func (s *site) playRollout(ctx context.Context, trouble bool) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	number := 0
	for _, zone := range rolloutZones {
		for range rolloutClients {
			number++
			c := &client{number: number, zone: zone, site: s, pause: rolloutPause}
			clients.Go(func() { c.run(ctx, func() bool { return false }) })
		}
	}
	sleep(ctx, 4*time.Second)
	order, err := json.Marshal(map[string]any{"service": service, "target_version": newVersion, "duration_s": orderTime.Seconds()})
	if err != nil {
		return 2, err
	}
	s.store.put("op/rollout/"+service, order)
	ordered := time.Now()
	s.record.add("the operator orders a move to version %s within %v", newVersion, orderTime)
	var killed *host
	var killedAt time.Time
	if trouble {
		sleep(ctx, killAfter-time.Since(ordered))
		killed = slices.MaxFunc(s.hosts, func(a, b *host) int { return a.lastRecorded().Compare(b.lastRecorded()) })
		if killed.lastRecorded().IsZero() {
			return 2, errors.New("no host wrote to the store under a condition")
		}
		killedAt = time.Now()
		killed.kill(killFor)
	}
	sleep(ctx, orderTime+2*time.Second-time.Since(ordered))
	if ctx.Err() != nil {
		return 2, ctx.Err()
	}
	return s.judgeExposure(ordered, killed, killedAt), nil
}

// inTouch reports whether a host was in touch when a request arrived from it.
func inTouch(name string, at time.Time, killed *host, killedAt time.Time) bool {
	return killed == nil || killed.name != name || at.Before(killedAt) || at.After(killedAt.Add(killFor+contactTime))
}

// judgeExposure counts what reached the bad version, and returns 1 if that is more than allowed.
func (s *site) judgeExposure(ordered time.Time, killed *host, killedAt time.Time) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	all, bad := 0, 0
	perSecond := map[int]int{}
	for _, a := range s.fleet.arrivals {
		if a.at.Before(ordered) || a.at.After(ordered.Add(orderTime)) {
			continue
		}
		all++
		via, _ := s.via.Load(a.id)
		name, _ := via.(string)
		if a.version == newVersion && inTouch(name, a.at, killed, killedAt) {
			bad++
			perSecond[int(a.at.Sub(ordered)/time.Second)]++
		}
	}
	for second := range int(orderTime / time.Second) {
		s.record.add("requests that reached version %s in second %d of the order: %d", newVersion, second, perSecond[second])
	}
	allowed := exposureShare*float64(all) + exposureSlack
	s.record.verdict("state told to the operator: %s", s.store.value("status/rollout/"+service))
	s.record.verdict("requests between the order and its deadline: %d; to the bad version from machines in touch: %d, allowed %.0f", all, bad, allowed)
	if float64(bad) > allowed {
		s.record.verdict("rule EXPOSURE is broken")
		return 1
	}
	return 0
}

// failsUnderLoad draws whether a loaded worker of the bad version fails a request.
func failsUnderLoad() bool { return rand.IntN(2) == 0 }
